#include "scheduler-pass.h"

#include <algorithm>
#include <array>

// Tells why a stalled job has no worker: which preference keeps it from the room that is left.
namespace persimmon::batch {

namespace {

std::int64_t percentInUse(std::int64_t available, std::int64_t capacity)
{
    return capacity <= 0 ? 0 : 100 - available * 100 / capacity;
}

} // namespace

void scheduler::pass::explain(const unit &item, wait_cause cause)
{
    if (!input_.explain.contains(item.job->id))
        return;
    stall_cause found {item.first, cause, roomFor(item), 0};
    if (cause == wait_cause::NoRoom)
        found.cause = causeOf(item);
    if (const auto pool = pools_.find(item.job->source.pool); pool != pools_.end()) {
        const auto &use = pool->second;
        found.inUsePercent
                = std::max(percentInUse(use.available.cpu, use.capacity.cpu),
                           percentInUse(use.available.accelerators, use.capacity.accelerators));
    }
    output_.stallCauses.push_back(found);
}

// Waives one preference after the other until the unit finds workers. The last one is the cause.
wait_cause scheduler::pass::causeOf(const unit &item) const
{
    struct preference
    {
        wait_cause cause;
        bool detail::waivers::*waived;
    };
    static constexpr std::array<preference, 5> preferences {{
            {wait_cause::KeptRoom, &detail::waivers::reserves},
            {wait_cause::FailedThere, &detail::waivers::failures},
            {wait_cause::KeptApart, &detail::waivers::isolation},
            {wait_cause::Quarantined, &detail::waivers::quarantine},
            {wait_cause::OneRack, &detail::waivers::oneRack},
    }};
    auto relaxed = item;
    if (!place(relaxed).empty())
        return wait_cause::Skipped;
    for (const auto &[cause, waived] : preferences) {
        relaxed.waived.*waived = true;
        if (!place(relaxed).empty())
            return cause;
    }
    return wait_cause::NoRoom;
}

// Returns how many tasks of the size of a unit's fit beside all that runs, on any worker of its
// pool and label that may get tasks.
std::int64_t scheduler::pass::roomFor(const unit &item) const
{
    auto relaxed = item;
    relaxed.waived = {true, true, true, true, true};
    std::int64_t room = 0;
    for (const auto worker : allWorkers_) {
        if (isEligible(relaxed, worker))
            room += timesFitting(available_[worker], item.spec->charged());
    }
    return room;
}

} // namespace persimmon::batch
