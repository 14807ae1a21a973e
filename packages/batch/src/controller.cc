#include "batch/controller.h"

#include "base/event_log.h"

#include <algorithm>

namespace persimmon::batch {

namespace {

constexpr std::size_t quarantineAfterJobs = 2;

// A heartbeat that was in transit for longer than this is ignored: its answer would come too late.
constexpr std::int64_t maxTransitMs = 1000;

// Relative rate difference allowed between a worker's clock and the leader's.
constexpr double maxClockDrift = 0.025;

// Time that a draining worker needs to stop a run and report its end.
constexpr std::int64_t finalReportMs = 1500;

template <typename Duration>
std::int64_t millisecondsOf(Duration value)
{
    return std::chrono::duration_cast<milliseconds>(value).count();
}

std::string nameOf(const task_id &task)
{
    return task.job + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step) + "."
            + std::to_string(task.index);
}

// Returns whether a list of ends contains the end of a run.
template <typename End>
bool contains(const std::vector<End> &ends, const assignment &run)
{
    return std::ranges::any_of(
            ends, [&run](const End &end) { return end.task == run.task && end.run == run.run; });
}

} // namespace

controller::controller(const ledger &state, controller_options options, propose_function propose)
    : state_(state)
    , options_(options)
    , propose_(std::move(propose))
{
}

void controller::beginTerm(std::uint64_t term, time_point now)
{
    term_ = term;
    termStart_ = now;
    workers_.clear();
    stopping_.clear();
    committingEnds_.clear();
    unsentOrders_.clear();
    byAddress_.clear();
    cordonedMachines_.clear();
    scheduler_.reset();
    committing_ = false;
    commitOutcomeUnknown_ = false;
    adviceRequestInFlight_ = false;
    advice_ = {};
    alive_ = std::make_shared<int>(0);
    passRequested_ = true;
    logEvent("leader.begin", {{"term", term}, {"jobs", state_.jobCount()}});
}

void controller::endTerm()
{
    if (term_ != 0)
        logEvent("leader.end", {{"term", term_}});
    term_ = 0;
    workers_.clear();
    alive_ = std::make_shared<int>(0);
}

bool controller::isStale(const worker_state &worker, const worker_report &report) const
{
    return std::pair(report.born, report.sequence)
            <= std::pair(worker.report.born, worker.report.sequence);
}

void controller::heartbeat(time_point now, std::int64_t wallMs, const worker_report &report,
                           const orders_callback &done)
{
    if (term_ == 0)
        return done(error {result_code::NotLeader, "this node is not the leader", {}, {}});
    const auto found = workers_.find(report.id);
    if (found != workers_.end() && isStale(found->second, report)) {
        logEvent("worker.stale_heartbeat",
                 {{"worker", report.id}, {"born", report.born}, {"sequence", report.sequence}});
        return done(worker_orders {});
    }
    if (found != workers_.end() && isLate(found->second, report, now)) {
        logEvent("worker.late_heartbeat",
                 {{"worker", report.id}, {"born", report.born}, {"sequence", report.sequence}});
        return done(worker_orders {});
    }
    auto &worker = workers_[report.id];
    const bool newIncarnation = worker.report.born != report.born;
    if (newIncarnation) {
        if (worker.report.born == 0 || worker.report.draining != report.draining)
            passRequested_ = true;
        logEvent("worker.joined",
                 {{"worker", report.id},
                  {"born", report.born},
                  {"earlier_born", worker.report.born},
                  {"rack", report.rack}});
        worker = {};
        worker.firstHeartbeat = now;
    } else if (report.draining && !worker.report.draining) {
        logEvent("worker.draining", {{"worker", report.id}, {"born", report.born}});
    }
    worker.report = report;
    updateClockOffset(worker, now, wallMs, newIncarnation);
    updateAddress(report, now);
    worker.lastHeartbeat = now;
    worker.leftAt.reset();
    updateRunning(worker, now);
    updatePace(worker, now);
    auto ends = collectEnds(worker, now);
    updateMissing(worker, now, ends);
    if (report.draining)
        stopDraining(worker);
    std::optional<std::uint64_t> ackedUpTo;
    if (!report.ended.empty())
        ackedUpTo = std::ranges::max(report.ended, {}, &ended_task::number).number;
    const auto sendOrders = [this, id = report.id, ackedUpTo, done,
                             alive = std::weak_ptr<int>(alive_)](const status &committed) {
        if (failed(committed))
            return done(errorOf(committed));
        const auto current = workers_.find(id);
        if (alive.expired() || current == workers_.end())
            return done(error {result_code::NotLeader,
                               "leadership ended before the heartbeat was answered",
                               {},
                               {}});
        auto orders = ordersFor(current->second);
        orders.seenUpTo = ackedUpTo;
        done(std::move(orders));
    };
    if (ends.empty())
        return sendOrders(std::monostate {});
    commitEnds(std::move(ends), wallMs, sendOrders);
}

