#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string_view>

namespace persimmon::batch {

// Parts of the time from the acceptance of a job to the report of its first run, and what the
// leader's own work takes.
enum class latency_stage : std::uint8_t {
    Placement, // acceptance of a job to the placement of its first run
    Order, // placement of a run to the sending of its start order
    Start, // sending of a start order to the first report of the run
    Answer, // arrival of a heartbeat at a node to its answer, unless the answer was held
    Pass, // duration of a scheduling pass
};

constexpr std::size_t latencyStageCount = 5;

// Returns a stable lower-case name for metrics.
std::string_view toName(latency_stage stage);

using latency_observer = std::function<void(latency_stage, std::chrono::microseconds)>;

} // namespace persimmon::batch
