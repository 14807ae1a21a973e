#pragma once

#include "base/clock.h"

#include <cstdint>

namespace persimmon::batch::detail {

// Time from the decision to stop a run to the start of another one in its place, in milliseconds:
// the order to stop, the stop itself, the commit of its end and of the start, and the order to
// start.
constexpr std::int64_t replacementMs = 1500;

// Times of an urgent unit, in Unix milliseconds.
struct urgent_times
{
    std::int64_t dueMs = 0; // the unit could start from then on
    std::int64_t latestStartMs = 0; // to meet the objective of its job
    std::int64_t latestLateStartMs = 0; // to end before completing the job has no value
    bool guaranteed = false; // within the reservation of its tenant
};

// Returns the time from which other work is stopped for a unit that finds no room. In a busy fleet
// some tasks end all the time, so the unit waits for half of its slack before work is thrown away
// for it. If stopping other work can't help to meet the objective, the slack until the late limit
// counts.
std::int64_t preemptFromMs(const urgent_times &unit);

} // namespace persimmon::batch::detail
