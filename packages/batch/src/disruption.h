#pragma once

#include "batch/ledger.h"

#include <functional>

namespace persimmon::batch::detail {

// Returns how many more tasks of a step may be stopped: the disruption budget minus the number of
// unavailable tasks. The result may be negative.
std::int64_t disruptionsLeft(const job_record &job, const task_id &task,
                             const std::function<bool(const task_id &)> &isAvailable);

} // namespace persimmon::batch::detail
