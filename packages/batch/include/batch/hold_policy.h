#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <span>

// Decides how long the answer to a heartbeat may be held back, so that orders reach a worker in one
// hop instead of waiting for its next heartbeat. A worker sends nothing while an answer is
// outstanding, so an answer is held only until shortly before a run is expected to end.
namespace persimmon::batch {

struct hold_limits
{
    // A worker drops answers that arrive later than a second after its heartbeat was sent; the rest
    // of that second is left for the way of the heartbeat, of the order and of the answer.
    milliseconds longest {650};
    // Holding for less than this saves nothing over the next heartbeat.
    milliseconds shortest {80};
    // An answer is sent this long before the next expected end.
    milliseconds endMargin {60};
};

// Progress of a run between the first report that lists it and the newest one.
struct run_forecast
{
    std::uint32_t firstPercent = 0;
    std::uint32_t percent = 0; // newest
    milliseconds worked {0}; // from the first report to the newest change of the percentage
    milliseconds sinceProgress {0}; // since the newest change of the percentage
    milliseconds estimate {0}; // declared duration of the whole run
};

// Returns the expected time until a run ends; zero if it is overdue. Uses the observed speed, or
// half of the declared duration while no progress has been observed, because declared durations are
// rough and a late report costs more than an early answer.
milliseconds expectedRemaining(const run_forecast &run);

// Returns for how long an answer may be held if the runs of its worker are expected to end after
// these times, or zero if it should be sent at once.
milliseconds holdFor(std::span<const milliseconds> remaining, const hold_limits &limits);

} // namespace persimmon::batch
