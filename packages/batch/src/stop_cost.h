#pragma once

#include "batch/scheduler.h"

#include <cstdint>

// What it costs to stop a run for urgent work, and whether that pays.
namespace persimmon::batch::detail {

// Returns the working time that a stop of a run costs. A checkpointable run loses nothing, but its
// restart takes time: no more than the work between two checkpoints.
double stopCostSeconds(const run_progress &run, const step_spec &spec,
                       milliseconds checkpointPeriod, time_point now);

// What is known of urgent tasks for which other runs would be stopped.
struct stop_gain
{
    double coreSeconds = 0; // of work that the tasks do by themselves, by their declared length
    std::int64_t latestLateStartMs = 0; // to end before completing the job has no value
    bool guaranteed = false; // within the reservation of its tenant
};

// Returns whether stops pay that throw this much work away: in a busy fleet, tasks for which more
// work is lost than they may do themselves are left to wait for ends. They wait no longer than they
// can, and guaranteed ones not at all.
bool isWorthwhile(double lostCoreSeconds, const stop_gain &gain, std::int64_t wallMs);

} // namespace persimmon::batch::detail
