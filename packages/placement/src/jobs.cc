#include "core.h"

#include <fmt/format.h>

namespace persimmon::placement::detail {

void core::admit(index_t job)
{
    auto &entry = state_.jobs[job];
    entry.queued = now_;
    auto &pool = state_.pools[entry.pool];
    if (pool.present > 0 && neverRuns(job)) {
        return;
    }
    bindCells(entry.pool);
    enqueue(job);
    const auto &group = queue_.group(entry.group);
    if (pool.order->strictOrder || pool.dispatchNeeded) {
        pool.dispatchNeeded = true;
        report(job,
               {group.reason == wait_reason::None ? wait_reason::NoFreeBlock : group.reason,
                group.behind});
        return;
    }
    if (group.jobs.size() > 1) {
        report(job, {group.reason, group.behind}); // the oldest of its group does not fit either
        return;
    }
    if (const auto why = tryStart(job, true)) {
        report(job, *why);
        queue_.group(state_.jobs[job].group).reason = why->reason;
        queue_.group(state_.jobs[job].group).behind = why->behind;
    }
}

// Ends a job that no change of load can ever let start.
bool core::neverRuns(index_t job)
{
    const auto &entry = state_.jobs[job];
    const auto &owner = state_.workspaces[entry.workspace];
    const auto limit = owner.quota == 0 ? 0 : std::max(owner.quota, owner.guaranteed);
    if (limit > 0 && entry.accelerators() > limit) {
        finish(job, result_code::QuotaExceeded,
               fmt::format("needs {} accelerators, the quota of the workspace is {}",
                           entry.accelerators(), owner.quota));
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

void core::judgeWaiting(index_t pool)
{
    if (state_.pools[pool].present == 0) {
        return;
    }
    std::vector<index_t> waiting;
    for (const auto &[id, job] : state_.pools[pool].arrivals) {
        waiting.push_back(job);
    }
    for (const auto job : waiting) {
        neverRuns(job);
    }
}

void core::enqueue(index_t job)
{
    queue_.push(state_.jobs, state_.pools, job);
    ++state_.workspaces[state_.jobs[job].workspace].waiting;
}

// Queues a job again; it is told its reason unless it starts within this step.
void core::requeue(index_t job)
{
    enqueue(job);
    const auto id = state_.jobs[job].group;
    auto &group = queue_.group(id);
    group.reported = {};
    if (!group.reporting) {
        group.reporting = true;
        unreported_.push_back(id);
    }
}

// Turns an allotment into a running attempt.
void core::start(index_t job, std::string_view reason)
{
    auto &entry = state_.jobs[job];
    entry.state = phase::Running;
    entry.started = now_;
    entry.reason = wait_reason::None;
    std::erase(state_.pools[entry.pool].fixedClaims, job);
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
        // The next job of the group may differ in how long it runs; a pass looks at it again.
        queue_.erase(state_.jobs, state_.pools, job);
        --state_.workspaces[entry.workspace].waiting;
    } else if (!entry.places.empty()) {
        giveBack(job);
    }
    if (code == result_code::CannotRun) {
        forgetFailures(job);
    }
    state_.removeJob(job);
}

// Releases the resources of a job and lets claims and waiting jobs use them.
void core::giveBack(index_t job)
{
    auto &entry = state_.jobs[job];
    auto &pool = state_.pools[entry.pool];
    pool.dispatchNeeded = true;
    pool.bindNeeded = pool.bindNeeded || (entry.kind != hold::Soft && pool.unboundCells > 0);
    if (entry.adopted) {
        std::erase(adopted_[entry.pool], job);
        entry.adopted = false;
    }
    entry.backfill = false;
    std::erase(pool.fixedClaims, job);
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

// A claim whose workers were lost or taken goes back to the queue.
void core::abandonClaim(index_t job)
{
    giveBack(job);
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
    } else if (entry.failedOn.size() >= options_.jobFailures) {
        finish(job, result_code::CannotRun,
               fmt::format("failed on {} distinct healthy workers", entry.failedOn.size()));
    } else {
        giveBack(job);
        state_.jobs[job].queued = now_;
        requeue(job);
    }
}

} // namespace persimmon::placement::detail
