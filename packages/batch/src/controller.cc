#include "batch/controller.h"

#include "base/event_log.h"

#include <algorithm>
#include <utility>

namespace persimmon::batch {

namespace {

constexpr std::size_t quarantineAfterJobs = 2;

// A heartbeat that was in transit for longer than this is ignored: its answer would come too late.
constexpr std::int64_t maxTransitMs = 1000;

// Relative rate difference allowed between a worker's clock and the leader's.
constexpr double maxClockDrift = 0.025;

// A worker that sends no heartbeat for this time is treated as silent.
constexpr milliseconds maxHeartbeatGap {1000};

// Shortest time between an answer that was held and the next heartbeat.
constexpr milliseconds minRetry {20};

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
    resetTermState();
    term_ = term;
    termStart_ = now;
    now_ = now;
    passRequested_ = true;
    logEvent("leader.begin", {{"term", term}, {"jobs", state_.jobCount()}});
}

void controller::endTerm()
{
    if (term_ != 0)
        logEvent("leader.end", {{"term", term_}});
    resetTermState();
}

// Drops everything that was learned or decided in an earlier term. Callbacks of that term have no
// effect.
void controller::resetTermState()
{
    term_ = 0;
    alive_ = std::make_shared<int>(0);
    workers_.clear();
    byAddress_.clear();
    cordonedMachines_.clear();
    ordersDue_.clear();
    stopping_.clear();
    committingEnds_.clear();
    unsentOrders_.clear();
    sentOrders_.clear();
    loggedWaits_.clear();
    scheduler_.reset();
    advice_ = {};
    missingTickets_.clear();
    adviceRequestInFlight_ = false;
    nextAdviceRequest_ = {};
    passRequested_ = false;
    nextPass_ = {};
    committing_ = false;
    commitOutcomeUnknown_ = false;
    hasWaitingUnits_ = false;
}

bool controller::isStale(const worker_state &worker, const worker_report &report) const
{
    return std::pair(report.incarnation, report.sequence)
            < std::pair(worker.report.incarnation, worker.report.sequence);
}

// Returns whether a worker sent a heartbeat before it announced its departure, although the
// heartbeat arrived later. A departed worker must not be used again because of it.
bool controller::isFromBeforeDeparture(const worker_state &worker,
                                       const worker_report &report) const
{
    if (!worker.leftAt || worker.report.incarnation != report.incarnation || report.clockMs == 0)
        return false;
    const auto sentMs = report.clockMs + worker.clockOffsetMs;
    return sentMs <= millisecondsOf(worker.leftAt->time_since_epoch());
}

// Returns an answer without a lease for a heartbeat that is older than the newest one or was
// delayed in transit.
std::optional<worker_orders> controller::refuse(const worker_report &report, time_point now) const
{
    const auto found = workers_.find(report.id);
    if (found == workers_.end())
        return std::nullopt;
    const bool stale
            = isStale(found->second, report) || isFromBeforeDeparture(found->second, report);
    if (!stale && !isLate(found->second, report, now))
        return std::nullopt;
    logEvent(stale ? "worker.stale_heartbeat" : "worker.late_heartbeat",
             {{"worker", report.id}, {"born", report.incarnation}, {"sequence", report.sequence}});
    worker_orders orders;
    orders.retryMs = options_.busyHeartbeatPeriod.count();
    return orders;
}

void controller::heartbeat(time_point now, std::int64_t wallMs, const worker_report &report,
                           const orders_callback &done, answer_mode mode)
{
    if (term_ == 0)
        return done(error {result_code::NotLeader, "this node is not the leader", {}, {}});
    now_ = std::max(now_, now);
    if (auto refusal = refuse(report, now))
        return done(std::move(*refusal));
    auto &worker = recordHeartbeat(now, wallMs, report);
    auto ends = collectEnds(worker, now);
    updateMissing(worker, now, ends);
    if (report.draining)
        stopDraining(worker);
    std::optional<std::uint64_t> ackedUpTo;
    if (!report.ended.empty())
        ackedUpTo = std::ranges::max(report.ended, {}, &ended_task::sequence).sequence;
    const auto sendOrders
            = [this, id = report.id, incarnation = report.incarnation, sequence = report.sequence,
               ackedUpTo, done, mode, alive = std::weak_ptr<int>(alive_)](const status &committed) {
                  if (failed(committed))
                      return done(errorOf(committed));
                  const bool leads = !alive.expired() && mayAct_();
                  const auto current = leads ? workers_.find(id) : workers_.end();
                  if (current == workers_.end())
                      return done(error {result_code::NotLeader,
                                         "leadership ended before the heartbeat was answered",
                                         {},
                                         {}});
                  auto &answered = current->second;
                  auto orders = ordersFor(answered);
                  orders.ackedUpTo = ackedUpTo;
                  const bool newest = answered.report.incarnation == incarnation
                          && answered.report.sequence == sequence;
                  if (mode == answer_mode::MayBeHeld && newest)
                      holdAnswer(answered, orders);
                  done(std::move(orders));
              };
    if (ends.empty())
        return sendOrders(std::monostate {});
    commitEnds(std::move(ends), wallMs, sendOrders);
}

controller::worker_state &controller::recordHeartbeat(time_point now, std::int64_t wallMs,
                                                      const worker_report &report)
{
    auto &worker = workers_[report.id];
    const bool newIncarnation = worker.report.incarnation != report.incarnation;
    if (newIncarnation) {
        if (worker.report.incarnation == 0 || worker.report.draining != report.draining)
            passRequested_ = true;
        logEvent("worker.joined",
                 {{"worker", report.id},
                  {"born", report.incarnation},
                  {"earlier_born", worker.report.incarnation},
                  {"rack", report.rack}});
        worker = {};
        worker.firstHeartbeat = now;
    } else if (report.draining && !worker.report.draining) {
        logEvent("worker.draining", {{"worker", report.id}, {"born", report.incarnation}});
    } else if (report.sequence == worker.report.sequence) {
        logEvent("worker.repeated_heartbeat",
                 {{"worker", report.id},
                  {"born", report.incarnation},
                  {"sequence", report.sequence}});
    }
    worker.report = report;
    updateClockOffset(worker, now, wallMs, newIncarnation);
    updateAddress(report, now);
    const auto silence
            = newIncarnation ? std::chrono::microseconds {0} : now - worker.lastHeartbeat;
    worker.lastHeartbeat = now;
    worker.leftAt.reset();
    worker.held.reset();
    updateRunning(worker, now, silence);
    updatePace(worker, now);
    return worker;
}

// Returns whether a heartbeat was delayed in transit, for example by a network partition. Such a
// heartbeat doesn't show that its worker is still running.
bool controller::isLate(const worker_state &worker, const worker_report &report,
                        time_point now) const
{
    if (report.clockMs == 0 || worker.report.clockMs == 0
        || worker.report.incarnation != report.incarnation)
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
        const auto age = wallMs - report.incarnation - report.clockMs;
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
        if (earlier->second.report.incarnation > report.incarnation)
            return;
        logEvent("worker.replaced",
                 {{"worker", holder}, {"by", report.id}, {"address", report.address}});
        if (!earlier->second.leftAt)
            earlier->second.leftAt = now;
    }
    holder = report.id;
}

