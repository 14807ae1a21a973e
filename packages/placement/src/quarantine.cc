#include "core.h"

namespace persimmon::placement::detail {

namespace {

constexpr std::uint8_t maxDoublings = 8; // keeps the longest quarantine near 4 hours by default

} // namespace

// Attributes a failed task to the job and, if it failed early, to the worker.
void core::recordFailure(index_t job, index_t worker)
{
    auto &entry = state_.jobs[job];
    auto &place = state_.workers[worker];
    if (place.condition == health::Probing) {
        quarantine(worker); // a probe failed; this says nothing about the job
        return;
    }
    if (!place.present || place.condition != health::Good) {
        return;
    }
    if (std::ranges::find(entry.failedOn, worker) == entry.failedOn.end()) {
        entry.failedOn.push_back(worker);
    }
    if (now_ - entry.started > options_.earlyFailure) {
        return;
    }
    if (std::ranges::find(place.failures, entry.id) == place.failures.end()) {
        place.failures.push_back(entry.id);
    }
    if (place.failures.size() >= options_.quarantineFailures) {
        quarantine(worker);
    }
}

void core::recordSuccess(const job_entry &job)
{
    for (const auto &place : job.places) {
        auto &worker = state_.workers[place.worker];
        worker.failures.clear();
        if (worker.condition == health::Probing) {
            readmit(place.worker);
        }
    }
}

void core::quarantine(index_t worker)
{
    auto &entry = state_.workers[worker];
    entry.condition = health::Quarantined;
    const auto duration
            = options_.quarantineTime * (1LL << std::min(entry.quarantines, maxDoublings));
    entry.quarantines += entry.quarantines < maxDoublings ? 1 : 0;
    entry.until = now_ + duration;
    if (std::ranges::find(suspects_, worker) == suspects_.end()) {
        suspects_.push_back(worker);
    }
    actions_.emplace_back(worker_quarantined {state_.workerName(worker), duration});
    // The failures turn out to be the worker's: the jobs are not blamed for them.
    for (const auto id : entry.failures) {
        const auto job = state_.findJob(id);
        if (job == noIndex) {
            continue;
        }
        const auto waiting = state_.jobs[job].state == phase::Waiting;
        if (waiting) {
            queue_.erase(state_.jobs, state_.pools, job);
        }
        std::erase(state_.jobs[job].failedOn, worker);
        if (waiting) {
            queue_.push(state_.jobs, state_.pools, job);
        }
    }
    entry.failures.clear();
    makeUnhealthy(worker);
}

// A job that can't run counts no longer against the workers on which it failed.
void core::forgetFailures(index_t job)
{
    for (const auto worker : state_.jobs[job].failedOn) {
        std::erase(state_.workers[worker].failures, state_.jobs[job].id);
    }
}

void core::updateQuarantine()
{
    const auto suspects = suspects_;
    for (const auto worker : suspects) {
        auto &entry = state_.workers[worker];
        if (entry.condition == health::Quarantined && now_ >= entry.until) {
            entry.condition = health::Probing;
            state_.refresh(worker);
            state_.pools[entry.pool].dispatchNeeded = true;
        }
        const auto proven = [&](index_t job) {
            return state_.jobs[job].state == phase::Running
                    && state_.jobs[job].started >= entry.until
                    && now_ - state_.jobs[job].started > options_.earlyFailure;
        };
        // Without any job to probe with, the worker is trusted again after a further period; it
        // would otherwise stay closed to jobs that are not repeatable.
        const auto unused = entry.jobs.empty() && now_ >= entry.until + options_.quarantineTime;
        if (entry.condition == health::Probing
            && (unused || std::ranges::any_of(entry.jobs, proven))) {
            readmit(worker);
        }
    }
}

void core::readmit(index_t worker)
{
    auto &entry = state_.workers[worker];
    entry.condition = health::Good;
    entry.quarantines = 0;
    std::erase(suspects_, worker);
    state_.refresh(worker);
    auto &pool = state_.pools[entry.pool];
    pool.bindNeeded = pool.bindNeeded || pool.unboundCells > 0;
    pool.dispatchNeeded = true;
    actions_.emplace_back(worker_readmitted {state_.workerName(worker)});
}

// Takes a worker that left, is leaving or is in quarantine out of guarantees, claims and
// reservations. Its jobs stay until their attempts end.
void core::makeUnhealthy(index_t worker)
{
    auto &entry = state_.workers[worker];
    dropCellsOf(worker);
    const auto jobs = entry.jobs;
    for (const auto job : jobs) {
        if (state_.jobs[job].state == phase::Claiming) {
            abandonClaim(job);
        }
    }
    auto &pool = state_.pools[entry.pool];
    for (auto position = pool.reservations.size(); position-- > 0;) {
        const auto &workers = pool.reservations[position].workers;
        if (std::ranges::find(workers, worker) != workers.end()) {
            dropReservation(entry.pool, position);
        }
    }
    state_.refresh(worker);
    // Jobs that avoid workers may now have to use them: all failed searches are forgotten.
    pool.changeCount += pool_entry::maxChanges + 1;
    pool.bindNeeded = true;
    pool.dispatchNeeded = true;
}

} // namespace persimmon::placement::detail
