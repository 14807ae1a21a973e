#include "preemption_timing.h"

#include <algorithm>

namespace persimmon::batch::detail {

namespace {

// A unit waits no longer than this, because declared durations are rough.
constexpr std::int64_t maxPatienceMs = 1500;

// Reserved accelerators have to be given back within some seconds.
constexpr std::int64_t maxGuaranteedPatienceMs = 500;

} // namespace

std::int64_t preemptFromMs(const urgent_times &unit)
{
    const bool canBeInTime = unit.dueMs + replacementMs <= unit.latestStartMs;
    const auto target = canBeInTime ? unit.latestStartMs : unit.latestLateStartMs;
    const auto slack = std::max<std::int64_t>(0, target - replacementMs - unit.dueMs);
    return unit.dueMs
            + std::min(slack / 2, unit.guaranteed ? maxGuaranteedPatienceMs : maxPatienceMs);
}

} // namespace persimmon::batch::detail