// Returns whether a heartbeat was delayed in transit, for example by a network partition. Such a
// heartbeat doesn't show that its worker is still running.
bool controller::isLate(const worker_state &worker, const worker_report &report,
                        time_point now) const
{
    if (report.clockMs == 0 || worker.report.clockMs == 0 || worker.report.born != report.born)
        return false;
    const auto drift = static_cast<std::int64_t>(
            static_cast<double>(millisecondsOf(now - worker.lastHeartbeat)) * maxClockDrift);
    const auto offset = millisecondsOf(now.time_since_epoch()) - report.clockMs;
    return offset > worker.clockOffsetMs + drift + maxTransitMs;
}

// The first heartbeat of an incarnation can't be compared with an earlier one. The worker's clock
// is confirmed if the age of that heartbeat by wall-clock time is small, otherwise by the next
// heartbeat.
void controller::updateClockOffset(worker_state &worker, time_point now, std::int64_t wallMs,
                                   bool first) const
{
    const auto &report = worker.report;
    const auto offset = millisecondsOf(now.time_since_epoch()) - report.clockMs;
    if (first) {
        worker.clockOffsetMs = offset;
        const auto age = wallMs - report.born - report.clockMs;
        worker.clockConfirmed = report.clockMs == 0 || (age > -maxTransitMs && age < maxTransitMs);
        return;
    }
    const auto drift = static_cast<std::int64_t>(
            static_cast<double>(millisecondsOf(now - worker.lastHeartbeat)) * maxClockDrift);
    worker.clockOffsetMs = std::min(offset, worker.clockOffsetMs + drift);
    worker.clockConfirmed = true;
}

// A newer incarnation replaces the previous worker at the same address, even if its id differs.
void controller::updateAddress(const worker_report &report, time_point now)
{
    if (report.address.empty())
        return;
    auto &holder = byAddress_[report.address];
    if (holder == report.id)
        return;
    const auto earlier = workers_.find(holder);
    if (earlier != workers_.end() && earlier->second.report.address == report.address) {
        if (earlier->second.report.born > report.born)
            return;
        logEvent("worker.replaced",
                 {{"worker", holder}, {"by", report.id}, {"address", report.address}});
        if (!earlier->second.leftAt)
            earlier->second.leftAt = now;
    }
    holder = report.id;
}

void controller::leave(time_point now, const std::string &worker)
{
    const auto found = workers_.find(worker);
    if (found == workers_.end())
        return;
    logEvent("worker.left", {{"worker", worker}, {"born", found->second.report.born}});
    found->second.leftAt = now;
}

void controller::updateRunning(worker_state &worker, time_point now)
{
    std::map<task_id, tracked_run> updated;
    for (const auto &row : worker.report.running) {
        auto &tracked = updated[row.task];
        const auto earlier = worker.runs.find(row.task);
        if (earlier != worker.runs.end() && earlier->second.run == row.run)
            tracked = earlier->second;
        else
            tracked = {row.run, now, now, 0, {}};
        if (tracked.percent != row.percent) {
            tracked.percent = row.percent;
            tracked.lastProgress = now;
        }
        if (!row.saved.empty())
            tracked.saved = row.saved;
    }
    worker.runs = std::move(updated);
}

// Returns the reported ends of runs that are still active in the ledger.
std::vector<run_end> controller::collectEnds(worker_state &worker, time_point now)
{
    std::vector<run_end> ends;
    const auto &runs = state_.runsOn(worker.report.id);
    for (const auto &row : worker.report.ended) {
        const auto found = runs.find(row.task);
        if (found == runs.end() || found->second.run != row.run
            || found->second.born != worker.report.born)
            continue;
        ends.push_back({row.task, row.run, row.kind, row.saved});
        recordEnd(worker, row, now);
    }
    return ends;
}

