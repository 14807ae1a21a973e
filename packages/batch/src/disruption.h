#pragma once

#include "batch/ledger.h"

#include <functional>

namespace persimmon::batch::detail {

// Returns how many more tasks of a step may be stopped: its disruption budget less the tasks that
// are away.
std::int64_t disruptionsLeft(const job_record &job, const task_id &task,
                             const std::function<bool(const task_id &)> &isAtWork);

} // namespace persimmon::batch::detail
