#pragma once

#include <algorithm>
#include <cstdint>

namespace persimmon::entry {

// Keeps the number of retries under a percentage of the requests. Each request earns a part of a
// retry; what is earned is bounded, so that a long quiet time does not allow a burst of retries.
class retry_budget
{
public:
    explicit retry_budget(std::uint32_t percent)
        : percent_(percent)
    {
    }

    void onRequest() { earned_ = std::min(earned_ + percent_, maxEarned); }

    // Takes one retry out of the budget, or returns false.
    bool tryTake()
    {
        if (earned_ < costOfRetry)
            return false;
        earned_ -= costOfRetry;
        return true;
    }

private:
    static constexpr std::uint32_t costOfRetry = 100;
    static constexpr std::uint32_t maxEarned = 50 * costOfRetry;

    std::uint32_t percent_;
    std::uint32_t earned_ = 0;
};

} // namespace persimmon::entry