void controller::handleDeparture(time_point now, const std::string &worker)
{
    const auto found = workers_.find(worker);
    if (found == workers_.end())
        return;
    logEvent("worker.left", {{"worker", worker}, {"born", found->second.report.incarnation}});
    found->second.leftAt = now;
}

// Tracks the listed runs of known tasks; others are stopped. The time in which a worker was silent
// doesn't count as time without progress.
void controller::updateRunning(worker_state &worker, time_point now,
                               std::chrono::microseconds silence)
{
    std::map<task_id, tracked_run> updated;
    for (const auto &row : worker.report.running) {
        if (!state_.hasTask(row.task))
            continue;
        auto &tracked = updated[row.task];
        const auto earlier = worker.runs.find(row.task);
        if (earlier != worker.runs.end() && earlier->second.run == row.run)
            tracked = earlier->second;
        else {
            tracked = {row.run, now, row.percent, now, row.percent, {}};
            recordReported({row.task, row.run});
        }
        if (silence > maxHeartbeatGap)
            tracked.lastProgress = std::min(now, tracked.lastProgress + silence);
        if (tracked.percent != row.percent) {
            tracked.percent = row.percent;
            tracked.lastProgress = now;
        }
        if (!row.checkpoint.empty())
            tracked.checkpoint = row.checkpoint;
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
            || found->second.incarnation != worker.report.incarnation)
            continue;
        ends.push_back({row.task, row.run, row.kind, row.checkpoint});
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
        if (run.incarnation < report.incarnation) {
            ends.push_back({task, run.run, end_kind::Lost, {}});
            continue;
        }
        const auto running = worker.runs.find(task);
        const bool listed = running != worker.runs.end() && running->second.run == run.run;
        const bool ended = contains(ends, run);
        if (run.incarnation > report.incarnation || listed || ended
            || committingEnds_.contains(task))
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
    std::vector<task_id> gangs;
    for (const auto &end : ends) {
        const auto *job = state_.findJob(end.task.job);
        if (job != nullptr && job->spec.steps[end.task.step].gang)
            gangs.push_back(end.task);
    }
    propose_(end_runs {std::move(ends), wallMs},
             [this, gangs = std::move(gangs), done = std::move(done),
              alive = std::weak_ptr<int>(alive_)](const status &committed) {
                 if (!alive.expired()) {
                     passRequested_ = true;
                     for (const auto &task : gangs)
                         markMembers(task);
                 }
                 done(committed);
             });
}

