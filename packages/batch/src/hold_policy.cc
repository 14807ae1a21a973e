#include "batch/hold_policy.h"

#include <algorithm>

namespace persimmon::batch {

milliseconds expectedRemaining(const run_forecast &run)
{
    const auto left = std::int64_t {100} - std::min<std::int64_t>(100, run.percent);
    milliseconds total {0};
    if (run.percent > run.firstPercent && run.worked.count() > 0)
        total = milliseconds {run.worked.count() * left / (run.percent - run.firstPercent)};
    else
        total = milliseconds {run.estimate.count() * left / 200};
    return std::max(milliseconds {0}, total - run.sinceProgress);
}

milliseconds holdFor(std::span<const milliseconds> remaining, const hold_limits &limits)
{
    auto hold = limits.longest;
    for (const auto time : remaining)
        hold = std::min(hold, time - limits.endMargin);
    return hold < limits.shortest ? milliseconds {0} : hold;
}

} // namespace persimmon::batch
