#include "batch/scheduler.h"

#include "scheduler-pass.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace persimmon::batch {

namespace {

// Claims of units that could not be placed within this time are released.
constexpr milliseconds claimLimit {2500};

} // namespace

std::string_view toName(wait_cause cause)
{
    static constexpr std::array<std::string_view, 11> names {
            "no_room",    "preempting",  "no_advice", "suspected", "kept_room", "failed_there",
            "kept_apart", "quarantined", "one_rack",  "skipped",   "evacuated"};
    return names.at(static_cast<std::size_t>(cause));
}

bool scheduler::attempts::mayTry(const task_id &unit, std::size_t limit)
{
    if (failed_.contains(unit))
        return false;
    if (made_ == limit) {
        deferred_ = true;
        return false;
    }
    ++made_;
    return true;
}

void scheduler::attempts::endPass()
{
    if (!deferred_)
        failed_.clear();
    made_ = 0;
    deferred_ = false;
}

void scheduler::dropClaims(const schedule_input &input)
{
    std::set<std::string_view> evacuated;
    for (const auto &view : input.workers) {
        if (view.evacuated)
            evacuated.insert(view.report->id);
    }
    const auto isLost = [&evacuated](const auto &item) { return evacuated.contains(item.first); };
    std::erase_if(memory_.claims, [&](const auto &item) {
        const auto *job = input.state->findJob(item.first.job);
        return job == nullptr || job->ended() || item.second.createdAt + claimLimit < input.now
                || job->taskOf(item.first).active
                || std::ranges::any_of(item.second.resources, isLost);
    });
}

schedule_output scheduler::plan(const schedule_input &input)
{
    dropClaims(input);
    return pass(input, memory_).run();
}

std::vector<stall_cause> scheduler::explain(const schedule_input &input) const
{
    return scheduler(*this).plan(input).stallCauses;
}

} // namespace persimmon::batch
