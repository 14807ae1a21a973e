#pragma once

#include "base/clock.h"
#include "batch/ledger.h"

#include <algorithm>
#include <string>
#include <vector>

namespace persimmon::batch::detail {

template <typename Duration>
std::int64_t millisecondsOf(Duration value)
{
    return std::chrono::duration_cast<milliseconds>(value).count();
}

// Returns the name of a task in logs: JOB.OCCURRENCE.STEP.INDEX.
inline std::string nameOf(const task_id &task)
{
    return task.job + "." + shortName(task);
}

// Returns whether a list of ends contains the end of a run.
template <typename End>
bool contains(const std::vector<End> &ends, const assignment &run)
{
    return std::ranges::any_of(
            ends, [&run](const End &end) { return end.task == run.task && end.run == run.run; });
}

// Returns whether a worker's list of runs, by task, contains a run.
template <typename Runs>
bool lists(const Runs &reported, const assignment &run)
{
    const auto found = reported.find(run.task);
    return found != reported.end() && found->second.run == run.run;
}

} // namespace persimmon::batch::detail
