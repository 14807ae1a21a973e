#include "core.h"

namespace persimmon::placement::detail {

// Returns the effective delay, from 0 to 2 times the configured one. A higher fragmentation weight
// gives earlier reservations.
std::int64_t core::reservationDelay() const
{
    const auto total = options_.completionWeight + options_.fragmentationWeight;
    const auto completion = total > 0 ? options_.completionWeight / total : 0.5;
    return static_cast<std::int64_t>(2 * completion * double(options_.reservationDelay.count()));
}

void core::dropReservation(index_t pool, std::size_t position)
{
    auto &reservations = state_.pools[pool].reservations;
    const auto workers = std::move(reservations[position].workers);
    reservations.erase(reservations.begin() + std::ptrdiff_t(position));
    for (const auto worker : workers) {
        state_.workers[worker].reservedFor = noIndex;
        state_.updateIndexes(worker);
    }
    state_.pools[pool].dispatchNeeded = true;
}

void core::dropReservationsOf(index_t job)
{
    const auto pool = state_.jobs[job].pool;
    auto &reservations = state_.pools[pool].reservations;
    for (auto position = reservations.size(); position-- > 0;) {
        if (reservations[position].job == job) {
            dropReservation(pool, position);
        }
    }
}

// Returns whether the job can still start on the reserved workers once other jobs have ended.
bool core::reservationFeasible(const reservation &held) const
{
    const auto &job = state_.jobs[held.job];
    for (const auto worker : held.workers) {
        const auto &entry = state_.workers[worker];
        const auto count = std::int32_t(std::ranges::count(held.workers, worker));
        const auto bindable = entry.capacity - entry.bound;
        const auto available = job.repeatable ? entry.capacity : bindable;
        if (!entry.healthy() || !fits(job.task * count, available)) {
            return false;
        }
    }
    return !overQuota(held.job);
}

// Returns the oldest large gang that has waited for longer than the delay, otherwise the oldest job
// that has waited for longer than smallJobDelays delays. Skips jobs that are over quota.
index_t core::nextForReservation(index_t pool) const
{
    constexpr int maxExamined = 8;
    const auto &entry = state_.pools[pool];
    const auto delay = reservationDelay();
    const auto search = [&](const std::set<std::pair<job_id, index_t>> &waiting,
                            std::int64_t least) {
        int examined = 0;
        for (const auto &[id, job] : waiting) {
            const auto waited = now_ - state_.jobs[job].queued;
            const auto reserved = std::ranges::find(entry.reservations, job, &reservation::job)
                    != entry.reservations.end();
            if (!reserved && waited > milliseconds(least) && !overQuota(job)) {
                return job;
            }
            if (++examined >= maxExamined) {
                break;
            }
        }
        return noIndex;
    };
    const auto large = search(entry.waitingLargeGangs, delay);
    return large != noIndex
            ? large
            : search(entry.waitingJobs, smallJobDelays * std::max<std::int64_t>(delay, 1));
}

// Returns the expected end of the last job on a worker, ignoring backfill and Guaranteed
// allocations.
time_point core::expectedIdle(index_t worker) const
{
    auto idle = now_;
    for (const auto index : state_.workers[worker].jobs) {
        const auto &job = state_.jobs[index];
        if (job.backfill || job.allocation == allocation_kind::Guaranteed) {
            continue;
        }
        const auto expected = estimator_.expected(job.workspace, job.priority, job.accelerators(),
                                                  job.declaredSeconds);
        const auto end = job.started + expected;
        // A job past its expected end is assumed to run for another quarter of its expected run
        // time.
        idle = std::max<time_point>(idle, end > now_ ? end : now_ + expected / 4);
    }
    return idle;
}

// Finds the workers on which the job is expected to start earliest. Visits all workers of the pool;
// called only when a reservation is made. `borrowing` includes capacity of guarantees that their
// owners don't use and may reclaim.
bool core::findEarliestWorkers(index_t job, bool borrowing, std::vector<index_t> &found) const
{
    const auto &gang = state_.jobs[job];
    const auto &pool = state_.pools[gang.pool];
    std::vector<std::pair<time_point, index_t>> byTime;
    for (const auto worker : pool.workers) {
        const auto &entry = state_.workers[worker];
        if (entry.healthy() && entry.reservedFor == noIndex && fits(gang.task, entry.capacity)) {
            byTime.emplace_back(expectedIdle(worker), worker);
        }
    }
    std::ranges::sort(byTime);
    capacity_index index(pool.places);
    const request need {gang.task, gang.tasks};
    auto horizon = std::chrono::seconds(30);
    for (std::size_t next = 0; next < byTime.size(); horizon *= 2) {
        const auto first = next;
        for (; next < byTime.size() && byTime[next].first <= now_ + horizon; ++next) {
            const auto &entry = state_.workers[byTime[next].second];
            index.set(entry.local,
                      entry.capacity - (borrowing ? entry.guaranteedUse : entry.bound));
        }
        if (next > first && index.find(*pool.policy, need, found)) {
            return true;
        }
    }
    return false;
}

// Reserves workers for a job. Returns false if no workers can hold it.
bool core::reserve(index_t pool, index_t job)
{
    auto &entry = state_.pools[pool];
    if (!findEarliestWorkers(job, false, found_)
        && !(state_.jobs[job].repeatable && findEarliestWorkers(job, true, found_))) {
        return false;
    }
    reservation held {job, {}, {}, now_};
    for (const auto local : found_) {
        held.workers.push_back(entry.workers[local]);
    }
    for (const auto worker : held.workers) {
        state_.workers[worker].reservedFor = job;
        state_.updateIndexes(worker);
    }
    held.expectedStart = estimateStart(held);
    entry.reservations.push_back(std::move(held));
    entry.dispatchNeeded = true;
    return true;
}

void core::updateReservations(index_t pool)
{
    auto &entry = state_.pools[pool];
    if (entry.policy->strictOrder || entry.waitingJobs.empty()) {
        return;
    }
    for (auto position = entry.reservations.size(); position-- > 0;) {
        if (!reservationFeasible(entry.reservations[position])) {
            dropReservation(pool, position);
        }
    }
    if (entry.reservations.size() < maxReservations && now_ >= entry.reserveAfter) {
        const auto job = nextForReservation(pool);
        if (job != noIndex && !reserve(pool, job)) {
            entry.reserveAfter = now_ + reservationRetryDelay;
        }
    }
    for (auto &held : entry.reservations) {
        held.expectedStart = estimateStart(held);
        preemptForReservation(held);
    }
    entry.dispatchNeeded = entry.dispatchNeeded || !entry.reservations.empty();
}

time_point core::estimateStart(const reservation &held) const
{
    auto ready = now_;
    for (const auto worker : held.workers) {
        ready = std::max(ready, expectedIdle(worker));
    }
    return ready;
}

bool core::reservedWorkersFree(const reservation &held) const
{
    const auto &job = state_.jobs[held.job];
    for (const auto worker : held.workers) {
        const auto &entry = state_.workers[worker];
        const auto count = std::int32_t(std::ranges::count(held.workers, worker));
        const auto bindable = entry.capacity - entry.bound - entry.nonPreemptibleUse;
        const auto available = job.repeatable ? entry.free() : smaller(entry.free(), bindable);
        if (!fits(job.task * count, available)) {
            return false;
        }
    }
    return true;
}

void core::startReserved(index_t pool)
{
    for (std::size_t position = 0; position < state_.pools[pool].reservations.size(); ++position) {
        const auto &held = state_.pools[pool].reservations[position];
        const auto job = held.job;
        const auto blocked = !state_.jobs[job].repeatable && state_.pools[pool].unboundCells > 0;
        if (blocked || overQuota(job) || !reservedWorkersFree(held)) {
            continue;
        }
        std::vector<task_place> places;
        for (const auto worker : held.workers) {
            places.push_back({worker, noIndex});
        }
        const auto lent = [&](const task_place &task) {
            const auto &worker = state_.workers[task.worker];
            return worker.free().accelerators - state_.jobs[job].task.accelerators
                    < (worker.bound - worker.guaranteedUse).accelerators;
        };
        state_.jobs[job].borrowed = std::ranges::any_of(places, lent);
        place(job,
              state_.jobs[job].repeatable ? allocation_kind::Preemptible
                                          : allocation_kind::NonPreemptible,
              std::move(places), "reserved workers");
        --position; // the reservation has been dropped
    }
}

// Preempts backfill jobs when only they prevent a reserved job from starting, so that a run time
// estimate that was too low does not delay the job. After overdueDelays also preempts all
// preemptible jobs up to the class of the reserved job, which bounds its wait.
void core::preemptForReservation(const reservation &held)
{
    const auto &gang = state_.jobs[held.job];
    const auto limit = milliseconds(overdueDelays * std::max<std::int64_t>(reservationDelay(), 1));
    const auto overdue = now_ - held.createdAt >= limit;
    std::vector<index_t> victims;
    for (const auto worker : held.workers) {
        const auto &entry = state_.workers[worker];
        auto available = entry.free();
        for (const auto index : entry.jobs) {
            const auto &job = state_.jobs[index];
            const auto count = std::ranges::count(job.places, worker, &task_place::worker);
            const auto preemptible = job.allocation == allocation_kind::Preemptible
                    && job.priority <= gang.priority;
            if (job.backfill || job.state == phase::Stopping || (overdue && preemptible)) {
                available += job.task * std::int32_t(count);
                victims.push_back(index);
            }
        }
        if (!fits(gang.task * std::int32_t(std::ranges::count(held.workers, worker)), available)) {
            return;
        }
    }
    for (const auto job : victims) {
        if (state_.jobs[job].state == phase::Running) {
            preempt(job, held.job);
        }
    }
}

// Updates the largest free capacity of a reserved worker and the latest expected start of a
// reserved job, so that a pass tries only jobs that can finish before it.
void core::updateBackfillBounds(index_t pool)
{
    largestReservedCapacity_ = {};
    latestReservedStart_ = {};
    for (const auto &held : state_.pools[pool].reservations) {
        for (const auto worker : held.workers) {
            largestReservedCapacity_
                    = larger(largestReservedCapacity_, state_.workers[worker].free());
        }
        latestReservedStart_ = std::max(latestReservedStart_, held.expectedStart);
    }
}

bool core::mayBackfill(const job_group &group, const job_kind &kind) const
{
    if (!kind.repeatable || !fits(kind.task, largestReservedCapacity_)) {
        return false;
    }
    const auto accelerators = kind.task.accelerators * std::int32_t(kind.tasks);
    const auto bound = estimator_.upperBound(group.workspace, group.priority, accelerators);
    return bound.count() > 0 && now_ + bound <= latestReservedStart_;
}

// Starts a repeatable job on reserved workers if its run time bound, which 9 of 10 similar jobs did
// not exceed, ends before the expected start of the reserved job.
bool core::backfill(index_t index)
{
    const auto &job = state_.jobs[index];
    const auto &pool = state_.pools[job.pool];
    if (!job.repeatable || !job.failedOn.empty() || pool.reservations.empty()) {
        return false;
    }
    const auto bound = estimator_.upperBound(job.workspace, job.priority, job.accelerators());
    for (const auto &held : pool.reservations) {
        if (held.job == index || bound.count() == 0 || now_ + bound > held.expectedStart) {
            continue;
        }
        std::vector<task_place> places;
        auto previous = noIndex;
        for (const auto worker : held.workers) {
            const auto slots
                    = worker == previous ? 0 : slotsOf(job.task, state_.workers[worker].free());
            const auto remaining = std::uint32_t(job.tasks - places.size());
            places.insert(places.end(), std::min(remaining, slots), {worker, noIndex});
            previous = worker;
        }
        if (places.size() == job.tasks) {
            state_.jobs[index].backfill = true;
            place(index, allocation_kind::Preemptible, std::move(places),
                  "backfill before a reservation");
            return true;
        }
    }
    return false;
}

} // namespace persimmon::placement::detail
