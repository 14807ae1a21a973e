#include "core.h"

namespace persimmon::placement::detail {

// More weight on fragmentation reserves earlier: from 0 to 2 times the set delay.
std::int64_t core::reservationDelay() const
{
    const auto total = options_.completionWeight + options_.fragmentationWeight;
    const auto completion = total > 0 ? options_.completionWeight / total : 0.5;
    return static_cast<std::int64_t>(2 * completion * double(options_.reservationDelay.count()));
}

void core::dropReservation(index_t pool, std::size_t position)
{
    auto &held = state_.pools[pool].reservations;
    const auto workers = std::move(held[position].workers);
    held.erase(held.begin() + std::ptrdiff_t(position));
    for (const auto worker : workers) {
        state_.workers[worker].reservedFor = noIndex;
        state_.refresh(worker);
    }
    state_.pools[pool].dispatchNeeded = true;
}

void core::dropReservationsOf(index_t job)
{
    const auto pool = state_.jobs[job].pool;
    auto &held = state_.pools[pool].reservations;
    for (auto position = held.size(); position-- > 0;) {
        if (held[position].job == job) {
            dropReservation(pool, position);
        }
    }
}

// Whether the gang can still start on the reserved workers once other jobs have ended.
bool core::reservationHolds(const reservation &held) const
{
    const auto &job = state_.jobs[held.job];
    for (const auto worker : held.workers) {
        const auto &entry = state_.workers[worker];
        const auto count = std::int32_t(std::ranges::count(held.workers, worker));
        const auto bindable = entry.capacity - entry.bound;
        const auto room = job.repeatable ? entry.capacity : bindable;
        if (!entry.healthy() || !fits(job.task * count, room)) {
            return false;
        }
    }
    return !overQuota(held.job);
}

// The oldest large gang that has waited longer than the delay, else the oldest job that has waited
// several delays. Jobs over their quota are passed over.
index_t core::nextForReservation(index_t pool) const
{
    constexpr int maxLooked = 8;
    const auto &entry = state_.pools[pool];
    const auto delay = reservationDelay();
    const auto search = [&](const std::set<std::pair<job_id, index_t>> &waiting,
                            std::int64_t least) {
        int looked = 0;
        for (const auto &[id, job] : waiting) {
            const auto waited = now_ - state_.jobs[job].queued;
            const auto reserved = std::ranges::find(entry.reservations, job, &reservation::job)
                    != entry.reservations.end();
            if (!reserved && waited > milliseconds(least) && !overQuota(job)) {
                return job;
            }
            if (++looked >= maxLooked) {
                break;
            }
        }
        return noIndex;
    };
    const auto large = search(entry.large, delay);
    return large != noIndex
            ? large
            : search(entry.arrivals, smallJobDelays * std::max<std::int64_t>(delay, 1));
}

// Expected end of the last job on a worker that is neither backfill nor an owner's.
time_point core::expectedIdle(index_t worker) const
{
    auto idle = now_;
    for (const auto number : state_.workers[worker].jobs) {
        const auto &job = state_.jobs[number];
        if (job.backfill || job.kind == hold::Owned) {
            continue;
        }
        const auto expected = estimator_.expected(job.workspace, job.priority, job.accelerators(),
                                                  job.declaredSeconds);
        const auto end = job.started + expected;
        // A job past its expected end is taken to run for another quarter of that time.
        idle = std::max<time_point>(idle, end > now_ ? end : now_ + expected / 4);
    }
    return idle;
}

// Finds the workers on which the gang is expected to start first. Visits all workers of the pool,
// but only when a reservation is made.
// `borrowing` includes cells of guarantees that no owner uses now; owners may take them back.
bool core::findEarliest(index_t job, bool borrowing, std::vector<index_t> &found) const
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
        const auto known = next;
        for (; next < byTime.size() && byTime[next].first <= now_ + horizon; ++next) {
            const auto &entry = state_.workers[byTime[next].second];
            index.set(entry.local, entry.capacity - (borrowing ? entry.owned : entry.bound));
        }
        if (next > known && index.find(*pool.order, need, found)) {
            return true;
        }
    }
    return false;
}

// Sets workers aside for a gang.
bool core::reserve(index_t pool, index_t job)
{
    auto &entry = state_.pools[pool];
    if (!findEarliest(job, false, found_)
        && !(state_.jobs[job].repeatable && findEarliest(job, true, found_))) {
        return false;
    }
    reservation held {job, {}, {}, now_};
    for (const auto local : found_) {
        held.workers.push_back(entry.workers[local]);
    }
    for (const auto worker : held.workers) {
        state_.workers[worker].reservedFor = job;
        state_.refresh(worker);
    }
    held.ready = expectedReady(held);
    entry.reservations.push_back(std::move(held));
    entry.dispatchNeeded = true;
    return true;
}

void core::updateReservations(index_t pool)
{
    auto &entry = state_.pools[pool];
    if (entry.order->strictOrder || entry.arrivals.empty()) {
        return;
    }
    for (auto position = entry.reservations.size(); position-- > 0;) {
        if (!reservationHolds(entry.reservations[position])) {
            dropReservation(pool, position);
        }
    }
    if (entry.reservations.size() < maxReservations && now_ >= entry.reserveAfter) {
        const auto job = nextForReservation(pool);
        if (job != noIndex && !reserve(pool, job)) {
            entry.reserveAfter = now_ + reservationPause;
        }
    }
    for (auto &held : entry.reservations) {
        held.ready = expectedReady(held);
        stopBackfill(held);
    }
    entry.dispatchNeeded = entry.dispatchNeeded || !entry.reservations.empty();
}

