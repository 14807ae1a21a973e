#include "batch/discarded_work.h"

#include <algorithm>
#include <array>

namespace persimmon::batch {

std::string_view toName(discard_cause cause)
{
    static constexpr std::array<std::string_view, discardCauseCount> names {"preempted", "stalled",
                                                                            "worker_lost"};
    return names.at(static_cast<std::size_t>(cause));
}

std::chrono::microseconds lostByStop(const work_times &run, const step_spec &spec, time_point now)
{
    if (spec.checkpointable)
        return std::chrono::microseconds {0};
    return std::max(std::chrono::microseconds {0}, now - run.started);
}

std::chrono::microseconds lostWithWorker(const work_times &run, const step_spec &spec,
                                         time_point now)
{
    const auto since = spec.checkpointable ? run.saved : run.started;
    return std::max(std::chrono::microseconds {0}, now - since);
}

} // namespace persimmon::batch
