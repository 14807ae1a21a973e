#include "stop_cost.h"

#include "preemption_timing.h"

#include <algorithm>

namespace persimmon::batch::detail {

namespace {

// Tasks may work for this many times their declared length.
constexpr double declaredLengthFactor = 3;

} // namespace

double stopCostSeconds(const run_progress &run, const step_spec &spec,
                       milliseconds checkpointPeriod, time_point now)
{
    const std::chrono::duration<double> worked = now - run.started;
    const std::chrono::duration<double> restart = checkpointPeriod;
    return spec.checkpointable ? std::min(worked, restart).count() : worked.count();
}

bool isWorthwhile(double lostCoreSeconds, const stop_gain &gain, std::int64_t wallMs)
{
    if (gain.guaranteed || wallMs >= gain.latestLateStartMs - replacementMs)
        return true;
    return lostCoreSeconds <= declaredLengthFactor * gain.coreSeconds;
}

} // namespace persimmon::batch::detail