time_point core::expectedReady(const reservation &held) const
{
    auto ready = now_;
    for (const auto worker : held.workers) {
        ready = std::max(ready, expectedIdle(worker));
    }
    return ready;
}

bool core::reservedFree(const reservation &held) const
{
    const auto &job = state_.jobs[held.job];
    for (const auto worker : held.workers) {
        const auto &entry = state_.workers[worker];
        const auto count = std::int32_t(std::ranges::count(held.workers, worker));
        const auto bindable = entry.capacity - entry.bound - entry.pinned;
        const auto room = job.repeatable ? entry.free() : smaller(entry.free(), bindable);
        if (!fits(job.task * count, room)) {
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
        const auto barred = !state_.jobs[job].repeatable && state_.pools[pool].unboundCells > 0;
        if (barred || overQuota(job) || !reservedFree(held)) {
            continue;
        }
        std::vector<task_place> places;
        for (const auto worker : held.workers) {
            places.push_back({worker, noIndex});
        }
        const auto lent = [&](const task_place &task) {
            const auto &worker = state_.workers[task.worker];
            return worker.free().accelerators - state_.jobs[job].task.accelerators
                    < (worker.bound - worker.owned).accelerators;
        };
        state_.jobs[job].borrowed = std::ranges::any_of(places, lent);
        place(job, state_.jobs[job].repeatable ? hold::Soft : hold::Pinned, std::move(places),
              "reserved workers");
        --position; // the reservation has been dropped
    }
}

// Once only backfill keeps a reserved gang from starting, the backfill is preempted: an estimate
// that was too low must not delay the gang. After overdueDelays the same holds for all preemptible
// jobs up to the gang's class, so that the wait of a gang is bounded.
void core::stopBackfill(const reservation &held)
{
    const auto &gang = state_.jobs[held.job];
    const auto limit = milliseconds(overdueDelays * std::max<std::int64_t>(reservationDelay(), 1));
    const auto overdue = now_ - held.made >= limit;
    std::vector<index_t> victims;
    for (const auto worker : held.workers) {
        const auto &entry = state_.workers[worker];
        auto room = entry.free();
        for (const auto number : entry.jobs) {
            const auto &job = state_.jobs[number];
            const auto count = std::ranges::count(job.places, worker, &task_place::worker);
            const auto soft = job.kind == hold::Soft && job.priority <= gang.priority;
            if (job.backfill || job.state == phase::Stopping || (overdue && soft)) {
                room += job.task * std::int32_t(count);
                victims.push_back(number);
            }
        }
        if (!fits(gang.task * std::int32_t(std::ranges::count(held.workers, worker)), room)) {
            return;
        }
    }
    for (const auto job : victims) {
        if (state_.jobs[job].state == phase::Running) {
            preempt(job, held.job);
        }
    }
}

// Notes the largest free room on a reserved worker and the latest start of a reserved gang, so that
// a pass looks closely only at jobs that may run before it.
void core::measureReserved(index_t pool)
{
    reservedRoom_ = {};
    reservedUntil_ = {};
    for (const auto &held : state_.pools[pool].reservations) {
        for (const auto worker : held.workers) {
            reservedRoom_ = larger(reservedRoom_, state_.workers[worker].free());
        }
        reservedUntil_ = std::max(reservedUntil_, held.ready);
    }
}

bool core::mayBackfill(const job_group &group, const job_kind &kind) const
{
    if (!kind.repeatable || !fits(kind.task, reservedRoom_)) {
        return false;
    }
    const auto accelerators = kind.task.accelerators * std::int32_t(kind.tasks);
    const auto bound = estimator_.upperBound(group.workspace, group.priority, accelerators);
    return bound.count() > 0 && now_ + bound <= reservedUntil_;
}

// Starts a preemptible job on reserved workers if 9 of 10 similar jobs ended before the gang is
// expected to start.
bool core::backfill(index_t number)
{
    const auto &job = state_.jobs[number];
    const auto &pool = state_.pools[job.pool];
    if (!job.repeatable || !job.failedOn.empty() || pool.reservations.empty()) {
        return false;
    }
    const auto bound = estimator_.upperBound(job.workspace, job.priority, job.accelerators());
    for (const auto &held : pool.reservations) {
        if (held.job == number || bound.count() == 0 || now_ + bound > held.ready) {
            continue;
        }
        std::vector<task_place> places;
        auto last = noIndex;
        for (const auto worker : held.workers) {
            const auto slots
                    = worker == last ? 0 : slotsOf(job.task, state_.workers[worker].free());
            const auto left = std::uint32_t(job.tasks - places.size());
            places.insert(places.end(), std::min(left, slots), {worker, noIndex});
            last = worker;
        }
        if (places.size() == job.tasks) {
            state_.jobs[number].backfill = true;
            place(number, hold::Soft, std::move(places), "backfill before a reservation");
            return true;
        }
    }
    return false;
}

} // namespace persimmon::placement::detail