// Marks the workers of the active members of a gang, which are stopped if a member has ended.
void controller::markMembers(const task_id &task)
{
    const auto *job = state_.findJob(task.job);
    if (job == nullptr)
        return;
    for (const auto &member : job->stepOf(task).tasks) {
        if (member.active)
            ordersDue_.insert(member.worker);
    }
}

void controller::stopJob(const std::string &id)
{
    passRequested_ = true;
    const auto *job = state_.findJob(id);
    if (job == nullptr)
        return;
    for (const auto &steps : job->occurrences) {
        for (const auto &step : steps) {
            for (const auto &task : step.tasks) {
                if (task.active)
                    ordersDue_.insert(task.worker);
            }
        }
    }
}

// Returns false if the run is being stopped already.
bool controller::requestStop(const task_id &task, std::uint32_t run, const std::string &worker)
{
    if (!stopping_.insert({task, run}).second)
        return false;
    ordersDue_.insert(worker);
    return true;
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

// Returns whether a run that a worker reports has to be stopped.
bool controller::shouldEnd(const worker_state &worker, const running_task &row) const
{
    const auto &runs = state_.runsOn(worker.report.id);
    const auto found = runs.find(row.task);
    const bool expected = found != runs.end() && found->second.run == row.run
            && found->second.incarnation == worker.report.incarnation;
    if (!expected)
        return true;
    const auto *job = state_.findJob(row.task.job);
    // A run of a completed job isn't stopped: the other members of a gang end by themselves once
    // the end of the gang is committed.
    if (job != nullptr && job->state == job_state::Done)
        return false;
    return job == nullptr || job->ended() || stopping_.contains({row.task, row.run})
            || isIncompleteGang(*job, row.task);
}

worker_orders controller::ordersFor(worker_state &worker)
{
    worker_orders orders;
    orders.leaseMs = options_.lease.count();
    orders.fencingToken = term_;
    for (const auto &row : worker.report.running) {
        if (shouldEnd(worker, row))
            orders.stops.push_back({row.task, row.run});
    }
    addStarts(worker, orders);
    addPaces(worker, orders);
    const bool busy = !orders.paces.empty() || hasWaitingUnits_ || committing_
            || !orders.starts.empty() || !orders.stops.empty();
    const auto period
            = worker.report.draining ? options_.busyHeartbeatPeriod : heartbeatPeriod(busy);
    worker.nextHeartbeat = now_ + period;
    orders.retryMs = period.count();
    return orders;
}

// Returns for how long the answer to the newest heartbeat of a worker may be held, or zero.
milliseconds controller::holdLimit(const worker_state &worker) const
{
    if (worker.report.draining || worker.paceReduced)
        return milliseconds {0};
    std::vector<milliseconds> remaining;
    for (const auto &[task, tracked] : worker.runs) {
        const auto *job = state_.findJob(task.job);
        if (job == nullptr)
            return milliseconds {0};
        const auto &spec = job->spec.steps[task.step];
        // The pace of other tasks depends on the reports of tasks that serve users.
        if (spec.latencyObjectiveMs > 0)
            return milliseconds {0};
        if (spec.longRunning)
            continue;
        remaining.push_back(expectedRemaining(
                {tracked.firstPercent, tracked.percent,
                 std::chrono::duration_cast<milliseconds>(tracked.lastProgress - tracked.started),
                 std::chrono::duration_cast<milliseconds>(now_ - tracked.lastProgress),
                 milliseconds {spec.estimateMs}}));
    }
    auto limits = options_.hold;
    limits.longest -= std::chrono::duration_cast<milliseconds>(now_ - worker.lastHeartbeat);
    if (worker.report.clockMs != 0)
        limits.longest -= milliseconds {millisecondsOf(worker.lastHeartbeat.time_since_epoch())
                                        - worker.report.clockMs - worker.clockOffsetMs};
    return holdFor(remaining, limits);
}

// Allows the answer to be held if it contains no orders.
void controller::holdAnswer(worker_state &worker, worker_orders &orders)
{
    if (!orders.starts.empty() || !orders.stops.empty() || !orders.paces.empty())
        return;
    const auto hold = holdLimit(worker);
    if (hold.count() == 0)
        return;
    const auto period = heartbeatPeriod(hasWaitingUnits_);
    orders.holdMs = hold.count();
    orders.retryMs = std::max(minRetry, period - hold).count();
    worker.held = held_answer {now_ + hold, orders.ackedUpTo};
    worker.nextHeartbeat = now_;
}

// Sends orders that have become ready to the workers whose answers are held.
void controller::sendReadyOrders()
{
    if (ordersDue_.empty() || !mayAct_())
        return;
    for (const auto &id : std::exchange(ordersDue_, {})) {
        const auto found = workers_.find(id);
        if (found == workers_.end() || !found->second.held || found->second.held->until <= now_)
            continue;
        auto &worker = found->second;
        const auto nextHeartbeat = worker.nextHeartbeat;
        auto orders = ordersFor(worker);
        if (orders.starts.empty() && orders.stops.empty() && orders.paces.empty()) {
            worker.nextHeartbeat = nextHeartbeat;
            continue;
        }
        orders.ackedUpTo = worker.held->ackedUpTo;
        worker.held.reset();
        ordersReady_(id, std::move(orders));
    }
}

// The period grows with the number of workers, to limit the heartbeat rate of the whole fleet.
milliseconds controller::heartbeatPeriod(bool busy) const
{
    const auto load = std::chrono::duration_cast<milliseconds>(options_.heartbeatPeriodPerWorker
                                                               * static_cast<int>(workers_.size()));
    const auto period = busy ? std::max(options_.busyHeartbeatPeriod, load)
                             : std::max(options_.idleHeartbeatPeriod, load * 2);
    return std::min(period, options_.maxHeartbeatPeriod);
}

// Repeated orders aren't observed again.
void controller::recordOrderSent(const run_key &run)
{
    const auto placed = unsentOrders_.find(run);
    if (placed == unsentOrders_.end())
        return;
    observeLatency_(latency_stage::Order, now_ - placed->second);
    unsentOrders_.erase(placed);
    sentOrders_[run] = now_;
}

void controller::recordReported(const run_key &run)
{
    const auto sent = sentOrders_.find(run);
    if (sent == sentOrders_.end())
        return;
    observeLatency_(latency_stage::Start, now_ - sent->second);
    sentOrders_.erase(sent);
}

void controller::addStarts(const worker_state &worker, worker_orders &orders)
{
    for (const auto &[task, run] : state_.runsOn(worker.report.id)) {
        if (run.incarnation != worker.report.incarnation)
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
        std::string checkpoint = job.taskOf(task).checkpoint;
        if (job.spec.steps[task.step].gang) {
            checkpoint.clear();
            for (const auto &member : step.tasks)
                checkpoint = std::max(checkpoint, member.checkpoint);
        }
        std::string ticketText;
        if (job.source.adviceValidMs > 0) {
            const auto *cached = advice_.find(stepOf(task), worker.report.id, run.incarnation,
                                              worker.lastHeartbeat);
            if (cached == nullptr) {
                missingTickets_.insert({stepOf(task), worker.report.id});
                continue;
            }
            ticketText = *cached;
        }
        orders.starts.push_back(
                {task, run.run, job.spec.payload, std::move(checkpoint), std::move(ticketText)});
        recordOrderSent({task, run.run});
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
        if (!state_.hasTask(row.task))
            continue;
        const auto objective
                = state_.findJob(row.task.job)->spec.steps[row.task.step].latencyObjectiveMs;
        if (objective > 0)
            worst = std::max(worst, static_cast<double>(row.tailLatencyMs) / objective);
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
        if (state_.hasTask(row.task)
            && state_.findJob(row.task.job)->spec.steps[row.task.step].usesIdleCpu)
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
            && requestStop(task, tracked.run, worker.report.id))
            logEvent("task.moved",
                     {{"task", nameOf(task)},
                      {"job", task.job},
                      {"worker", worker.report.id},
                      {"why", "draining"},
                      {"left_ms", left}});
    }
}

} // namespace persimmon::batch
