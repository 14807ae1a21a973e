#include "core.h"

namespace persimmon::placement::detail {

namespace {

constexpr std::uint8_t maxDoublings = 8; // limits the period to about 4 hours by default

} // namespace

// Attributes a failed task to the job and, if it failed early, to the worker.
void core::recordFailure(index_t job, index_t worker)
{
    auto &entry = state_.jobs[job];
    auto &host = state_.workers[worker];
    if (host.condition == health::Probing) {
        quarantine(worker); // a failed probe is not attributed to the job
        return;
    }
    if (!host.present || host.condition != health::Good) {
        return;
    }
    if (std::ranges::find(entry.failedOn, worker) == entry.failedOn.end()) {
        entry.failedOn.push_back(worker);
    }
    if (now_ - entry.started > options_.earlyFailureWindow) {
        return;
    }
    if (std::ranges::find(host.failures, entry.id) == host.failures.end()) {
        host.failures.push_back(entry.id);
    }
    if (host.failures.size() >= options_.quarantineThreshold) {
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
    const auto duration = options_.initialQuarantine
            * (1LL << std::min(entry.consecutiveQuarantines, maxDoublings));
    entry.consecutiveQuarantines += entry.consecutiveQuarantines < maxDoublings ? 1 : 0;
    entry.quarantineEnd = now_ + duration;
    if (std::ranges::find(suspects_, worker) == suspects_.end()) {
        suspects_.push_back(worker);
    }
    actions_.emplace_back(worker_quarantined {state_.workerName(worker), duration});
    // The failures are attributed to the worker and no longer counted against the jobs.
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
    withdrawWorker(worker);
}

// Removes the failures of a job that can't run from the records of the workers on which it failed.
void core::clearFailures(index_t job)
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
        if (entry.condition == health::Quarantined && now_ >= entry.quarantineEnd) {
            entry.condition = health::Probing;
            state_.updateIndexes(worker);
            state_.pools[entry.pool].dispatchNeeded = true;
        }
        const auto probeSucceeded = [&](index_t job) {
            return state_.jobs[job].state == phase::Running
                    && state_.jobs[job].started >= entry.quarantineEnd
                    && now_ - state_.jobs[job].started > options_.earlyFailureWindow;
        };
        // Without a job to probe with, the worker is readmitted after a further period. It would
        // otherwise never accept jobs that are not repeatable.
        const auto unused
                = entry.jobs.empty() && now_ >= entry.quarantineEnd + options_.initialQuarantine;
        if (entry.condition == health::Probing
            && (unused || std::ranges::any_of(entry.jobs, probeSucceeded))) {
            readmit(worker);
        }
    }
}

void core::readmit(index_t worker)
{
    auto &entry = state_.workers[worker];
    entry.condition = health::Good;
    entry.consecutiveQuarantines = 0;
    std::erase(suspects_, worker);
    state_.updateIndexes(worker);
    auto &pool = state_.pools[entry.pool];
    pool.bindNeeded = pool.bindNeeded || pool.unboundCells > 0;
    pool.dispatchNeeded = true;
    actions_.emplace_back(worker_readmitted {state_.workerName(worker)});
}

// Removes a worker that has left, is leaving or is quarantined from guarantees, claims and
// reservations. Its jobs keep their allocations until their attempts end.
void core::withdrawWorker(index_t worker)
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
    state_.updateIndexes(worker);
    // Jobs that avoid workers may now have to use them: invalidates all failed searches.
    pool.growthCount += pool_entry::maxRecentGrowth + 1;
    pool.bindNeeded = true;
    pool.dispatchNeeded = true;
}

} // namespace persimmon::placement::detail
