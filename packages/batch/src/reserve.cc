#include "scheduler-pass.h"

#include <algorithm>

// Keeps workers free for units that need many of them at once: idle workers for urgent work, and
// racks for gangs. Whatever is kept is shared again with work that has waited beside it.
namespace persimmon::batch {

namespace {

// A gang that has waited this long reserves a rack. Other work that has waited this long may use
// what is kept, unless most of its pool is in use.
constexpr std::int64_t reserveAfterMs = 1500;

constexpr std::size_t maxReservedRacks = 2;

// Racks are reserved for this time and then shared for a while, because the work that a gang waits
// for may not end for long.
constexpr std::chrono::seconds reservePeriod {20};
constexpr std::chrono::seconds sharePeriod {1};

bool isSharing(time_point now)
{
    return now.time_since_epoch() % (reservePeriod + sharePeriod) >= reservePeriod;
}

} // namespace

void scheduler::pass::collectPools()
{
    for (std::size_t i = 0; i < input_.workers.size(); ++i) {
        if (input_.workers[i].evacuated)
            continue;
        auto &pool = pools_[reportOf(i).pool];
        pool.capacity += reportOf(i).capacity;
        pool.available += available_[i];
        if (isIdle(i))
            countIdle(i, 1);
    }
    for (const auto &[name, reserve] : reserves_) {
        if (const auto pool = pools_.find(name); pool != pools_.end())
            pool->second.reserved = reserve.size(input_.now);
    }
}

// Returns whether a worker may get tasks and all of its accelerators are free.
bool scheduler::pass::isIdle(std::size_t worker) const
{
    const auto accelerators = reportOf(worker).capacity.accelerators;
    const auto &view = input_.workers[worker];
    return view.schedulable && !view.quarantined && accelerators > 0
            && available_[worker].accelerators == accelerators;
}

void scheduler::pass::countIdle(std::size_t worker, int change)
{
    const auto &report = reportOf(worker);
    pools_[report.pool].idle += static_cast<std::size_t>(change);
    idleInRack_[report.rack] += static_cast<std::size_t>(change);
}

bool scheduler::pass::takesWholeWorker(const unit &item, std::size_t worker) const
{
    return item.spec->need.accelerators * 2 > reportOf(worker).capacity.accelerators;
}

// Work must not wait for long beside free workers of a pool that is mostly idle. Long-running work
// must not wait for long in any pool.
scheduler::pass::worker_access scheduler::pass::accessOf(const unit &item) const
{
    if (item.waived.reserves)
        return {true, true, item.waived.quarantine};
    const auto pool = pools_.find(item.job->source.pool);
    const bool shared
            = item.spec->longRunning || pool == pools_.end() || !pool->second.mostlyInUse();
    const bool waited = input_.wallMs >= item.job->acceptedMs + reserveAfterMs
            || hasWaited(item, milliseconds {reserveAfterMs});
    return {item.job->source.priority == 0 || (shared && waited), shared && waited,
            item.waived.quarantine};
}

// Workers that are kept are used last, where they may be used.
bool scheduler::pass::isKeptForOthers(std::size_t worker) const
{
    const auto there = suspectsOn_.find(worker);
    return isReserved_[worker] || (there != suspectsOn_.end() && there->second.isolated);
}

// Removes idle workers, which come last, that are kept for urgent work.
void scheduler::pass::keepReserve(const unit &item, std::vector<std::size_t> &from) const
{
    const auto pool = pools_.find(item.job->source.pool);
    if (pool == pools_.end() || pool->second.reserved == 0 || accessOf(item).idleWorkers)
        return;
    const auto idle = pool->second.idle;
    auto allowed = idle - std::min(idle, pool->second.reserved);
    std::erase_if(from, [&](std::size_t worker) {
        if (!isIdle(worker))
            return false;
        if (allowed == 0)
            return true;
        --allowed;
        return false;
    });
}

// Returns how many tasks of a unit would fit into eligible workers that run nothing.
std::int64_t scheduler::pass::tasksInEmpty(const unit &item,
                                           const std::vector<std::size_t> &workers) const
{
    std::int64_t tasks = 0;
    for (const auto worker : workers) {
        if (!isEligible(item, worker))
            continue;
        const auto times = timesFitting(reportOf(worker).capacity, item.spec->charged());
        const auto limit = std::int64_t {item.spec->maxPerWorker};
        tasks += limit > 0 ? std::min(times, limit) : times;
    }
    return tasks;
}

// Reserves the rack with the most free accelerators for a gang that could not be placed. A gang
// that would not fit even if nothing else were running reserves nothing.
void scheduler::pass::reserveRack(const unit &item)
{
    if (reservedRacks_.size() >= maxReservedRacks || isSharing(input_.now)
        || input_.wallMs < item.job->acceptedMs + reserveAfterMs)
        return;
    const auto count = static_cast<std::int64_t>(item.indexes.size());
    std::int64_t total = 0;
    bool fitsOneRack = false; // the rack chosen below is large enough for the gang alone
    const std::string_view *best = nullptr;
    std::int64_t maxFree = -1;
    for (const auto &[rack, members] : racks_) {
        const auto tasks = tasksInEmpty(item, members);
        total += tasks;
        if (tasks == 0 || reservedRacks_.contains(rack))
            continue;
        const bool fits = item.inOneRack() && tasks >= count;
        if (fitsOneRack && !fits)
            continue;
        std::int64_t freeAccelerators = 0;
        for (const auto worker : members) {
            if (isEligible(item, worker))
                freeAccelerators += std::max<std::int64_t>(0, available_[worker].accelerators);
        }
        if (freeAccelerators > maxFree || fits != fitsOneRack) {
            maxFree = freeAccelerators;
            fitsOneRack = fits;
            best = &rack;
        }
    }
    if (best == nullptr || total < count)
        return;
    reservedRacks_.insert(*best);
    for (const auto worker : racks_.at(*best))
        isReserved_[worker] = isReserved_[worker] || tasksInEmpty(item, {worker}) > 0;
}

} // namespace persimmon::batch
