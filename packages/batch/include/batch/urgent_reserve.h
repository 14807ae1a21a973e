#pragma once

#include "base/clock.h"

#include <cstddef>
#include <deque>

namespace persimmon::batch {

// Decides how many idle workers are kept for urgent tasks that need a whole worker. Without them,
// small tasks of lower priority spread over the fleet, and each urgent task stops all of them on
// one worker. The reserve follows the demand: as many workers as such tasks took in the last
// second, so a fleet without them keeps none.
class urgent_reserve
{
public:
    // Records that urgent work took whole workers.
    void recordTaken(time_point now, std::size_t workers);

    // Returns the number of idle workers to keep.
    std::size_t size(time_point now) const;

private:
    struct taking
    {
        time_point at {};
        std::size_t workers = 0;
    };

    std::deque<taking> taken_; // within the window, oldest first
};

} // namespace persimmon::batch
