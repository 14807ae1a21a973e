#include "base/event_log.h"
#include "batch/controller.h"
#include "controller-detail.h"

#include <algorithm>
#include <chrono>
#include <utility>

// Lost workers: what ends their runs, and what is recorded of it.
namespace persimmon::batch {

using detail::lists;

namespace {

// A run that has worked for this long isn't suspected: over days, workers crash for other reasons.
constexpr std::chrono::minutes suspicionTime {10};

// A worker that starts again later than this after its loss was recorded may have ended since.
constexpr milliseconds confirmationTime {std::chrono::minutes {1}};

template <typename Runs>
std::size_t countUnreported(const std::vector<assignment> &runs, const Runs &reported)
{
    return static_cast<std::size_t>(std::ranges::count_if(
            runs, [&](const assignment &run) { return !lists(reported, run); }));
}

} // namespace

// Describes the loss of a worker. Nothing is known of a worker that has not reported in this term.
worker_loss controller::lossOf(const std::string &worker, std::vector<assignment> runs) const
{
    static const std::map<task_id, tracked_run> none;
    worker_loss loss;
    loss.worker = worker;
    loss.incarnation = runs.front().incarnation;
    loss.lastHeartbeat = termStart_;
    loss.heard = false;
    loss.runs = std::move(runs);
    const auto *reported = &none;
    if (const auto found = workers_.find(worker); found != workers_.end()) {
        const auto &state = found->second;
        const bool restarted = state.report.incarnation > loss.incarnation;
        bool leaving = cordonedMachines_.contains(state.report.machine);
        if (restarted && state.earlier) {
            loss.lastHeartbeat = state.earlier->lastHeartbeat;
            loss.heard = true;
            reported = &state.earlier->runs;
            leaving |= state.earlier->leaving;
        } else if (state.report.incarnation == loss.incarnation) {
            loss.lastHeartbeat = state.lastHeartbeat;
            loss.heard = true;
            reported = &state.runs;
            leaving |= state.report.draining || (state.leftAt && !state.replaced);
        }
        if (leaving)
            loss.evidence = loss_evidence::Left;
        else if (restarted)
            loss.evidence = loss_evidence::Restarted;
        else if (state.replaced)
            loss.evidence = loss_evidence::Replaced;
        loss.unreportedRuns = countUnreported(loss.runs, *reported);
    }
    describeSuspects(loss, *reported);
    return loss;
}

void controller::describeSuspects(worker_loss &loss,
                                  const std::map<task_id, tracked_run> &reported) const
{
    std::ranges::copy_if(loss.runs, std::back_inserter(loss.suspects), [&](const assignment &run) {
        return mayHaveCrashedWorker(run, loss, reported);
    });
    const auto &losses = state_.losses();
    const auto wasLostBefore
            = [&losses](const assignment &run) { return losses.contains(run.task); };
    const bool anyLostBefore = std::ranges::any_of(loss.suspects, wasLostBefore);
    for (const auto &run : loss.suspects) {
        if (anyLostBefore && !wasLostBefore(run))
            continue;
        const auto age = ageOf(run, loss, reported);
        if (age)
            loss.suspectAge = std::min(*age, loss.suspectAge.value_or(*age));
    }
}

// Returns for how long a lost run was working. Nothing is known of it if this incarnation of its
// worker has not reported to this leader.
std::optional<milliseconds> controller::ageOf(const assignment &run, const worker_loss &loss,
                                              const std::map<task_id, tracked_run> &reported) const
{
    if (!loss.heard)
        return std::nullopt;
    const auto tracked = reported.find(run.task);
    if (tracked == reported.end() || tracked->second.run != run.run)
        return milliseconds {0};
    return std::chrono::duration_cast<milliseconds>(loss.lastHeartbeat - tracked->second.started);
}

bool controller::mayHaveCrashedWorker(const assignment &run, const worker_loss &loss,
                                      const std::map<task_id, tracked_run> &reported) const
{
    if (unsentOrders_.contains({run.task, run.run}))
        return false;
    const auto tracked = reported.find(run.task);
    return tracked == reported.end() || tracked->second.run != run.run
            || loss.lastHeartbeat - tracked->second.started < suspicionTime;
}

// Returns the workers that are silent and haven't announced that they leave.
std::vector<worker_loss> controller::silentWorkers(time_point now) const
{
    std::vector<worker_loss> silent;
    for (const auto &[id, worker] : workers_) {
        if (worker.leftAt || worker.report.draining || !isHeartbeatOverdue(worker, now))
            continue;
        auto &loss = silent.emplace_back();
        loss.worker = id;
        loss.incarnation = worker.report.incarnation;
        loss.lastHeartbeat = worker.lastHeartbeat;
        for (const auto &[task, run] : state_.runsOn(id))
            loss.runs.push_back(run);
        loss.unreportedRuns = countUnreported(loss.runs, worker.runs);
        describeSuspects(loss, worker.runs);
    }
    return silent;
}

// Workers that have left don't count, nor those that were lost long ago.
loss_attribution::fleet_state controller::stateOfFleet(time_point now) const
{
    const auto isPresent = [&](const auto &item) {
        return !item.second.leftAt && item.second.lastHeartbeat + 2 * leaseLimit() > now;
    };
    const auto present = std::ranges::count_if(workers_, isPresent);
    return {silentWorkers(now), static_cast<std::size_t>(present), state_.losses()};
}

// A task that works for long has not crashed its workers: its losses are excused, so that over days
// the crashes of others don't add up against it.
void controller::excuseLongRuns(time_point now, std::int64_t wallMs)
{
    std::vector<lost_run> excused;
    for (const auto &[task, record] : state_.losses()) {
        const auto &state = state_.findJob(task.job)->taskOf(task);
        if (!state.active || record.counted() == 0)
            continue;
        const auto progress = progressOf({task, state.run, state.worker, state.incarnation});
        if (!progress || now - progress->started < suspicionTime)
            continue;
        for (const auto &[run, loss] : record.runs) {
            if (loss.kind != run_loss::Excused)
                excused.push_back({task, run, run_loss::Excused, loss.alone});
        }
    }
    recordLosses(std::move(excused), wallMs, {});
}

// A newer incarnation knows nothing of the runs of an earlier one.
std::vector<worker_loss> controller::endRunsOfEarlierIncarnation(const worker_state &worker,
                                                                 std::vector<run_end> &ends) const
{
    std::vector<assignment> lost;
    for (const auto &[task, run] : state_.runsOn(worker.report.id)) {
        if (run.incarnation >= worker.report.incarnation)
            continue;
        const bool isListed = worker.earlier && lists(worker.earlier->runs, run);
        ends.push_back({task, run.run, isListed ? end_kind::Lost : end_kind::NotStarted, {}});
        lost.push_back(run);
    }
    std::vector<worker_loss> losses;
    if (!lost.empty())
        losses.push_back(lossOf(worker.report.id, std::move(lost)));
    return losses;
}

// Returns what a heartbeat shows of suspected runs in the ledger, whichever leader has recorded
// them: that the worker has not crashed, or that it has started again soon after its newest run.
std::vector<lost_run> controller::settledSuspicions(const worker_state &worker,
                                                    std::int64_t wallMs) const
{
    std::vector<lost_run> settled;
    const auto incarnation = worker.report.incarnation;
    for (const auto &[task, run] : state_.suspectedRuns(worker.report.id)) {
        if (settling_.contains({task, run}))
            continue;
        const auto &record = state_.losses().at(task);
        const auto &loss = record.runs.at(run);
        const bool isNewest = record.runs.rbegin()->first == run;
        if (loss.incarnation == incarnation && worker.clockConfirmed)
            settled.push_back({task, run, run_loss::Excused, loss.alone});
        else if (loss.incarnation < incarnation && isNewest
                 && wallMs - record.newestMs < confirmationTime.count())
            settled.push_back({task, run, run_loss::Crashed, loss.alone});
    }
    return settled;
}

// Records what a heartbeat shows of the losses of its worker. If the commit fails, a later
// heartbeat shows the same.
void controller::settleLosses(const worker_state &worker, bool newIncarnation, std::int64_t wallMs)
{
    const auto &report = worker.report;
    auto settled = settledSuspicions(worker, wallMs);
    const auto add = [&settled](const std::vector<lost_run> &runs) {
        for (const auto &lost : runs) {
            const auto isSame = [&lost](const lost_run &known) {
                return known.task == lost.task && known.run == lost.run;
            };
            if (std::ranges::none_of(settled, isSame))
                settled.push_back(lost);
        }
    };
    // Those that are not committed yet are known to this leader alone.
    if (newIncarnation)
        add(attribution_.recordRestart(report.id, report.incarnation - 1));
    if (worker.clockConfirmed)
        add(attribution_.recordReturn(report.id, report.incarnation));
    std::vector<run_key> keys;
    keys.reserve(settled.size());
    for (const auto &lost : settled)
        keys.emplace_back(lost.task, lost.run);
    settling_.insert(keys.begin(), keys.end());
    recordLosses(
            std::move(settled), wallMs,
            [this, keys = std::move(keys), alive = std::weak_ptr<int>(alive_)](const status &) {
                if (alive.expired())
                    return;
                for (const auto &key : keys)
                    settling_.erase(key);
            });
}

void controller::recordLosses(std::vector<lost_run> runs, std::int64_t wallMs,
                              std::function<void(status)> done)
{
    if (runs.empty())
        return;
    confirmLastSuspicions(state_.losses(), runs);
    const record_losses value {runs, wallMs};
    propose_(value,
             [this, runs = std::move(runs), done = std::move(done),
              alive = std::weak_ptr<int>(alive_)](const status &committed) {
                 const bool current = !alive.expired();
                 for (const auto &lost : runs)
                     logEvent("task.loss",
                              {{"job", lost.task.job},
                               {"task", detail::nameOf(lost.task)},
                               {"run", lost.run},
                               {"kind", toName(lost.kind)},
                               {"alone", lost.alone ? 1 : 0},
                               {"counted", current ? state_.countedLosses(lost.task) : 0},
                               {"outcome", failed(committed) ? "not committed" : "committed"}});
                 if (done)
                     done(committed);
             });
}

// Commits what is known of the losses and then the ends of the runs. The order matters: a task
// whose end is committed may be started again, and then its loss must not be forgotten.
void controller::commitLosses(std::vector<worker_loss> losses, std::vector<run_end> ends,
                              time_point now, std::int64_t wallMs, std::function<void(status)> done)
{
    for (const auto &loss : losses) {
        logLoss(loss, now);
        if (workers_.contains(loss.worker))
            stalls_.recordLoss(loss.lastHeartbeat);
    }
    auto runs = losses.empty() ? std::vector<lost_run> {}
                               : attribution_.add(std::move(losses), stateOfFleet(now), now);
    if (runs.empty())
        return commitEnds(std::move(ends), wallMs, std::move(done));
    recordLosses(
            std::move(runs), wallMs,
            [this, ends = std::move(ends), wallMs, done = std::move(done),
             alive = std::weak_ptr<int>(alive_)](const status &committed) {
                if (failed(committed))
                    return done(committed);
                if (alive.expired())
                    return done(error {result_code::NotLeader, "leadership has ended", {}, {}});
                commitEnds(ends, wallMs, done);
            });
}

// Stops the members of a gang that lasts if this leader has never heard the worker of one of them:
// early enough that their stops have ended when the run of that one is given up. A gang with a
// disruption budget isn't stopped before the loss is certain.
void controller::stopGangsOfUnheardWorkers(time_point now)
{
    const auto limit = termStart_ + leaseLimit();
    if (now < limit - options_.missingRunLimit || now >= limit)
        return;
    for (const auto &[worker, active] : state_.busyWorkers()) {
        if (workers_.contains(worker))
            continue;
        for (const auto &[task, run] : active.runs) {
            const auto &job = *state_.findJob(task.job);
            const auto &spec = job.spec.steps[task.step];
            if (!spec.gang || !spec.longRunning || spec.disruptionBudget > 0)
                continue;
            bool stopped = false;
            for (std::uint32_t i = 0; i < spec.count; ++i) {
                const task_id member {task.job, task.occurrence, task.step, i};
                stopped |= requestStop(member, run.run, job.taskOf(member).worker);
            }
            if (stopped)
                logEvent("gang.stopped",
                         {{"job", task.job},
                          {"task", shortName(task)},
                          {"run", run.run},
                          {"worker", worker},
                          {"why", "worker not heard"}});
        }
    }
}

} // namespace persimmon::batch
