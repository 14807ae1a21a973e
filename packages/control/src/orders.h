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

// Index of the task orders by job and by upstream. flush() publishes the changes in the view.
class order_index
{
public:
    explicit order_index(view &upstreamView)
        : view_(upstreamView)
    {
    }

    void reset();

    // Replaces all orders of a job.
    void set(job_id job, const std::vector<task_order> &orders);

    // Publishes the full lists of the upstreams whose orders have changed.
    void flush();

private:
    view &view_;
    std::map<job_id, std::vector<task_order>> byJob_;
    std::map<std::string, std::map<task_ref, task_order, task_ref_less>> byUpstream_;
    std::set<std::string> changed_;
};

} // namespace persimmon::control
