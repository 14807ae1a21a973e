#include "core.h"

#include <fmt/format.h>

namespace persimmon::placement::detail {

void core::admit(index_t job)
{
    auto &entry = state_.jobs[job];
    entry.queued = now_;
    auto &pool = state_.pools[entry.pool];
    if (pool.present > 0 && rejectIfInfeasible(job)) {
        return;
    }
    bindCells(entry.pool);
    enqueue(job);
    const auto &group = queue_.group(entry.group);
    if (pool.policy->strictOrder || pool.dispatchNeeded) {
        pool.dispatchNeeded = true;
        report(job,
               {group.reason == wait_reason::None ? wait_reason::NoFreeBlock : group.reason,
                group.blockedBy});
        return;
    }
    if (group.jobs.size() > 1) {
        report(job, {group.reason, group.blockedBy}); // the oldest job of its group waits as well
        return;
    }
    if (const auto cause = tryStart(job, true)) {
        report(job, *cause);
        queue_.group(state_.jobs[job].group).reason = cause->reason;
        queue_.group(state_.jobs[job].group).blockedBy = cause->blockedBy;
    }
}

// Ends a job that could not start even in an idle pool; returns whether it did.
bool core::rejectIfInfeasible(index_t job)
{
    const auto &entry = state_.jobs[job];
    const auto &workspace = state_.workspaces[entry.workspace];
    const auto limit = workspace.quota == 0 ? 0 : std::max(workspace.quota, workspace.guaranteed);
    if (limit > 0 && entry.accelerators() > limit) {
        finish(job, result_code::QuotaExceeded,
               fmt::format("needs {} accelerators, the quota of the workspace is {}",
                           entry.accelerators(), workspace.quota));
        return true;
    }
    const auto &pool = state_.pools[entry.pool];
    if (!pool.at(view::Known).find(*findStrategy("best_fit"), {entry.task, entry.tasks}, found_)) {
        finish(job, result_code::ShapeImpossible,
               fmt::format("no region of pool {} can hold {} x ({} accelerators, {} cores, {} MB)",
                           state_.poolName(entry.pool), entry.tasks, entry.task.accelerators,
                           entry.task.cores, entry.task.memoryMb));
        return true;
    }
    return false;
}

void core::rejectInfeasibleJobs(index_t pool)
{
    if (state_.pools[pool].present == 0) {
        return;
    }
    std::vector<index_t> waiting;
    for (const auto &[id, job] : state_.pools[pool].waitingJobs) {
        waiting.push_back(job);
    }
    for (const auto job : waiting) {
        rejectIfInfeasible(job);
    }
}

void core::enqueue(index_t job)
{
    queue_.push(state_.jobs, state_.pools, job);
    ++state_.workspaces[state_.jobs[job].workspace].waiting;
}

// Queues a job again. Its wait reason is reported unless it starts within this step.
void core::requeue(index_t job)
{
    enqueue(job);
    const auto id = state_.jobs[job].group;
    auto &group = queue_.group(id);
    group.reportedUpTo = {};
    if (!group.reportPending) {
        group.reportPending = true;
        groupsToReport_.push_back(id);
    }
}

// Starts an attempt on the allocated resources.
void core::start(index_t job, std::string_view reason)
{
    auto &entry = state_.jobs[job];
    entry.state = phase::Running;
    entry.started = now_;
    entry.reason = wait_reason::None;
    std::erase(state_.pools[entry.pool].nonRepeatableClaims, job);
    ++entry.attempt;
    place_job placed {entry.id, entry.attempt, {}, entry.borrowed, std::string(reason)};
    placed.workers.reserve(entry.places.size());
    for (const auto &task : entry.places) {
        placed.workers.push_back(state_.workerName(task.worker));
    }
    actions_.emplace_back(std::move(placed));
}

// Ends a job without a result.
void core::finish(index_t job, result_code code, std::string detail)
{
    auto &entry = state_.jobs[job];
    actions_.emplace_back(end_job {entry.id, code, std::move(detail)});
    if (entry.state == phase::Waiting) {
        dropReservationsOf(job);
        // The next job of the group may have a different run time; the next pass tries it.
        queue_.erase(state_.jobs, state_.pools, job);
        --state_.workspaces[entry.workspace].waiting;
    } else if (!entry.places.empty()) {
        releaseResources(job);
    }
    if (code == result_code::CannotRun) {
        clearFailures(job);
    }
    state_.removeJob(job);
}

// Releases the resources of a job, completes claims on them and schedules a dispatch.
void core::releaseResources(index_t job)
{
    auto &entry = state_.jobs[job];
    auto &pool = state_.pools[entry.pool];
    pool.dispatchNeeded = true;
    pool.bindNeeded = pool.bindNeeded
            || (entry.allocation != allocation_kind::Preemptible && pool.unboundCells > 0);
    if (entry.adoptionPending) {
        std::erase(pendingAdoptions_[entry.pool], job);
        entry.adoptionPending = false;
    }
    entry.backfill = false;
    std::erase(pool.nonRepeatableClaims, job);
    const auto places = entry.places;
    state_.release(job);
    index_t last = noIndex;
    for (const auto &place : places) {
        if (place.worker != last) {
            completeClaims(place.worker);
        }
        last = place.worker;
    }
}

// Requeues a job whose claim lost its workers or cells or was displaced by another claim.
void core::abandonClaim(index_t job)
{
    releaseResources(job);
    requeue(job);
}

void core::retry(index_t job, const attempt_ended &input)
{
    auto &entry = state_.jobs[job];
    const auto worker = input.worker.empty() ? noIndex : state_.workerNamed(input.worker);
    if (input.how == attempt_end::TaskFailed && worker != noIndex) {
        recordFailure(job, worker);
    }
    const auto mayHaveRun = input.mayHaveRun && input.how != attempt_end::Cancelled;
    if (entry.cancelled || input.how == attempt_end::Cancelled) {
        finish(job, result_code::Cancelled, "cancelled while running");
    } else if (!entry.repeatable && mayHaveRun) {
        const auto failed = input.how == attempt_end::TaskFailed;
        finish(job, failed ? result_code::CannotRun : result_code::OutcomeUnknown,
               failed ? "failed and is not repeatable" : "lost and is not repeatable");
    } else if (entry.failedOn.size() >= options_.maxFailedWorkers) {
        finish(job, result_code::CannotRun,
               fmt::format("failed on {} distinct healthy workers", entry.failedOn.size()));
    } else {
        releaseResources(job);
        state_.jobs[job].queued = now_;
        requeue(job);
    }
}

} // namespace persimmon::placement::detail