void controller::recordEnd(worker_state &worker, const ended_task &row, time_point now)
{
    stopping_.erase({row.task, row.run});
    logEvent("task.ended",
             {{"job", row.task.job},
              {"task", nameOf(row.task)},
              {"run", row.run},
              {"worker", worker.report.id},
              {"how", toName(row.kind)},
              {"outcome", "reported"}});
    if (row.kind == end_kind::Done) {
        worker.failedJobs.clear();
        worker.everDone = true;
        return;
    }
    if (row.kind != end_kind::Failed)
        return;
    worker.failedJobs.insert(row.task.job);
    if (worker.failedJobs.size() < quarantineAfterJobs)
        return;
    worker.quarantinedUntil = now + options_.quarantine;
    logEvent("worker.quarantined",
             {{"worker", worker.report.id},
              {"failed_jobs", worker.failedJobs.size()},
              {"for_ms", options_.quarantine.count()}});
}

// Tracks runs that are active on the worker in the ledger but missing from its report. Either the
// start order has not reached the worker, or the run is being stopped. A worker sends a heartbeat
// only after it has processed or discarded the answer to the previous one, so a run that stays
// missing for the limit was never started.
void controller::updateMissing(worker_state &worker, time_point now,
                               std::vector<run_end> &ends) const
{
    const auto &report = worker.report;
    auto earlier = std::move(worker.missing);
    worker.missing.clear();
    for (const auto &[task, run] : state_.runsOn(report.id)) {
        if (run.born < report.born) {
            ends.push_back({task, run.run, end_kind::Lost, {}});
            continue;
        }
        const auto running = worker.runs.find(task);
        const bool listed = running != worker.runs.end() && running->second.run == run.run;
        const bool ended = contains(ends, run);
        if (run.born > report.born || listed || ended || committingEnds_.contains(task))
            continue;
        auto &[number, since] = worker.missing[task];
        number = run.run;
        const auto before = earlier.find(task);
        const bool same = before != earlier.end() && before->second.first == run.run;
        since = same ? before->second.second : now;
        // The run was placed by this leader and its start order was never sent.
        const bool neverOrdered = unsentOrders_.contains({task, run.run});
        if ((neverOrdered || now - since > options_.missingRunLimit)
            && shouldStop(worker, task, run.run))
            ends.push_back({task, run.run, end_kind::NotStarted, {}});
    }
}

void controller::commitEnds(std::vector<run_end> ends, std::int64_t wallMs,
                            std::function<void(status)> done)
{
    propose_(end_runs {std::move(ends), wallMs},
             [this, done = std::move(done),
              alive = std::weak_ptr<int>(alive_)](const status &committed) {
                 if (!alive.expired())
                     passRequested_ = true;
                 done(committed);
             });
}

// Returns whether a member of a gang's current run is no longer active although the step isn't
// done. The remaining members have to be stopped then.
bool controller::isIncompleteGang(const job_record &job, const task_id &task) const
{
    const auto &step = job.stepOf(task);
    return job.spec.steps[task.step].gang && !job.taskOf(task).done
            && step.activeCount < step.tasks.size();
}

bool controller::shouldStop(const worker_state &worker, const task_id &task,
                            std::uint32_t run) const
{
    const auto *job = state_.findJob(task.job);
    if (job == nullptr || job->ended())
        return true;
    return stopping_.contains({task, run}) || committingEnds_.contains(task)
            || worker.report.draining || isIncompleteGang(*job, task);
}

worker_orders controller::ordersFor(worker_state &worker)
{
    worker_orders orders;
    orders.leaseMs = options_.lease.count();
    orders.fencingToken = term_;
    const auto &runs = state_.runsOn(worker.report.id);
    for (const auto &row : worker.report.running) {
        const auto found = runs.find(row.task);
        const bool expected = found != runs.end() && found->second.run == row.run
                && found->second.born == worker.report.born;
        const auto *job = state_.findJob(row.task.job);
        const bool shouldEnd = job == nullptr || job->ended()
                || stopping_.contains({row.task, row.run})
                || (expected && isIncompleteGang(*job, row.task));
        // A run of a completed job isn't stopped: the other members of a gang end by themselves
        // once the end of the gang is committed.
        if (!expected || (shouldEnd && !(job != nullptr && job->state == job_state::Done)))
            orders.stops.push_back({row.task, row.run});
    }
    addStarts(worker, orders);
    addPaces(worker, orders);
    const bool busy = !orders.paces.empty() || hasWaitingUnits_ || committing_
            || !orders.starts.empty() || !orders.stops.empty();
    const auto period
            = worker.report.draining ? options_.busyHeartbeatPeriod : heartbeatPeriod(busy);
    worker.nextHeartbeat = worker.lastHeartbeat + period;
    orders.retryMs = period.count();
    return orders;
}

