#include "batch/urgent_reserve.h"

#include <algorithm>

namespace persimmon::batch {

namespace {

// Demand is averaged over this time, several times the interval between two bursts of submissions.
constexpr milliseconds window {8000};

// The reserve covers the demand of this time: about as long as it takes to stop other work.
constexpr milliseconds covered {1000};

} // namespace

void urgent_reserve::recordTaken(time_point now, std::size_t workers)
{
    taken_.push_back({now, workers});
    while (taken_.front().at + window < now)
        taken_.pop_front();
}

std::size_t urgent_reserve::size(time_point now) const
{
    std::size_t total = 0;
    std::size_t largest = 0;
    for (const auto &item : taken_) {
        if (item.at + window < now)
            continue;
        total += item.workers;
        largest = std::max(largest, item.workers);
    }
    return std::max(largest,
                    total * static_cast<std::size_t>(covered / milliseconds {1})
                            / static_cast<std::size_t>(window / milliseconds {1}));
}

} // namespace persimmon::batch
