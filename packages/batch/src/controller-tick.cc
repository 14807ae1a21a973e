#include "base/event_log.h"
#include "batch/controller.h"
#include "controller-detail.h"

#include <algorithm>

namespace persimmon::batch {

using detail::lists;
using detail::millisecondsOf;

namespace {

// Interval between scheduling passes, unless one is requested earlier.
constexpr milliseconds passInterval {100};

// A worker's clock may run slower than the leader's by up to 2 %, so a lease is treated as expired
// only after 1.02 times its length on the leader's clock.
constexpr double maxClockRatio = 1.02;

// Added to a lease before its runs are treated as lapsed.
constexpr milliseconds leaseMargin {200};

// A worker that has announced its departure, or has been replaced at its address, is treated as
// gone after this time without a heartbeat: its last reports may still be on their way.
constexpr milliseconds leaveGracePeriod {1500};

// A worker gets no new tasks if its heartbeat is overdue by more than this time beyond its period.
constexpr milliseconds overdueLimit {1200};

// A run is stalled if it takes the time of this many percent for the next one.
constexpr int stallPercents = 5;

// A worker counts as proven for this time after a success. A worker may begin to fail everything
// at any moment, so an older success tells little.
constexpr milliseconds provenTime {5000};

constexpr std::int64_t cleanupPeriodMs = 10000;

} // namespace

void controller::tick(time_point now, std::int64_t wallMs)
{
    if (term_ == 0)
        return;
    now_ = std::max(now_, now);
    wallMs_ = wallMs;
    sendReadyOrders();
    if (now < nextPass_ && !passRequested_)
        return;
    nextPass_ = now + passInterval;
    passRequested_ = false;
    expireLeases(now, wallMs);
    findStalled(now);
    stopUnsentGangs(now);
    stopGangsOfUnheardWorkers(now);
    interference_.expire(now);
    logInterference();
    logEmptiedZones(wallMs);
    schedule(now, wallMs);
    sendReadyOrders();
    removeExpired(now, wallMs);
}

// The process of a replaced worker has ended before the newer one could start, so its reports can
// be on their way since its last heartbeat only.
bool controller::isGone(const worker_state &worker, time_point now)
{
    if (!worker.leftAt)
        return false;
    const auto since = worker.replaced ? worker.lastHeartbeat : *worker.leftAt;
    return since + leaveGracePeriod < now;
}

// The worker stops a run when the lease expires, and may be back before it has.
void controller::keepResidual(const std::string &worker, const assignment &run, time_point now)
{
    const auto found = workers_.find(worker);
    auto &residual = found != workers_.end() ? found->second.residual : unheardResidual_[worker];
    residual[{run.task, run.run}]
            = {state_.findJob(run.task.job)->spec.steps[run.task.step].charged(),
               now + options_.missingRunLimit};
}

// Returns the time without a heartbeat after which the runs of a worker are given up.
milliseconds controller::leaseLimit() const
{
    const auto lease = static_cast<double>(options_.lease.count()) * maxClockRatio;
    return milliseconds {static_cast<std::int64_t>(lease)} + leaseMargin;
}

// Returns how a run ends that may be given up, or nothing. What was heard of an earlier incarnation
// of its worker tells nothing of the run. The worker is null if none was heard: the earlier leader
// has extended no lease since this term began.
std::optional<end_kind> controller::expiryOf(const assignment &run, const worker_state *worker,
                                             time_point now) const
{
    const bool isHeard = worker != nullptr && worker->report.incarnation >= run.incarnation;
    if (isHeard && isGone(*worker, now))
        return end_kind::Lost;
    const auto lastHeartbeat = isHeard ? worker->lastHeartbeat : termStart_;
    if (lastHeartbeat + leaseLimit() <= now)
        return end_kind::Lapsed;
    return std::nullopt;
}

void controller::expireLeases(time_point now, std::int64_t wallMs)
{
    std::vector<run_end> ends;
    std::vector<worker_loss> losses;
    // Workers and busy workers are both ordered by id.
    auto found = workers_.begin();
    for (const auto &[worker, active] : state_.busyWorkers()) {
        while (found != workers_.end() && found->first < worker)
            ++found;
        const bool isKnown = found != workers_.end() && found->first == worker;
        const auto *state = isKnown ? &found->second : nullptr;
        std::vector<assignment> expired;
        for (const auto &[task, run] : active.runs) {
            const auto kind = expiryOf(run, state, now);
            if (!kind || !committingEnds_.insert(task).second)
                continue;
            std::string checkpoint;
            if (isKnown && state->runs.contains(task))
                checkpoint = state->runs.at(task).checkpoint;
            const bool isListed = state != nullptr && lists(state->runs, run);
            ends.push_back({task, run.run, isListed ? *kind : end_kind::NotStarted, checkpoint});
            expired.push_back(run);
            recordDiscarded(discard_cause::WorkerLost, run);
            if (*kind == end_kind::Lapsed)
                keepResidual(worker, run, now);
        }
        if (!expired.empty())
            losses.push_back(lossOf(worker, std::move(expired)));
    }
    if (ends.empty())
        return;
    std::vector<task_id> tasks;
    tasks.reserve(ends.size());
    for (const auto &end : ends)
        tasks.push_back(end.task);
    commitLosses(std::move(losses), std::move(ends), now, wallMs,
                 [this, tasks, alive = std::weak_ptr<int>(alive_)](const status &) {
                     if (alive.expired())
                         return;
                     for (const auto &task : tasks)
                         committingEnds_.erase(task);
                 });
}

// Workers report whole percentages, so a long run keeps the same one for long. One percent is
// expected to take its share of the declared duration, or what it has taken so far.
std::chrono::microseconds controller::stallLimitOf(const tracked_run &run,
                                                   const step_spec &spec) const
{
    std::chrono::microseconds onePercent = milliseconds {spec.estimateMs / 100};
    if (run.percent > run.firstPercent)
        onePercent = std::max(onePercent,
                              (run.lastProgress - run.started) / (run.percent - run.firstPercent));
    return std::max<std::chrono::microseconds>(options_.stallLimit, onePercent * stallPercents);
}

void controller::findStalled(time_point now)
{
    for (auto &[id, worker] : workers_) {
        if (now - worker.lastHeartbeat > options_.stallLimit / 2)
            continue;
        for (auto &[task, tracked] : worker.runs) {
            if (tracked.percent >= 100 || now - tracked.lastProgress < options_.stallLimit)
                continue;
            const auto *job = state_.findJob(task.job);
            if (job == nullptr || job->ended() || job->taskOf(task).done)
                continue;
            const auto &spec = job->spec.steps[task.step];
            if (now - tracked.lastProgress < stallLimitOf(tracked, spec))
                continue;
            // Members of a gang stay at 0 % until all of them have started, and long-running tasks
            // don't advance their percentage. Neither of them has stalled.
            if (spec.longRunning || (spec.gang && tracked.percent == 0 && spec.count > 1))
                continue;
            if (!requestStop(task, tracked.run, id))
                continue;
            worker.quarantinedUntil = now + options_.quarantine;
            recordDiscarded(discard_cause::Stalled,
                            {task, tracked.run, id, worker.report.incarnation});
            logEvent("task.moved",
                     {{"job", task.job},
                      {"step", task.step},
                      {"index", task.index},
                      {"worker", id},
                      {"why", "stalled"},
                      {"percent", tracked.percent},
                      {"stalled_ms",
                       std::chrono::duration_cast<milliseconds>(now - tracked.lastProgress)
                               .count()}});
        }
    }
}

// Stops a gang if a start order of one of its members stays unsent because the worker sends no
// heartbeat, or its availability zone was evacuated meanwhile. The other members give up waiting
// after a time limit, so the gang is stopped before that limit.
void controller::stopUnsentGangs(time_point now)
{
    const auto limit
            = std::min(options_.unsentLimit + heartbeatPeriod(false), options_.maxUnsentLimit);
    for (auto item = unsentOrders_.begin(); item != unsentOrders_.end();) {
        const auto &[task, run] = item->first;
        const auto *job = state_.findJob(task.job);
        const bool current = job != nullptr && !job->ended()
                && (committing_ || (job->taskOf(task).active && job->taskOf(task).run == run));
        if (!current) {
            item = unsentOrders_.erase(item);
            continue;
        }
        const auto &state = job->taskOf(task);
        const bool withheld = state.active && state.run == run && isEvacuated(state.worker);
        if (job->spec.steps[task.step].gang && (withheld || now - item->second > limit)) {
            const auto &members = job->stepOf(task).tasks;
            bool stopped = false;
            for (std::uint32_t i = 0; i < members.size(); ++i)
                stopped |= requestStop({task.job, task.occurrence, task.step, i}, run,
                                       members[i].worker);
            if (stopped)
                logEvent("gang.stopped",
                         {{"job", task.job},
                          {"task", shortName(task)},
                          {"run", run},
                          {"worker", job->taskOf(task).worker},
                          {"why", withheld ? "evacuated" : "order not sent"}});
        }
        ++item;
    }
}

bool controller::isHeartbeatOverdue(const worker_state &worker, time_point now) const
{
    return now - worker.lastHeartbeat > overdueLimit + heartbeatPeriod(false);
}

// Returns whether a worker may get new tasks. Quarantine is checked separately.
bool controller::isSchedulable(const worker_state &worker, time_point now) const
{
    return worker.clockConfirmed && !isHeartbeatOverdue(worker, now) && !worker.report.draining
            && !worker.leftAt && !worker.mayHaveLeft
            && !cordonedMachines_.contains(worker.report.machine)
            && !state_.isEvacuated(worker.report.zone);
}

std::vector<worker_view> controller::viewWorkers(time_point now) const
{
    std::vector<worker_view> views;
    views.reserve(workers_.size());
    std::size_t quarantinedCount = 0;
    std::size_t usedCount = 0; // not evacuated
    for (const auto &[id, worker] : workers_) {
        auto &view = views.emplace_back();
        view.report = &worker.report;
        for (const auto &[key, run] : worker.residual)
            view.residual += run.taken;
        view.untilHeartbeat = worker.held && worker.held->until > now
                ? milliseconds {0}
                : std::max(milliseconds {0},
                           std::chrono::duration_cast<milliseconds>(worker.nextHeartbeat - now));
        const bool isQuarantined = worker.quarantinedUntil > now;
        view.penalty = isQuarantined
                ? 3
                : static_cast<int>(std::min<std::size_t>(2, worker.failedJobs.size()));
        view.trusted = worker.failedJobs.empty() && !isQuarantined;
        view.proven = view.trusted && worker.lastDone && *worker.lastDone + provenTime > now;
        view.schedulable = isSchedulable(worker, now);
        view.evacuated = state_.isEvacuated(worker.report.zone);
        view.cold = worker.lastHeartbeat + milliseconds {worker.report.warmupLeftMs} > now;
        view.quarantined = isQuarantined;
        usedCount += view.evacuated ? 0 : 1;
        quarantinedCount += isQuarantined && !view.evacuated ? 1 : 0;
    }
    // If more than half of the workers are in quarantine, the cause is unlikely to be the workers,
    // so quarantine is ignored.
    if (quarantinedCount * 2 > usedCount) {
        for (auto &view : views) {
            view.quarantined = false;
            view.trusted = true;
        }
    }
    return views;
}

std::optional<run_progress> controller::progressOf(const assignment &run) const
{
    const auto worker = workers_.find(run.worker);
    if (worker == workers_.end())
        return std::nullopt;
    const auto tracked = worker->second.runs.find(run.task);
    if (tracked == worker->second.runs.end() || tracked->second.run != run.run)
        return std::nullopt;
    const auto &known = tracked->second;
    return run_progress {known.started, known.percent, known.saved};
}

// Returns when a worker last listed a run in this term.
std::optional<time_point> controller::lastHeard(const assignment &run) const
{
    const auto worker = workers_.find(run.worker);
    if (worker == workers_.end() || !progressOf(run))
        return std::nullopt;
    return worker->second.lastHeartbeat;
}

// Logs the jobs of which nothing runs, and why.
void controller::logStalls(const std::vector<stalled_job> &stalls,
                           const std::vector<stall_cause> &causes, time_point now) const
{
    for (const auto &item : stalls) {
        const auto &job = *state_.findJob(item.task.job);
        const auto cause = std::ranges::find(causes, job.id, [](const stall_cause &found) {
            return std::string_view(found.first.job);
        });
        std::string_view why = item.unheard ? "run_not_listed" : "not_tried";
        if (cause != causes.end())
            why = toName(cause->cause);
        else if (committing_ || commitOutcomeUnknown_)
            why = "commit_outstanding";
        logEvent("job.stalled",
                 {{"job", job.id},
                  {"task", shortName(item.task)},
                  {"tenant", job.tenant},
                  {"priority", job.source.priority},
                  {"stalled_ms", millisecondsOf(now - item.since)},
                  {"why", why},
                  {"runs", job.taskOf(item.task).run},
                  {"worker", item.unheard ? item.unheard->worker : ""},
                  {"room", cause != causes.end() ? cause->room : 0},
                  {"in_use_percent", cause != causes.end() ? cause->inUsePercent : 0},
                  {"stalled_jobs", stalls_.size()}});
    }
}

schedule_input controller::scheduleInput(time_point now, std::int64_t wallMs) const
{
    schedule_input input;
    input.state = &state_;
    input.workers = viewWorkers(now);
    input.progress = [this](const assignment &run) { return progressOf(run); };
    input.stalls = &stalls_;
    input.interference = &interference_;
    input.stopping = &stopping_;
    input.advice = &advice_;
    input.now = now;
    input.wallMs = wallMs;
    input.checkpointMs = options_.checkpointPeriod.count();
    return input;
}

void controller::schedule(time_point now, std::int64_t wallMs)
{
    stalls_.update(
            state_, [this](const assignment &run) { return lastHeard(run); }, now, wallMs);
    auto stalls = stalls_.takeDueReports(now);
    if (committing_)
        return logStalls(stalls, {}, now);
    if (commitOutcomeUnknown_) {
        logStalls(stalls, {}, now);
        committing_ = true;
        propose_(no_op {}, [this, alive = std::weak_ptr<int>(alive_)](const status &done) {
            if (alive.expired())
                return;
            committing_ = false;
            commitOutcomeUnknown_ = failed(done);
            passRequested_ = true;
        });
        return;
    }
    auto input = scheduleInput(now, wallMs);
    for (const auto &item : stalls)
        input.explain.insert(item.task.job);
    auto output = scheduler_.plan(input);
    hasWaitingUnits_ = output.waiting > 0;
    hasWaitingUrgentUnits_ = output.urgentWaiting > 0;
    logWaits(output.waits, wallMs);
    std::erase_if(stalls, [&output](const stalled_job &item) {
        return std::ranges::any_of(output.starts, [&item](const assignment &run) {
            return run.task.job == item.task.job;
        });
    });
    logStalls(stalls, output.stallCauses, now);
    requestMissingAdvice(now, std::move(output.advice));
    for (const auto &item : output.preemptions)
        recordPreemption(item);
    const auto hasEnded = [this](const run_key &key) {
        const auto *job = state_.findJob(key.first.job);
        return job == nullptr || !job->taskOf(key.first).active
                || job->taskOf(key.first).run != key.second;
    };
    std::erase_if(stopping_, hasEnded);
    std::erase_if(sentOrders_, [&](const auto &item) { return hasEnded(item.first); });
    if (!output.starts.empty())
        proposeStarts(std::move(output.starts), now, wallMs);
}

// Logs why a step is waiting, once for each cause.
void controller::logWaits(const std::vector<unit_wait> &waits, std::int64_t wallMs)
{
    std::map<task_id, wait_cause> current;
    for (const auto &[task, cause] : waits) {
        const auto logged = loggedWaits_.find(task);
        current[task] = cause;
        if (logged != loggedWaits_.end() && logged->second == cause)
            continue;
        const auto &job = *state_.findJob(task.job);
        logEvent("step.waiting",
                 {{"job", task.job},
                  {"task", shortName(task)},
                  {"why", toName(cause)},
                  {"since_ms", wallMs - job.acceptedMs},
                  {"priority", job.source.priority},
                  {"accelerators", job.spec.steps[task.step].need.accelerators},
                  {"workers", workers_.size()}});
    }
    loggedWaits_ = std::move(current);
}

void controller::proposeStarts(std::vector<assignment> runs, time_point now, std::int64_t wallMs)
{
    const job_record *previous = nullptr;
    for (const auto &run : runs) {
        const auto *job = state_.findJob(run.task.job);
        if (job != previous && job->state == job_state::Queued)
            observeLatency_(latency_stage::Placement, milliseconds {wallMs - job->acceptedMs});
        previous = job;
        unsentOrders_[{run.task, run.run}] = now;
        logEvent("task.placed",
                 {{"job", run.task.job},
                  {"step", run.task.step},
                  {"index", run.task.index},
                  {"run", run.run},
                  {"worker", run.worker}});
    }
    committing_ = true;
    std::set<std::string> workers;
    for (const auto &run : runs)
        workers.insert(run.worker);
    propose_(start_runs {std::move(runs), wallMs},
             [this, workers = std::move(workers),
              alive = std::weak_ptr<int>(alive_)](const status &done) mutable {
                 if (alive.expired())
                     return;
                 committing_ = false;
                 commitOutcomeUnknown_ = failed(done);
                 passRequested_ = true;
                 ordersDue_.merge(workers);
                 sendReadyOrders();
             });
}

// Drops workers without active runs whose last heartbeat is older than the retention time.
void controller::removeGoneWorkers(time_point now)
{
    std::erase_if(workers_, [&](const auto &item) {
        const auto &[id, worker] = item;
        if (worker.lastHeartbeat + options_.goneWorkerRetention > now || !state_.runsOn(id).empty())
            return false;
        logEvent("worker.forgotten",
                 {{"worker", id},
                  {"born", worker.report.incarnation},
                  {"silent_ms",
                   std::chrono::duration_cast<milliseconds>(now - worker.lastHeartbeat).count()}});
        return true;
    });
    std::erase_if(byAddress_, [this](const auto &item) { return !workers_.contains(item.second); });
}

void controller::removeExpired(time_point now, std::int64_t wallMs)
{
    if (wallMs < lastCleanupMs_ + cleanupPeriodMs && wallMs > lastCleanupMs_ - cleanupPeriodMs)
        return;
    lastCleanupMs_ = wallMs;
    removeGoneWorkers(now);
    excuseLongRuns(now, wallMs);
    std::erase_if(begunJobs_,
                  [this](const std::string &id) { return !state_.unbegunJobs().contains(id); });
    advice_.retainJobs([this](const std::string &id) {
        const auto *job = state_.findJob(id);
        return job != nullptr && !job->ended();
    });
    propose_(remove_ended_jobs {wallMs - options_.endedJobRetention.count()},
             [](const status &) {});
}

} // namespace persimmon::batch
