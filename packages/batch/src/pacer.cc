#include "batch/pacer.h"

#include <algorithm>

namespace persimmon::batch {

namespace {

// Above this share of the objective the pace is halved, above the whole it is zero.
constexpr double cautionRatio = 0.85;

// Below this share the pace rises again.
constexpr double calmRatio = 0.65;

constexpr std::uint32_t stepUp = 15; // percent
constexpr std::uint32_t least = 10; // percent; below it the tasks stand still

// Figures cover the last half second, so a change shows after it.
constexpr milliseconds settleTime {700};

} // namespace

void pacer::observe(time_point now, double worstRatio)
{
    if (worstRatio > 1) {
        percent_ = 0;
        changed_ = now;
        return;
    }
    if (now - changed_ < settleTime)
        return;
    if (worstRatio > cautionRatio)
        percent_ = percent_ / 2 < least ? 0 : percent_ / 2;
    else if (worstRatio < calmRatio)
        percent_ = std::min(100U, percent_ + stepUp);
    else
        return;
    changed_ = now;
}

} // namespace persimmon::batch
