#include "scheduler-pass.h"

#include <algorithm>
#include <array>

// Preferences of placement that must not stall a job: each is waived for a job of which nothing has
// run for a while, and the one that keeps a stalled job from a worker is named.
namespace persimmon::batch {

namespace {

struct preference
{
    wait_cause cause; // of a wait that waiving it would end
    bool detail::waivers::*waived;
};

// In the order in which they are waived.
constexpr std::array<preference, 5> preferences {{
        {wait_cause::KeptRoom, &detail::waivers::reserves},
        {wait_cause::FailedThere, &detail::waivers::failures},
        {wait_cause::KeptApart, &detail::waivers::isolation},
        {wait_cause::Quarantined, &detail::waivers::quarantine},
        {wait_cause::OneRack, &detail::waivers::oneRack},
}};

// Limits the stalled units that are tried in one pass. Units that can't differ from one that has
// failed aren't counted.
constexpr std::size_t maxStallAttempts = 32;

std::int64_t percentInUse(std::int64_t available, std::int64_t capacity)
{
    return capacity <= 0 ? 0 : 100 - available * 100 / capacity;
}

} // namespace

// Returns the first task of a unit that lasts and has been away for long, whether others of its job
// run or not.
std::optional<std::uint32_t> scheduler::pass::overdueIndex(const unit &item) const
{
    if (input_.stalls == nullptr || !item.spec->longRunning)
        return std::nullopt;
    auto task = item.first;
    for (const auto index : item.indexes) {
        task.index = index;
        if (input_.stalls->isOverdue(task, input_.now))
            return index;
    }
    return std::nullopt;
}

// Returns whether a unit may use any room, because nothing of its job has run for long, or because
// a task of it that lasts hasn't.
bool scheduler::pass::mustStart(const unit &item) const
{
    if (overdueIndex(item))
        return true;
    return input_.stalls != nullptr && !resumedJobs_.contains(item.job->id)
            && input_.stalls->isOverdue(item.job->id, input_.now);
}

// Returns whether a unit has to wait so that it doesn't start together with other suspects.
bool scheduler::pass::startsLater(const unit &item) const
{
    return item.startsLater && !(mustStart(item) && input_.stalls->isCalm(input_.now));
}

// Returns whether suspicion may not keep a stalled unit from room. Just after a loss, suspects
// would take others with them. A task under which several workers were lost may be given up, so it
// may also wait.
bool scheduler::pass::mayWaiveIsolation(const unit &item) const
{
    return !item.isLikelyCause && input_.stalls->isCalm(input_.now);
}

// Places one task of a stalled job, or its gang, and waives no more preferences than that takes.
std::vector<scheduler::pass::slot> scheduler::pass::placeStalled(const unit &item)
{
    auto relaxed = item;
    if (!item.placedTogether())
        relaxed.indexes = {overdueIndex(item).value_or(item.indexes.front())};
    auto anywhere = relaxed;
    const bool mayMix = mayWaiveIsolation(item);
    anywhere.waived = {true, true, mayMix, true, !item.inOneRack()};
    if (isDominated(anywhere) || !memory_.stallAttempts.mayTry(item.first, maxStallAttempts))
        return {};
    auto found = place(anywhere);
    if (found.empty())
        recordUnplaceable(anywhere);
    // A gang that is spread over racks takes several times as long.
    if (found.empty() && item.inOneRack() && hasRoomTwice(item)) {
        anywhere.waived.oneRack = true;
        return place(anywhere);
    }
    if (found.empty()) {
        memory_.stallAttempts.recordFailure(item.first);
        return {};
    }
    for (const auto &[cause, waived] : preferences) {
        relaxed.waived.*waived = anywhere.waived.*waived;
        if (auto slots = place(relaxed); !slots.empty())
            return slots;
    }
    return found;
}

bool scheduler::pass::hasRoomTwice(const unit &item) const
{
    return roomFor(item) >= 2 * static_cast<std::int64_t>(item.indexes.size());
}

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
    auto relaxed = item;
    if (!place(relaxed).empty())
        return wait_cause::Skipped;
    for (const auto &[cause, waived] : preferences) {
        relaxed.waived.*waived = true;
        if (!place(relaxed).empty())
            return cause;
    }
    return fitsEvacuated(item) ? wait_cause::Evacuated : wait_cause::NoRoom;
}

// Returns whether a task of a unit would fit on a worker of an evacuated availability zone.
bool scheduler::pass::fitsEvacuated(const unit &item) const
{
    return std::ranges::any_of(allWorkers_, [&](std::size_t worker) {
        return input_.workers[worker].evacuated && suits(item, reportOf(worker))
                && timesFitting(available_[worker], item.spec->charged()) > 0;
    });
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
