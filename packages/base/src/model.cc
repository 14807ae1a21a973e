#include "base/model.h"

#include <algorithm>
#include <array>
#include <span>

namespace persimmon {

namespace {

constexpr std::array<std::string_view, 3> priorityNames {"batch", "standard", "urgent"};
constexpr std::array<std::string_view, 3> upstreamStateNames {"serving", "leaving", "gone"};
constexpr std::array<std::string_view, 6> taskStateNames {"prepared", "running", "checkpointed",
                                                          "stopped",  "done",    "failed"};
constexpr std::array<std::string_view, 4> taskActionNames {"prepare", "run", "checkpoint", "stop"};
constexpr std::array<std::string_view, 9> jobStateNames {"waiting",   "preparing",  "running",
                                                         "stopping",  "done",       "failed",
                                                         "cancelled", "cannot_run", "unknown"};
constexpr std::array<std::string_view, 8> waitReasonNames {"none",
                                                           "no_free_block",
                                                           "quota_reached",
                                                           "guarantee_held",
                                                           "reservation_ahead",
                                                           "preemption_pending",
                                                           "rebuilding_view",
                                                           "no_workers"};
constexpr std::array<std::string_view, 12> decisionKindNames {
        "accepted", "waiting",  "placed", "released",  "preempted", "lost",
        "retried",  "finished", "failed", "cancelled", "refused",   "quarantined"};
constexpr std::array<std::string_view, 3> requestOutcomeNames {"not_run", "ran", "unknown"};

template <typename Enum>
std::string_view nameOf(std::span<const std::string_view> names, Enum value)
{
    const auto position = static_cast<std::size_t>(value);
    return position < names.size() ? names[position] : "invalid";
}

template <typename Enum>
result<Enum> fromName(std::span<const std::string_view> names, std::string_view name)
{
    const auto found = std::ranges::find(names, name);
    if (found == names.end())
        return error {
                result_code::InvalidValue, "unknown name '" + std::string(name) + "'", {}, {}};
    return static_cast<Enum>(found - names.begin());
}

} // namespace

std::string_view toName(priority_class value)
{
    return nameOf(priorityNames, value);
}

std::string_view toName(upstream_state value)
{
    return nameOf(upstreamStateNames, value);
}

std::string_view toName(task_state value)
{
    return nameOf(taskStateNames, value);
}

std::string_view toName(task_action value)
{
    return nameOf(taskActionNames, value);
}

std::string_view toName(job_state value)
{
    return nameOf(jobStateNames, value);
}

std::string_view toName(wait_reason value)
{
    return nameOf(waitReasonNames, value);
}

std::string_view toName(decision_kind value)
{
    return nameOf(decisionKindNames, value);
}

std::string_view toName(request_outcome value)
{
    return nameOf(requestOutcomeNames, value);
}

result<priority_class> priorityFromName(std::string_view name)
{
    return fromName<priority_class>(priorityNames, name);
}

result<upstream_state> upstreamStateFromName(std::string_view name)
{
    return fromName<upstream_state>(upstreamStateNames, name);
}

result<task_state> taskStateFromName(std::string_view name)
{
    return fromName<task_state>(taskStateNames, name);
}

} // namespace persimmon
