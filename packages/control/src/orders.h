#pragma once

#include "view.h"

#include <map>
#include <set>
#include <string>
#include <tuple>

namespace persimmon::control {

struct task_ref_less
{
    bool operator()(const task_ref &left, const task_ref &right) const
    {
        return std::tie(left.job, left.attempt, left.index)
                < std::tie(right.job, right.attempt, right.index);
    }
};

// Desired tasks of each upstream. Changes reach the view with flush().
class order_book
{
public:
    explicit order_book(view &shown)
        : view_(shown)
    {
    }

    void reset();

    // Replaces all orders of a job.
    void set(job_id job, const std::vector<task_order> &orders);

    // Shows the changed upstreams' full lists.
    void flush();

private:
    view &view_;
    std::map<job_id, std::vector<task_order>> byJob_;
    std::map<std::string, std::map<task_ref, task_order, task_ref_less>> byUpstream_;
    std::set<std::string> changed_;
};

} // namespace persimmon::control
