#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "batch/model.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace persimmon::batch {

// Identifies a step of one occurrence of a job. Advice applies to all tasks of the step.
struct step_key
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    friend auto operator<=>(const step_key &, const step_key &) = default;
};

step_key stepOf(const task_id &task);

// Permission from the external advice service to run a step on a worker.
struct ticket
{
    std::string worker;
    std::string text;
};

// Requests from the advice service which of the workers may run a step. At most one request is in
// flight at a time.
using advice_request_function
        = std::function<void(const step_key &, const std::vector<std::string> &workers,
                             std::function<void(result<std::vector<ticket>>)>)>;

struct worker_incarnation
{
    std::string id;
    std::int64_t born = 0;
};

// Caches the answers of the advice service. An answer is valid for one incarnation of a worker.
// Tickets expire, refusals don't.
class advice_cache
{
public:
    // Returns the valid ticket of a worker for a step, or nullptr.
    const std::string *find(const step_key &step, const std::string &worker, std::int64_t born,
                            time_point now) const;

    // Returns whether the service has refused the worker or the worker's ticket is still valid.
    bool isKnown(const step_key &step, const std::string &worker, std::int64_t born,
                 time_point now) const;

    // Stores the answer to one request. Workers in `asked` without a ticket are stored as refused.
    void store(const step_key &step, const std::vector<worker_incarnation> &asked,
               const std::vector<ticket> &allowed, time_point until);

    // Evicts the steps of all jobs for which the predicate returns false.
    void retainJobs(const std::function<bool(const std::string &job)> &isOpen);

private:
    struct entry
    {
        std::int64_t born = 0;
        std::string text; // empty if the worker was refused
        time_point until {};
    };

    const entry *findEntry(const step_key &step, const std::string &worker,
                           std::int64_t born) const;

    std::map<step_key, std::map<std::string, entry>> steps_;
};

} // namespace persimmon::batch