// The period grows with the number of workers, to limit the heartbeat rate of the whole fleet.
milliseconds controller::heartbeatPeriod(bool busy) const
{
    const auto load = options_.heartbeatPeriodPerWorker * static_cast<int>(workers_.size());
    const auto period = busy ? std::max(options_.busyHeartbeatPeriod, load)
                             : std::max(options_.idleHeartbeatPeriod, load * 2);
    return std::min(period, options_.maxRetry);
}

void controller::addStarts(const worker_state &worker, worker_orders &orders)
{
    for (const auto &[task, run] : state_.runsOn(worker.report.id)) {
        if (run.born != worker.report.born)
            continue;
        const auto running = worker.runs.find(task);
        if (running != worker.runs.end() && running->second.run == run.run)
            continue;
        if (shouldStop(worker, task, run.run))
            continue;
        if (contains(worker.report.ended, run))
            continue;
        const auto &job = *state_.findJob(task.job);
        const auto &step = job.stepOf(task);
        // All members of a gang resume from the same checkpoint: the greatest by name.
        std::string saved = job.taskOf(task).saved;
        if (job.spec.steps[task.step].gang) {
            saved.clear();
            for (const auto &member : step.tasks)
                saved = std::max(saved, member.saved);
        }
        std::string ticketText;
        if (job.source.adviceValidMs > 0) {
            const auto *cached
                    = advice_.find(stepOf(task), worker.report.id, run.born, worker.lastHeartbeat);
            if (cached == nullptr) {
                missingTickets_.insert({stepOf(task), worker.report.id});
                continue;
            }
            ticketText = *cached;
        }
        orders.starts.push_back(
                {task, run.run, job.spec.payload, std::move(saved), std::move(ticketText)});
        unsentOrders_.erase({task, run.run});
        logEvent("task.start_sent",
                 {{"job", task.job},
                  {"task", nameOf(task)},
                  {"run", run.run},
                  {"worker", worker.report.id},
                  {"token", term_}});
    }
}

void controller::updatePace(worker_state &worker, time_point now) const
{
    double worst = 0;
    for (const auto &row : worker.report.running) {
        const auto *job = state_.findJob(row.task.job);
        if (job == nullptr || row.task.step >= job->spec.steps.size())
            continue;
        const auto objective = job->spec.steps[row.task.step].latencyObjectiveMs;
        if (objective > 0)
            worst = std::max(worst, static_cast<double>(row.figure) / objective);
    }
    const auto before = worker.pace.percent();
    worker.pace.observe(now, worst);
    if (worker.pace.percent() != before)
        logEvent("worker.paced",
                 {{"worker", worker.report.id},
                  {"worst_ratio", worst},
                  {"earlier_percent", before},
                  {"percent", worker.pace.percent()}});
}

// Tasks start at full speed, so a reduced pace is repeated in each answer.
void controller::addPaces(worker_state &worker, worker_orders &orders) const
{
    if (worker.pace.percent() == 100 && !worker.paceReduced)
        return;
    worker.paceReduced = worker.pace.percent() < 100;
    for (const auto &row : worker.report.running) {
        const auto *job = state_.findJob(row.task.job);
        if (job != nullptr && row.task.step < job->spec.steps.size()
            && job->spec.steps[row.task.step].fillsIdle)
            orders.paces.push_back({row.task, row.run, worker.pace.percent()});
    }
}

// Moves tasks that can't end before a draining worker leaves, and shortly before it leaves all
// tasks that still run: if a task ended and the worker could no longer report it, the task would be
// run again.
void controller::stopDraining(const worker_state &worker)
{
    if (!worker.report.remainingMs)
        return;
    for (const auto &[task, tracked] : worker.runs) {
        const auto *job = state_.findJob(task.job);
        if (job == nullptr || job->ended())
            continue;
        const auto left = static_cast<std::int64_t>(job->spec.steps[task.step].estimateMs)
                * (100 - std::min(100U, tracked.percent)) / 100;
        const auto remaining = *worker.report.remainingMs;
        if ((left > remaining || remaining < finalReportMs)
            && stopping_.insert({task, tracked.run}).second)
            logEvent("task.moved",
                     {{"task", nameOf(task)},
                      {"job", task.job},
                      {"worker", worker.report.id},
                      {"why", "draining"},
                      {"left_ms", left}});
    }
}

} // namespace persimmon::batch
