#pragma once

#include "base/clock.h"

#include <cstdint>

namespace persimmon::batch {

// Controls the pace of the tasks that use idle processor time on one worker, so that the
// latency-sensitive tasks on that worker meet their objectives. The pace is reduced at once and
// raised in small steps.
class pacer
{
public:
    // Updates the pace from the worst ratio of tail latency to latency objective on the worker. The
    // ratio is 0 if the worker has no latency-sensitive tasks.
    void observe(time_point now, double worstRatio);

    // Returns the pace as a percentage of full speed.
    std::uint32_t percent() const { return percent_; }

private:
    std::uint32_t percent_ = 100;
    time_point lastChange_ {};
};

} // namespace persimmon::batch
