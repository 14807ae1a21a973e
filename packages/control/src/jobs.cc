#include "jobs.h"

#include "base/log.h"

#include <algorithm>

namespace persimmon::control {

namespace {

using placement::attempt_end;

// Interval of the search for ledger changes whose reply was lost. Changes with a reply are
// processed immediately.
constexpr milliseconds reconcilePeriod {1000};

std::uint32_t attemptOf(const job_entry &entry)
{
    return entry.workers.empty() ? 0 : entry.attempt;
}

} // namespace

jobs::jobs(context &shared, membership &members, view &upstreamView)
    : shared_(shared)
    , members_(members)
    , orders_(upstreamView)
{
}

void jobs::reset()
{
    started_ = false;
    orders_.reset();
    events_.clear();
    deferredEnds_.clear();
    tracked_.clear();
    jobsByWorker_.clear();
    dueJobs_.clear();
    leasesChecked_ = false;
    quarantined_.clear();
    pendingWaits_.clear();
    recordsProposed_ = false;
    trimProposed_ = false;
    nextReconcile_ = nextRecords_ = nextTrim_ = time_point {};
}

void jobs::loadOpenJobs()
{
    const auto open = shared_.data().openJobs;
    for (const auto id : open)
        track(id);
    orders_.flush();
}

void jobs::start()
{
    started_ = true;
    tablesChanged();
    for (const auto &value : members_.upstreams())
        upstreamJoined(value);
    const auto open = shared_.data().openJobs;
    for (const auto id : open) {
        const auto &entry = *shared_.data().find(id);
        auto &job = tracked_[id];
        if (entry.workers.empty())
            continue;
        job.registered = job.placed = true;
        job.placementAttempt = entry.attempt;
        std::vector<std::string> workers;
        for (const auto &grant : entry.workers)
            workers.push_back(grant.worker);
        step(placement::job_restored {id, entry.spec, entry.attempt, workers, entry.released});
    }
    for (const auto id : open)
        advance(id);
    orders_.flush();
}

void jobs::submit(const std::string &key, const job_spec &spec,
                  coordinator::completion<job_id> done)
{
    const auto toId = [](const reply &answer) { return static_cast<job_id>(answer.value); };
    const auto onAccepted = [this, toId](const reply &answer) {
        if (!started_)
            recordWait(toId(answer), wait_reason::RebuildingView, {}, {});
        track(toId(answer));
    };
    shared_.commitAndAnswer<job_id>(submit_job {key, spec}, std::move(done), toId, onAccepted);
}

void jobs::cancel(job_id id, coordinator::completion<std::monostate> done)
{
    shared_.commitAndAnswer<std::monostate>(
            cancel_job {id}, std::move(done), [](const reply &) { return std::monostate {}; },
            [this, id](const reply &) { advance(id); });
}

void jobs::report(const std::vector<task_report> &reports)
{
    std::set<job_id> changed;
    for (const auto &item : reports) {
        const auto *entry = shared_.data().find(item.task.job);
        const auto found = tracked_.find(item.task.job);
        if (!entry || found == tracked_.end() || !found->second.progress)
            continue;
        if (applyReport(*entry, *found->second.progress, item))
            changed.insert(item.task.job);
    }
    for (const auto id : changed)
        advance(id);
    orders_.flush();
}

void jobs::tablesChanged()
{
    const auto &current = shared_.data().current;
    step(placement::tables_changed {current.pools, current.workspaces});
}

void jobs::tick()
{
    if (started_) {
        const auto deferred = std::move(deferredEnds_);
        deferredEnds_.clear();
        for (const auto &ended : deferred)
            step(ended);
        step(placement::clock_ticked {});
    }
    advanceDue();
    if (shared_.now() >= nextReconcile_) {
        nextReconcile_ = shared_.now() + reconcilePeriod;
        reconcile();
    }
    commitRecords();
    trim();
    orders_.flush();
}

void jobs::advanceDue()
{
    const auto due = std::move(dueJobs_);
    dueJobs_.clear();
    for (const auto id : due)
        advance(id);
}

void jobs::reconcile()
{
    // Workers that have not been announced to a new leader within one upstream lease count as lost
    // from then on. No event reports this, so all jobs are advanced once.
    const bool firstLeasesExpired = !leasesChecked_
            && shared_.now() >= shared_.leaderSince() + shared_.options().upstreamLease;
    leasesChecked_ = leasesChecked_ || firstLeasesExpired;
    std::vector<job_id> differing;
    for (const auto id : shared_.data().openJobs) {
        const auto found = tracked_.find(id);
        const auto &entry = *shared_.data().find(id);
        if (firstLeasesExpired || found == tracked_.end()
            || found->second.lastState != std::pair {entry.state, entry.attempt})
            differing.push_back(id);
    }
    for (const auto &[id, job] : tracked_)
        if (!shared_.data().openJobs.contains(id))
            differing.push_back(id);
    for (const auto id : differing)
        track(id);
}

void jobs::track(job_id id)
{
    const auto *entry = shared_.data().find(id);
    if (entry && !isTerminal(entry->state))
        tracked_.try_emplace(id);
    advance(id);
}

void jobs::advance(job_id id)
{
    // Each iteration processes one change. This may run placement, which may change the job again.
    while (shared_.leading()) {
        const auto found = tracked_.find(id);
        if (found == tracked_.end())
            return;
        const auto *entry = shared_.data().find(id);
        if (!entry) {
            tracked_.erase(found);
            return;
        }
        found->second.lastState = {entry->state, entry->attempt};
        if (!advanceOnce(*entry, found->second))
            return;
    }
}

bool jobs::advanceOnce(const job_entry &entry, tracked &job)
{
    if (job.progress && job.progress->attempt != attemptOf(entry))
        return closeAttempt(entry, job);
    if (!job.progress && !entry.workers.empty())
        return openAttempt(entry, job);
    if (entry.cancelRequested && job.registered && !job.cancelSent) {
        job.cancelSent = true;
        step(placement::job_cancelled {entry.id});
        return true;
    }
    if (isTerminal(entry.state)) {
        untrackEnded(entry, job);
        return false;
    }
    if (job.progress) {
        advanceOpen(entry, job);
        return false;
    }
    return advanceWaiting(entry, job);
}

bool jobs::openAttempt(const job_entry &entry, tracked &job)
{
    job.grant.reset();
    job.progress.emplace();
    job.progress->attempt = entry.attempt;
    job.publishedAction.reset();
    job.progress->tasks.resize(entry.workers.size());
    for (const auto &grant : entry.workers) {
        job.workers.push_back(grant.worker);
        jobsByWorker_[grant.worker].insert(entry.id);
    }
    return true;
}

bool jobs::closeAttempt(const job_entry &entry, tracked &job)
{
    const bool done = entry.state == job_state::Done;
    const auto how = done ? attempt_end::Completed : entry.stopReason;
    for (const auto &worker : job.workers)
        jobsByWorker_[worker].erase(entry.id);
    job.workers.clear();
    job.progress.reset();
    job.stopRequest.reset();
    orders_.set(entry.id, {});
    if (!job.placed)
        return true;
    job.placed = false;
    const placement::attempt_ended ended {entry.id, job.placementAttempt, how, entry.stopWorker};
    // Prevents placement from placing a job that the ledger has ended.
    if (isTerminal(entry.state) && !done && !job.cancelSent) {
        job.cancelSent = true;
        step(placement::job_cancelled {entry.id});
    }
    step(ended);
    return true;
}

void jobs::untrackEnded(const job_entry &entry, tracked &job)
{
    const auto id = entry.id;
    const bool refused = job.placed; // the grant was proposed after the job had ended
    const auto attempt = job.placementAttempt;
    pendingWaits_.erase(id);
    tracked_.erase(id);
    if (refused)
        step(placement::attempt_ended {id, attempt, attempt_end::Cancelled, {}});
}

void jobs::publishOrders(const job_entry &entry, tracked &job)
{
    auto &progress = *job.progress;
    if (entry.state == job_state::Stopping && !progress.stopObserved) {
        progress.stopObserved = true;
        progress.stoppedAt = shared_.now();
    }
    // No event reports that a deadline of a stopping attempt has passed.
    if (entry.state == job_state::Stopping)
        dueJobs_.insert(entry.id);
    const auto action = desiredAction(entry, progress, shared_.now());
    if (job.publishedAction == action)
        return;
    job.publishedAction = action;
    orders_.set(entry.id, desiredOrders(entry, members_, action));
}

void jobs::advanceOpen(const job_entry &entry, tracked &job)
{
    publishOrders(entry, job);
    if (job.commandPending)
        return;
    if (auto body = nextCommand(entry, job))
        propose(entry.id, job, *body);
}

std::optional<command_body> jobs::nextCommand(const job_entry &entry, const tracked &job) const
{
    const auto &progress = *job.progress;
    const bool allDone
            = entry.released && !entry.cancelRequested && allInState(progress, task_state::Done);
    if (allDone) {
        finish_job body {entry.id, entry.attempt, entry.token, {}};
        for (const auto &task : progress.tasks)
            body.results.push_back(task.result);
        return body;
    }
    if (entry.state == job_state::Stopping) {
        if (hasStopped(entry, progress, members_, shared_))
            return end_attempt {entry.id, entry.attempt};
        return std::nullopt;
    }
    if (const auto fault = findFault(entry, progress, members_))
        return stop_attempt {entry.id, entry.attempt, fault->reason, fault->worker, {}, {}};
    if (job.stopRequest)
        return stop_attempt {entry.id, entry.attempt,          job.stopRequest->reason,
                             {},       job.stopRequest->other, job.stopRequest->deadline};
    if (entry.state == job_state::Preparing && allInState(progress, task_state::Prepared))
        return release_attempt {entry.id, entry.attempt, entry.token};
    return std::nullopt;
}

bool jobs::advanceWaiting(const job_entry &entry, tracked &job)
{
    if (job.commandPending || !started_)
        return false;
    if (!job.registered) {
        job.registered = true;
        step(placement::job_submitted {entry.id, entry.spec});
        return true;
    }
    if (job.grant && !checkGrant(job, entry.id))
        return true;
    if (job.grant) {
        auto body = *job.grant;
        body.attempt = entry.attempt + 1;
        propose(entry.id, job, body);
    } else if (job.end) {
        propose(entry.id, job, *job.end);
    }
    return false;
}

bool jobs::checkGrant(tracked &job, job_id id)
{
    for (auto &member : job.grant->workers) {
        const auto *worker = members_.find(member.worker);
        const bool serving = worker && worker->state == upstream_state::Serving;
        if (serving && (member.incarnation == 0 || member.incarnation == worker->incarnation)) {
            member.incarnation = worker->incarnation;
            continue;
        }
        const auto name = member.worker;
        deferredEnds_.push_back({id, job.placementAttempt, attempt_end::WorkerLost, name});
        job.grant.reset();
        job.stopRequest.reset();
        job.placed = false;
        // Placement has the worker from a restored attempt only, or its state of the worker is out
        // of date.
        if (!worker)
            step(placement::worker_left {name});
        else if (!serving)
            step(placement::worker_leaving {name});
        return false;
    }
    return true;
}

void jobs::propose(job_id id, tracked &job, const command_body &body)
{
    job.commandPending = true;
    shared_.commit(body, [this, id](const auto &outcome) {
        const auto found = tracked_.find(id);
        if (found == tracked_.end())
            return;
        found->second.commandPending = false;
        // After a failure, the next tick proposes the command again if it is still needed.
        if (failed(outcome))
            dueJobs_.insert(id);
        else
            advance(id);
        orders_.flush();
    });
}

void jobs::advanceJobsOn(const std::string &worker)
{
    const auto found = jobsByWorker_.find(worker);
    if (found == jobsByWorker_.end())
        return;
    const auto affected = found->second;
    for (const auto id : affected) {
        if (const auto job = tracked_.find(id); job != tracked_.end())
            job->second.publishedAction.reset();
        advance(id);
    }
    orders_.flush();
}

void jobs::upstreamJoined(const announcement &value)
{
    if (started_) {
        step(placement::worker_joined {value.id, value.pool, value.place, value.capacity});
        if (value.state == upstream_state::Leaving)
            step(placement::worker_leaving {value.id});
    }
    advanceJobsOn(value.id);
}

void jobs::upstreamLeaving(const std::string &id)
{
    if (started_)
        step(placement::worker_leaving {id});
    advanceJobsOn(id);
}

void jobs::upstreamGone(const std::string &id)
{
    quarantined_.erase(id);
    // Placement is notified before the jobs advance. Otherwise an attempt that ends immediately
    // could be placed on the lost worker again.
    if (started_)
        step(placement::worker_left {id});
    advanceJobsOn(id);
}

std::vector<std::string> jobs::quarantined() const
{
    return {quarantined_.begin(), quarantined_.end()};
}

std::size_t jobs::waitingJobs() const
{
    const auto &data = shared_.data();
    return std::ranges::count_if(
            data.openJobs, [&](job_id id) { return data.find(id)->state == job_state::Waiting; });
}

std::size_t jobs::runningJobs() const
{
    return shared_.data().openJobs.size() - waitingJobs();
}

} // namespace persimmon::control
