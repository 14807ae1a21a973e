#include "disruption.h"

namespace persimmon::batch::detail {

std::int64_t disruptionsLeft(const job_record &job, const task_id &task,
                             const std::function<bool(const task_id &)> &isAtWork)
{
    auto left = std::int64_t {job.spec.steps[task.step].disruptionBudget};
    const auto count = job.stepOf(task).tasks.size();
    auto other = task;
    for (other.index = 0; other.index < count; ++other.index)
        left -= isAtWork(other) ? 0 : 1;
    return left;
}

} // namespace persimmon::batch::detail
