#pragma once

#include "base/clock.h"
#include "batch/model.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

// Work of runs that has to be done again because they ended early.
namespace persimmon::batch {

enum class discard_cause : std::uint8_t {
    Preempted, // stopped so that other work can start
    Stalled, // stopped because it made no progress
    WorkerLost, // its worker was lost or cut off
};

constexpr std::size_t discardCauseCount = 3;

// Returns a stable lower-case name for metrics.
std::string_view toName(discard_cause cause);

struct discarded_work
{
    discard_cause cause = discard_cause::Preempted;
    std::uint32_t priority = 0; // of the job that has to repeat it
    std::optional<std::uint32_t> beneficiaryPriority; // of the job that starts instead
    double coreSeconds = 0;
};

using discard_observer = std::function<void(const discarded_work &)>;

// When a run started and produced its newest checkpoint, as far as this leader has been told.
struct work_times
{
    time_point started {};
    time_point saved {}; // not before `started`
};

// Returns the working time that is lost if a run is stopped: none if it is checkpointable, because
// a worker produces a checkpoint before it stops such a run.
std::chrono::microseconds lostByStop(const work_times &run, const step_spec &spec, time_point now);

// Returns the working time that is lost together with the worker of a run.
std::chrono::microseconds lostWithWorker(const work_times &run, const step_spec &spec,
                                         time_point now);

} // namespace persimmon::batch
