#include "core.h"

namespace persimmon::placement::detail {

// Returns the number of tasks that fit into the free part of a cell.
std::uint32_t core::slotsInCell(const job_entry &job, const cell &block, bool freeOnly) const
{
    std::uint32_t slots = 0;
    for (const auto sliceId : block.slices) {
        const auto &slice = state_.slices[sliceId];
        auto available = slice.size - slice.used;
        if (freeOnly) {
            available = smaller(available, state_.workers[slice.worker].free());
        }
        slots += slotsOf(job.task, available);
    }
    return slots;
}

bool core::placeInCell(const job_entry &job, const cell &block, bool freeOnly, std::uint32_t tasks,
                       std::vector<task_place> &places) const
{
    for (const auto sliceId : block.slices) {
        const auto &slice = state_.slices[sliceId];
        auto available = slice.size - slice.used;
        if (freeOnly) {
            available = smaller(available, state_.workers[slice.worker].free());
        }
        const auto count = std::min(tasks, slotsOf(job.task, available));
        places.insert(places.end(), count, {slice.worker, sliceId});
        tasks -= count;
    }
    return tasks == 0;
}

bool core::fitsFreeCapacity(const job_entry &job, const std::vector<task_place> &places) const
{
    for (const auto &place : places) {
        const auto same = [&](const task_place &other) { return other.worker == place.worker; };
        const auto count = std::ranges::count_if(places, same);
        if (!fits(job.task * std::int32_t(count), state_.workers[place.worker].free())) {
            return false;
        }
    }
    return true;
}

// Finds capacity for a job in the cells of its workspace: the single cell with the fewest
// sufficient slots, otherwise several cells of one region. With `freeOnly` set, capacity that
// borrowers use is excluded.
bool core::findInOwnCells(index_t jobIndex, bool freeOnly, std::vector<task_place> &places) const
{
    places.clear();
    const auto &job = state_.jobs[jobIndex];
    const auto &owned = state_.workspaces[job.workspace].cells;
    const auto poolCells
            = std::ranges::find(owned, job.pool, &std::pair<index_t, std::vector<index_t>>::first);
    const auto &owner = state_.workspaces[job.workspace];
    if (poolCells == owned.end() || job.task.accelerators == 0
        || owner.guaranteed - owner.guaranteedUse < job.accelerators()) {
        return false;
    }
    const auto &topology = state_.pools[job.pool].places;
    std::map<index_t, std::vector<std::pair<std::uint32_t, index_t>>> byRegion;
    auto best = noIndex;
    auto bestSlots = maxGangTasks * 64;
    for (const auto id : poolCells->second) {
        const auto &block = state_.cells[id];
        const auto slots = block.bound ? slotsInCell(job, block, freeOnly) : 0;
        if (slots >= job.tasks && slots < bestSlots) {
            best = id;
            bestSlots = slots;
        } else if (slots > 0 && slots < job.tasks) {
            const auto local = state_.workers[state_.slices[block.slices[0]].worker].local;
            const auto zone = topology.zoneOf(topology.rackOf(local));
            byRegion[topology.regionOf(zone)].emplace_back(slots, id);
        }
    }
    if (best != noIndex) {
        return placeInCell(job, state_.cells[best], freeOnly, job.tasks, places)
                && (!freeOnly || fitsFreeCapacity(job, places));
    }
    for (auto &[region, parts] : byRegion) {
        std::ranges::stable_sort(parts, std::greater {}, &std::pair<std::uint32_t, index_t>::first);
        places.clear();
        for (const auto &[slots, id] : parts) {
            const auto remaining = std::uint32_t(job.tasks - places.size());
            placeInCell(job, state_.cells[id], freeOnly, std::min(remaining, slots), places);
        }
        if (places.size() == job.tasks && (!freeOnly || fitsFreeCapacity(job, places))) {
            return true;
        }
    }
    places.clear();
    return false;
}

// Allocates capacity that borrowers still use and preempts them; the job starts when they have
// stopped.
void core::claim(index_t job, allocation_kind kind, std::vector<task_place> places)
{
    auto &entry = state_.jobs[job];
    dropReservationsOf(job);
    queue_.erase(state_.jobs, state_.pools, job);
    --state_.workspaces[entry.workspace].waiting;
    state_.allocate(job, kind, std::move(places));
    entry.state = phase::Claiming;
    entry.claim = ++lastClaim_;
    if (!entry.repeatable) {
        state_.pools[entry.pool].nonRepeatableClaims.push_back(job);
    }
    report(job, {wait_reason::PreemptionPending, {}});
    const auto includeUrgent = kind == allocation_kind::Guaranteed;
    const auto taken = entry.places;
    for (const auto &place : taken) {
        preemptOn(place.worker, job, includeUrgent);
    }
    completeClaims(taken.front().worker);
}

// Claims the capacity of preemptible jobs below the urgent class for an urgent job outside its
// guarantee.
bool core::claimUrgent(index_t job)
{
    const auto &entry = state_.jobs[job];
    const auto kind
            = entry.repeatable ? allocation_kind::Preemptible : allocation_kind::NonPreemptible;
    if (!findInView(entry.repeatable ? view::Reclaim : view::Bindable, job, found_)) {
        return false;
    }
    auto places = state_.toPlaces(entry.pool, found_);
    for (const auto &place : places) {
        const auto &worker = state_.workers[place.worker];
        const auto count = std::ranges::count(places, place.worker, &task_place::worker);
        const auto available
                = worker.capacity - worker.guaranteedUse - worker.nonPreemptibleUse - worker.urgent;
        if (worker.reservedFor != noIndex || !fits(entry.task * std::int32_t(count), available)) {
            return false;
        }
    }
    claim(job, kind, std::move(places));
    return true;
}

index_t core::chooseVictim(index_t worker, bool includeUrgent) const
{
    auto victim = noIndex;
    const auto rank = [&](index_t candidate) {
        const auto &job = state_.jobs[candidate];
        // Backfill first, then the lowest class, then the shortest time since the start.
        return std::tuple(!job.backfill, job.priority, now_ - job.started, job.id);
    };
    for (const auto candidate : state_.workers[worker].jobs) {
        const auto &job = state_.jobs[candidate];
        const auto stoppable = job.state == phase::Running || job.state == phase::Claiming;
        if (job.allocation != allocation_kind::Preemptible || !stoppable
            || (job.priority == priority_class::Urgent && !includeUrgent)) {
            continue;
        }
        if (victim == noIndex || rank(candidate) < rank(victim)) {
            victim = candidate;
        }
    }
    return victim;
}

// Preempts jobs until the worker can hold all its allocations once they have stopped.
void core::preemptOn(index_t worker, index_t forJob, bool includeUrgent)
{
    auto available = state_.workers[worker].free();
    for (const auto index : state_.workers[worker].jobs) {
        const auto &job = state_.jobs[index];
        if (job.state == phase::Stopping) {
            available += job.task
                    * std::int32_t(std::ranges::count(job.places, worker, &task_place::worker));
        }
    }
    while (available.isNegative()) {
        const auto victim = chooseVictim(worker, includeUrgent);
        if (victim == noIndex || victim == forJob) {
            return;
        }
        const auto &job = state_.jobs[victim];
        available += job.task
                * std::int32_t(std::ranges::count(job.places, worker, &task_place::worker));
        preempt(victim, forJob);
    }
}

void core::preempt(index_t victim, index_t forJob)
{
    auto &job = state_.jobs[victim];
    if (job.state == phase::Claiming) {
        abandonClaim(victim);
        return;
    }
    job.state = phase::Stopping;
    actions_.emplace_back(
            preempt_job {job.id, job.attempt, state_.jobs[forJob].id, options_.checkpointDeadline});
}

// Returns whether a worker can hold a claim beside its running jobs and earlier claims. Later
// claims are ignored: the claim would otherwise wait for their preempted jobs, beyond its own
// deadline.
bool core::claimReady(index_t claimant, index_t worker) const
{
    const auto &entry = state_.workers[worker];
    auto available = entry.free();
    for (const auto other : entry.jobs) {
        const auto &job = state_.jobs[other];
        if (job.state == phase::Claiming && job.claim > state_.jobs[claimant].claim) {
            available += job.task
                    * std::int32_t(std::ranges::count(job.places, worker, &task_place::worker));
        }
    }
    return entry.healthy() && !available.isNegative();
}

// Starts the claims on a worker whose preempted jobs have all stopped.
void core::completeClaims(index_t worker)
{
    std::vector<std::pair<std::uint64_t, index_t>> ready;
    for (const auto index : state_.workers[worker].jobs) {
        const auto &job = state_.jobs[index];
        const auto isFree
                = [&](const task_place &place) { return claimReady(index, place.worker); };
        if (job.state == phase::Claiming && std::ranges::all_of(job.places, isFree)) {
            ready.emplace_back(job.claim, index);
        }
    }
    std::ranges::sort(ready);
    for (const auto &[sequence, job] : ready) {
        const auto owned = state_.jobs[job].allocation == allocation_kind::Guaranteed;
        start(job, owned ? "own guarantee after a reclaim" : "after preemption");
    }
}

} // namespace persimmon::placement::detail
