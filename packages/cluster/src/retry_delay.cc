#include "cluster/retry_delay.h"

#include <algorithm>

namespace persimmon::cluster {

namespace {

// A leader is usually back within some hundred milliseconds, so the first pauses are short.
constexpr std::int64_t firstDelayMs = 60;
constexpr std::uint32_t maxDoublings = 2;

} // namespace

milliseconds retryDelay(std::uint32_t failedAttempts, std::uint32_t random)
{
    const auto doublings = std::min(failedAttempts > 0 ? failedAttempts - 1 : 0, maxDoublings);
    const auto longest = firstDelayMs << doublings;
    return milliseconds {longest / 2 + static_cast<std::int64_t>(random) % (longest / 2 + 1)};
}

} // namespace persimmon::cluster
