#include "core.h"

namespace persimmon::placement::detail {

// Number of tasks that the free part of a cell holds.
std::uint32_t core::ownedSlots(const job_entry &job, const cell &block, bool physical) const
{
    std::uint32_t slots = 0;
    for (const auto number : block.slices) {
        const auto &part = state_.slices[number];
        auto room = part.size - part.used;
        if (physical) {
            room = smaller(room, state_.workers[part.worker].free());
        }
        slots += slotsOf(job.task, room);
    }
    return slots;
}

bool core::takeFromCell(const job_entry &job, const cell &block, bool physical, std::uint32_t tasks,
                        std::vector<task_place> &places) const
{
    for (const auto number : block.slices) {
        const auto &part = state_.slices[number];
        auto room = part.size - part.used;
        if (physical) {
            room = smaller(room, state_.workers[part.worker].free());
        }
        const auto count = std::min(tasks, slotsOf(job.task, room));
        places.insert(places.end(), count, {part.worker, number});
        tasks -= count;
    }
    return tasks == 0;
}

bool core::physicallyFree(const job_entry &job, const std::vector<task_place> &places) const
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

// Finds room for a job in the cells of its own workspace: the tightest single cell, or several
// cells of one region. With `physical` set, the workers have to be free of borrowers as well.
bool core::findOwned(index_t number, bool physical, std::vector<task_place> &places) const
{
    places.clear();
    const auto &job = state_.jobs[number];
    const auto &owned = state_.workspaces[job.workspace].cells;
    const auto mine
            = std::ranges::find(owned, job.pool, &std::pair<index_t, std::vector<index_t>>::first);
    const auto &owner = state_.workspaces[job.workspace];
    if (mine == owned.end() || job.task.accelerators == 0
        || owner.guaranteed - owner.owned < job.accelerators()) {
        return false;
    }
    const auto &topology = state_.pools[job.pool].places;
    std::map<index_t, std::vector<std::pair<std::uint32_t, index_t>>> byRegion;
    auto best = noIndex;
    auto bestSlots = maxGangTasks * 64;
    for (const auto id : mine->second) {
        const auto &block = state_.cells[id];
        const auto slots = block.bound ? ownedSlots(job, block, physical) : 0;
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
        return takeFromCell(job, state_.cells[best], physical, job.tasks, places)
                && (!physical || physicallyFree(job, places));
    }
    for (auto &[region, parts] : byRegion) {
        std::ranges::stable_sort(parts, std::greater {}, &std::pair<std::uint32_t, index_t>::first);
        places.clear();
        for (const auto &[slots, id] : parts) {
            const auto left = std::uint32_t(job.tasks - places.size());
            takeFromCell(job, state_.cells[id], physical, std::min(left, slots), places);
        }
        if (places.size() == job.tasks && (!physical || physicallyFree(job, places))) {
            return true;
        }
    }
    places.clear();
    return false;
}

// Allots room that borrowers still use and stops them; the job starts when they have stopped.
void core::claim(index_t job, hold kind, std::vector<task_place> places)
{
    auto &entry = state_.jobs[job];
    dropReservationsOf(job);
    queue_.erase(state_.jobs, state_.pools, job);
    --state_.workspaces[entry.workspace].waiting;
    state_.allot(job, kind, std::move(places));
    entry.state = phase::Claiming;
    entry.claim = ++claims_;
    if (!entry.repeatable) {
        state_.pools[entry.pool].fixedClaims.push_back(job);
    }
    report(job, {wait_reason::PreemptionPending, {}});
    const auto urgentToo = kind == hold::Owned;
    const auto taken = entry.places;
    for (const auto &place : taken) {
        preemptOn(place.worker, job, urgentToo);
    }
    completeClaims(taken.front().worker);
}

// Urgent work outside its guarantee takes the room of preemptible jobs below urgent.
bool core::claimUrgent(index_t job)
{
    const auto &entry = state_.jobs[job];
    const auto kind = entry.repeatable ? hold::Soft : hold::Pinned;
    if (!findIn(entry.repeatable ? view::Reclaim : view::Bindable, job, found_)) {
        return false;
    }
    auto places = state_.toPlaces(entry.pool, found_);
    for (const auto &place : places) {
        const auto &worker = state_.workers[place.worker];
        const auto count = std::ranges::count(places, place.worker, &task_place::worker);
        const auto room = worker.capacity - worker.owned - worker.pinned - worker.urgent;
        if (worker.reservedFor != noIndex || !fits(entry.task * std::int32_t(count), room)) {
            return false;
        }
    }
    claim(job, kind, std::move(places));
    return true;
}

index_t core::chooseVictim(index_t worker, bool urgentToo) const
{
    auto victim = noIndex;
    const auto rank = [&](index_t number) {
        const auto &job = state_.jobs[number];
        // Backfill and lower classes first, then whatever has run for the shortest time.
        return std::tuple(!job.backfill, job.priority, now_ - job.started, job.id);
    };
    for (const auto number : state_.workers[worker].jobs) {
        const auto &job = state_.jobs[number];
        const auto stoppable = job.state == phase::Running || job.state == phase::Claiming;
        if (job.kind != hold::Soft || !stoppable
            || (job.priority == priority_class::Urgent && !urgentToo)) {
            continue;
        }
        if (victim == noIndex || rank(number) < rank(victim)) {
            victim = number;
        }
    }
    return victim;
}

// Preempts jobs until the worker will hold what has been allotted on it.
void core::preemptOn(index_t worker, index_t forJob, bool urgentToo)
{
    auto room = state_.workers[worker].free();
    for (const auto number : state_.workers[worker].jobs) {
        const auto &job = state_.jobs[number];
        if (job.state == phase::Stopping) {
            room += job.task
                    * std::int32_t(std::ranges::count(job.places, worker, &task_place::worker));
        }
    }
    while (room.isNegative()) {
        const auto victim = chooseVictim(worker, urgentToo);
        if (victim == noIndex || victim == forJob) {
            return;
        }
        const auto &job = state_.jobs[victim];
        room += job.task
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

// Whether a worker holds a claim beside running jobs and earlier claims. Later ones don't count:
// the claim would otherwise wait for their preempted jobs, beyond its own deadline.
bool core::claimReady(index_t number, index_t worker) const
{
    const auto &entry = state_.workers[worker];
    auto room = entry.free();
    for (const auto other : entry.jobs) {
        const auto &job = state_.jobs[other];
        if (job.state == phase::Claiming && job.claim > state_.jobs[number].claim) {
            room += job.task
                    * std::int32_t(std::ranges::count(job.places, worker, &task_place::worker));
        }
    }
    return entry.healthy() && !room.isNegative();
}

// Starts the claims on a worker for which the last preempted job has stopped.
void core::completeClaims(index_t worker)
{
    std::vector<std::pair<std::uint64_t, index_t>> ready;
    for (const auto number : state_.workers[worker].jobs) {
        const auto &job = state_.jobs[number];
        const auto isFree
                = [&](const task_place &place) { return claimReady(number, place.worker); };
        if (job.state == phase::Claiming && std::ranges::all_of(job.places, isFree)) {
            ready.emplace_back(job.claim, number);
        }
    }
    std::ranges::sort(ready);
    for (const auto &[rank, job] : ready) {
        const auto owned = state_.jobs[job].kind == hold::Owned;
        start(job, owned ? "own guarantee after a reclaim" : "after preemption");
    }
}

} // namespace persimmon::placement::detail
