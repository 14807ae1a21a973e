#pragma once

#include <algorithm>
#include <cstdint>

namespace persimmon::entry {

// Limits retries to a percentage of the requests. Each request adds a fraction of a retry to the
// balance, which is bounded so that a long period without retries does not allow a burst of them.
class retry_budget
{
public:
    explicit retry_budget(std::uint32_t percent)
        : percent_(percent)
    {
    }

    void onRequest() { balance_ = std::min(balance_ + percent_, maxBalance); }

    // Takes one retry from the budget; returns false when the balance is too low.
    bool tryTake()
    {
        if (balance_ < retryCost)
            return false;
        balance_ -= retryCost;
        return true;
    }

private:
    static constexpr std::uint32_t retryCost = 100;
    static constexpr std::uint32_t maxBalance = 50 * retryCost;

    std::uint32_t percent_;
    std::uint32_t balance_ = 0;
};

} // namespace persimmon::entry
