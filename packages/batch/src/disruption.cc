#include "disruption.h"

namespace persimmon::batch::detail {

std::int64_t disruptionsLeft(const job_record &job, const task_id &task,
                             const std::function<bool(const task_id &)> &isAvailable)
{
    auto remaining = std::int64_t {job.spec.steps[task.step].disruptionBudget};
    const auto count = job.stepOf(task).tasks.size();
    auto other = task;
    for (other.index = 0; other.index < count; ++other.index)
        remaining -= isAvailable(other) ? 0 : 1;
    return remaining;
}

} // namespace persimmon::batch::detail
