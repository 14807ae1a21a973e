#include "batch/latency_stage.h"

#include <array>

namespace persimmon::batch {

std::string_view toName(latency_stage stage)
{
    static constexpr std::array<std::string_view, latencyStageCount> names {
            "placement", "order", "start", "answer", "pass"};
    return names.at(static_cast<std::size_t>(stage));
}

} // namespace persimmon::batch
