#include "batch/scheduler.h"

#include "scheduler-pass.h"

namespace persimmon::batch {

namespace {

// Claims of units that could not be placed within this time are released.
constexpr milliseconds claimLimit {2500};

} // namespace

std::string_view toName(wait_cause cause)
{
    switch (cause) {
    case wait_cause::NoRoom:
        return "no_room";
    case wait_cause::Preempting:
        return "preempting";
    case wait_cause::NoAdvice:
        return "no_advice";
    case wait_cause::Suspected:
        return "suspected";
    }
    return "unknown";
}

void scheduler::dropClaims(const schedule_input &input)
{
    std::erase_if(memory_.claims, [&](const auto &item) {
        const auto *job = input.state->findJob(item.first.job);
        return job == nullptr || job->ended() || item.second.createdAt + claimLimit < input.now
                || job->taskOf(item.first).active;
    });
}

schedule_output scheduler::plan(const schedule_input &input)
{
    dropClaims(input);
    return pass(input, memory_).run();
}

} // namespace persimmon::batch
