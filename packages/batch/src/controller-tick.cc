#include "base/event_log.h"
#include "batch/controller.h"

#include <algorithm>

namespace persimmon::batch {

namespace {

constexpr milliseconds passPeriod {100};

// Clocks of workers may be this much slower than ours.
constexpr double clockDrift = 1.02;

constexpr milliseconds leaseMargin {200};

// A worker that said farewell counts as gone after this time without a heartbeat.
constexpr milliseconds leaveDelay {1500};

// A heartbeat that is late by this time beyond its period keeps a worker from new tasks.
constexpr milliseconds lateHeartbeat {1200};

constexpr std::int64_t forgetPeriodMs = 10000;

} // namespace

void controller::tick(time_point now, std::int64_t wallMs)
{
    if (term_ == 0)
        return;
    if (now < nextPass_ && !dirty_)
        return;
    nextPass_ = now + passPeriod;
    dirty_ = false;
    expireLeases(now, wallMs);
    findStalled(now);
    stopWaitingGangs(now);
    schedule(now, wallMs);
    forgetOld(now, wallMs);
}

void controller::expireLeases(time_point now, std::int64_t wallMs)
{
    const auto lease = milliseconds {
            static_cast<std::int64_t>(static_cast<double>(options_.lease.count()) * clockDrift)};
    std::vector<run_end> ends;
    for (const auto &worker : state_.busyWorkers()) {
        const auto found = workers_.find(worker);
        const bool known = found != workers_.end();
        const bool gone = known && found->second.left && *found->second.left + leaveDelay < now;
        const auto heard = known ? found->second.heard : since_ + options_.leaderLease;
        if (!gone && heard + lease + leaseMargin > now)
            continue;
        for (const auto &[task, run] : state_.runsOn(worker)) {
            if (!ending_.insert(task).second)
                continue;
            std::string saved;
            if (known && found->second.runs.contains(task))
                saved = found->second.runs.at(task).saved;
            ends.push_back({task, run.run, gone ? end_kind::Lost : end_kind::Lapsed, saved});
            logEvent("task.ended",
                     {{"job", task.job},
                      {"run", run.run},
                      {"worker", worker},
                      {"how", toName(ends.back().kind)},
                      {"silent_ms", std::chrono::duration_cast<milliseconds>(now - heard).count()},
                      {"outcome", "inferred"}});
        }
    }
    if (ends.empty())
        return;
    std::vector<task_id> tasks;
    tasks.reserve(ends.size());
    for (const auto &end : ends)
        tasks.push_back(end.task);
    commitEnds(std::move(ends), wallMs,
               [this, tasks, alive = std::weak_ptr<int>(alive_)](const status &) {
                   if (alive.expired())
                       return;
                   for (const auto &task : tasks)
                       ending_.erase(task);
               });
}

void controller::findStalled(time_point now)
{
    for (auto &[id, known] : workers_) {
        if (now - known.heard > options_.stallLimit / 2)
            continue;
        for (auto &[task, watch] : known.runs) {
            if (watch.percent >= 100 || now - watch.moved < options_.stallLimit)
                continue;
            const auto *job = state_.findJob(task.job);
            if (job == nullptr || job->ended() || job->taskOf(task).done)
                continue;
            const auto &spec = job->spec.steps[task.step];
            // A gang waits for its members; long-running tasks stay at their percent.
            if (spec.longRunning || (spec.gang && watch.percent == 0 && spec.count > 1))
                continue;
            if (!stopping_.insert({task, watch.run}).second)
                continue;
            known.closedUntil = now + options_.quarantine;
            logEvent("task.moved",
                     {{"job", task.job},
                      {"step", task.step},
                      {"index", task.index},
                      {"worker", id},
                      {"why", "stalled"},
                      {"percent", watch.percent},
                      {"stalled_ms",
                       std::chrono::duration_cast<milliseconds>(now - watch.moved).count()}});
        }
    }
}

// The members of a gang wait for each other only for a while, so the gang is stopped before that if
// the worker of one of them isn't heard.
void controller::stopWaitingGangs(time_point now)
{
    const auto limit
            = std::min(options_.unsentLimit + heartbeatPeriod(false), options_.maxUnsentLimit);
    for (auto item = unsent_.begin(); item != unsent_.end();) {
        const auto &[task, run] = item->first;
        const auto *job = state_.findJob(task.job);
        const bool current = job != nullptr && !job->ended()
                && (committing_ || (job->taskOf(task).active && job->taskOf(task).run == run));
        if (!current) {
            item = unsent_.erase(item);
            continue;
        }
        if (job->spec.steps[task.step].gang && now - item->second > limit) {
            const auto count = static_cast<std::uint32_t>(job->stepOf(task).tasks.size());
            bool stopped = false;
            for (std::uint32_t i = 0; i < count; ++i)
                stopped |= stopping_.insert({{task.job, task.occurrence, task.step, i}, run})
                                   .second;
            if (stopped)
                logEvent("gang.stopped",
                         {{"job", task.job},
                          {"task", shortName(task)},
                          {"run", run},
                          {"worker", job->taskOf(task).worker},
                          {"why", "order not sent"}});
        }
        ++item;
    }
}

bool controller::isSilent(const worker_state &known, time_point now) const
{
    return now - known.heard > lateHeartbeat + heartbeatPeriod(false);
}

// True if a worker may get tasks, quarantine aside.
bool controller::isUsable(const worker_state &known, time_point now) const
{
    return known.confirmed && !isSilent(known, now) && !known.report.draining && !known.left
            && !closedMachines_.contains(known.report.machine);
}

std::vector<worker_view> controller::viewWorkers(time_point now) const
{
    std::vector<worker_view> views;
    std::size_t closed = 0;
    for (const auto &[id, known] : workers_) {
        worker_view view;
        view.id = id;
        view.born = known.report.born;
        view.pool = known.report.pool;
        view.rack = known.report.rack;
        view.labels = known.report.labels;
        view.capacity = known.report.capacity;
        view.untilContact
                = std::max(milliseconds {0},
                           std::chrono::duration_cast<milliseconds>(known.nextHeartbeat - now));
        const bool quarantined = known.closedUntil > now;
        closed += quarantined ? 1 : 0;
        view.penalty = quarantined
                ? 3
                : static_cast<int>(std::min<std::size_t>(2, known.failedJobs.size()));
        view.trusted = known.failedJobs.empty() && !quarantined;
        view.open = isUsable(known, now) && !quarantined;
        views.push_back(std::move(view));
    }
    // With most workers in quarantine the cause is not theirs.
    if (closed * 2 > views.size()) {
        for (auto &view : views) {
            const auto &known = workers_.at(view.id);
            view.open = isUsable(known, now);
            view.trusted = true;
        }
    }
    return views;
}

void controller::schedule(time_point now, std::int64_t wallMs)
{
    if (committing_)
        return;
    if (undecided_) {
        committing_ = true;
        propose_(no_op {}, [this, alive = std::weak_ptr<int>(alive_)](const status &done) {
            if (alive.expired())
                return;
            committing_ = false;
            undecided_ = failed(done);
            dirty_ = true;
        });
        return;
    }
    std::map<task_id, run_progress> progress;
    for (const auto &[id, known] : workers_) {
        for (const auto &[task, watch] : known.runs)
            progress[task] = {watch.started, watch.percent};
    }
    schedule_input input;
    input.state = &state_;
    input.workers = viewWorkers(now);
    input.progress = &progress;
    input.stopping = &stopping_;
    input.advice = &advice_;
    input.now = now;
    input.wallMs = wallMs;
    input.checkpointMs = options_.checkpointEvery.count();
    auto output = scheduler_.plan(input);
    waiting_ = output.waiting > 0;
    logWaits(output.waits, wallMs);
    askAdvice(now, std::move(output.advice));
    for (const auto &run : output.preemptions) {
        stopping_.insert({run.task, run.run});
        logEvent("task.preempted",
                 {{"job", run.task.job},
                  {"step", run.task.step},
                  {"index", run.task.index},
                  {"run", run.run},
                  {"worker", run.worker}});
    }
    // Stops whose runs have ended are not needed any more.
    std::erase_if(stopping_, [this](const run_key &key) {
        const auto *job = state_.findJob(key.first.job);
        return job == nullptr || !job->taskOf(key.first).active
                || job->taskOf(key.first).run != key.second;
    });
    if (!output.starts.empty())
        proposeStarts(std::move(output.starts), now, wallMs);
}

// Logs once why a step waits.
void controller::logWaits(const std::vector<unit_wait> &waits, std::int64_t wallMs)
{
    std::map<task_id, wait_cause> current;
    for (const auto &[task, cause] : waits) {
        const auto known = loggedWaits_.find(task);
        current[task] = cause;
        if (known != loggedWaits_.end() && known->second == cause)
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
    for (const auto &run : runs) {
        unsent_[{run.task, run.run}] = now;
        logEvent("task.placed",
                 {{"job", run.task.job},
                  {"step", run.task.step},
                  {"index", run.task.index},
                  {"run", run.run},
                  {"worker", run.worker}});
    }
    committing_ = true;
    propose_(start_runs {std::move(runs), wallMs},
             [this, alive = std::weak_ptr<int>(alive_)](const status &done) {
                 if (alive.expired())
                     return;
                 committing_ = false;
                 undecided_ = failed(done);
                 dirty_ = true;
             });
}

// Drops workers that are silent for long and run nothing.
void controller::forgetGone(time_point now)
{
    std::erase_if(workers_, [&](const auto &item) {
        const auto &[id, known] = item;
        if (known.heard + options_.keepGone > now || !state_.runsOn(id).empty())
            return false;
        logEvent("worker.forgotten",
                 {{"worker", id},
                  {"born", known.report.born},
                  {"silent_ms",
                   std::chrono::duration_cast<milliseconds>(now - known.heard).count()}});
        return true;
    });
    std::erase_if(byAddress_, [this](const auto &item) { return !workers_.contains(item.second); });
}

void controller::forgetOld(time_point now, std::int64_t wallMs)
{
    if (wallMs < lastForgetMs_ + forgetPeriodMs && wallMs > lastForgetMs_ - forgetPeriodMs)
        return;
    lastForgetMs_ = wallMs;
    forgetGone(now);
    advice_.forget([this](const std::string &id) {
        const auto *job = state_.findJob(id);
        return job != nullptr && !job->ended();
    });
    propose_(forget_jobs {wallMs - options_.keepEnded.count()}, [](const status &) {});
}

} // namespace persimmon::batch
