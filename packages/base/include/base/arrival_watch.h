#pragma once

#include "base/clock.h"

#include <algorithm>
#include <array>

namespace persimmon {

// Bounds how long input may have waited until it is read. A process that was frozen, or had no
// processor time, finds input that may have arrived at any time meanwhile, and needs several turns
// to read all of it. So turns of the reading queue are counted, not time: whatever has arrived
// before one turn is read within the next few.
class arrival_watch
{
public:
    // Nothing can have arrived before the start.
    explicit arrival_watch(time_point start) { turns_.fill(start); }

    // Must be called regularly by the queue that reads the input, each time after a new turn.
    void tick(time_point now)
    {
        std::rotate(turns_.begin(), turns_.begin() + 1, turns_.end());
        turns_.back() = now;
    }

    // Returns a time before which nothing has arrived of what is read now.
    time_point arrivedAfter() const { return turns_.front(); }

private:
    static constexpr std::size_t turnsToReadAll = 5;

    std::array<time_point, turnsToReadAll> turns_ {}; // the newest last
};

} // namespace persimmon
