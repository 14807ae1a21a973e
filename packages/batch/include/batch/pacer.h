#pragma once

#include "base/clock.h"

#include <cstdint>

namespace persimmon::batch {

// Chooses the pace of the tasks that use up idle capacity on one worker, so that the tasks that
// serve users there keep their latency objectives: down at once, up in small steps.
class pacer
{
public:
    // Takes the worst ratio of a tail to its objective on the worker; 0 without serving tasks.
    void observe(time_point now, double worstRatio);

    // Share of the full speed in percent.
    std::uint32_t percent() const { return percent_; }

private:
    std::uint32_t percent_ = 100;
    time_point changed_ {};
};

} // namespace persimmon::batch
