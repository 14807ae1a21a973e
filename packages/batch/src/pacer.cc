#include "batch/pacer.h"

#include <algorithm>

namespace persimmon::batch {

namespace {

// Above this ratio of latency to objective the pace is halved. Above a ratio of 1 it is set to
// zero.
constexpr double slowDownRatio = 0.85;

// Below this ratio the pace is raised.
constexpr double speedUpRatio = 0.65;

constexpr std::uint32_t stepUpPercent = 15;
constexpr std::uint32_t minPercent = 10; // lower values are rounded down to zero

// Minimum time between two changes of the pace. Latencies are measured over the last half second,
// so the effect of a change is visible only after that.
constexpr milliseconds settleTime {700};

} // namespace

void pacer::observe(time_point now, double worstRatio)
{
    if (worstRatio > 1) {
        percent_ = 0;
        lastChange_ = now;
        return;
    }
    if (now - lastChange_ < settleTime)
        return;
    if (worstRatio > slowDownRatio)
        percent_ = percent_ / 2 < minPercent ? 0 : percent_ / 2;
    else if (worstRatio < speedUpRatio)
        percent_ = std::min(100U, percent_ + stepUpPercent);
    else
        return;
    lastChange_ = now;
}

} // namespace persimmon::batch
