#include "batch/controller.h"

#include "base/event_log.h"
#include "controller-detail.h"

#include <algorithm>
#include <utility>

namespace persimmon::batch {

using detail::contains;
using detail::millisecondsOf;
using detail::nameOf;

namespace {

constexpr std::size_t quarantineAfterJobs = 2;

// A heartbeat that was in transit for longer than this is ignored: its answer would come too late.
constexpr std::int64_t maxTransitMs = 1000;

// A worker that gets no answer to a heartbeat sends the next one a second later. One that comes
// sooner, by a clock that may be slow, was sent after an answer to the one before.
constexpr std::int64_t maxAnsweredGapMs = 900;

// From the loss of a leader to the term of the next one, about.
constexpr milliseconds electionTime {1000};

// Relative rate difference allowed between a worker's clock and the leader's.
constexpr double maxClockDrift = 0.025;

// Counts of jobs may be as old as this.
constexpr milliseconds maxCountAge {2000};

// A worker that sends no heartbeat for this time is treated as silent.
constexpr milliseconds maxHeartbeatGap {1000};

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
    // Workers may have been lost together with the earlier leader.
    stalls_.recordLoss(now - electionTime);
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
    unheardResidual_.clear();
    byAddress_.clear();
    cordonedMachines_.clear();
    ordersDue_.clear();
    stopping_.clear();
    settling_.clear();
    committingEnds_.clear();
    unsentOrders_.clear();
    sentOrders_.clear();
    loggedWaits_.clear();
    scheduler_.reset();
    stalls_.clear();
    attribution_.reset();
    interference_.reset();
    advice_ = {};
    missingTickets_.clear();
    adviceRequestInFlight_ = false;
    nextAdviceRequest_ = {};
    passRequested_ = false;
    nextPass_ = {};
    committing_ = false;
    commitOutcomeUnknown_ = false;
    hasWaitingUnits_ = false;
    hasWaitingUrgentUnits_ = false;
    emptiedZones_.clear();
    begunJobs_.clear();
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
std::optional<worker_orders> controller::refuse(const worker_report &report, time_point now)
{
    const auto found = workers_.find(report.id);
    if (found == workers_.end())
        return std::nullopt;
    const bool stale
            = isStale(found->second, report) || isFromBeforeDeparture(found->second, report);
    if (!stale
        && (!isLate(found->second, report, now) || hasAnsweredRefusals(found->second, report, now)))
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
    auto losses = endRunsOfEarlierIncarnation(worker, ends);
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
    commitLosses(std::move(losses), std::move(ends), now, wallMs, sendOrders);
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
        std::optional<earlier_incarnation> earlier;
        if (worker.report.incarnation != 0)
            earlier = {worker.lastHeartbeat, worker.report.draining || worker.leftAt,
                       std::move(worker.runs)};
        worker = {};
        worker.firstHeartbeat = now;
        worker.earlier = std::move(earlier);
        if (auto unheard = unheardResidual_.extract(report.id))
            worker.residual = std::move(unheard.mapped());
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
    settleLosses(worker, newIncarnation, wallMs);
    updateAddress(report, now, wallMs);
    const auto silence
            = newIncarnation ? std::chrono::microseconds {0} : now - worker.lastHeartbeat;
    worker.lastHeartbeat = now;
    worker.leftAt.reset();
    worker.mayHaveLeft = false;
    worker.replaced = false;
    worker.held.reset();
    worker.refused.reset();
    updateRunning(worker, now, silence);
    updateResidual(worker, now);
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

// Returns whether a worker whose heartbeats seem to be late follows the answers to them, and takes
// its clock as it is then: it has stood still while the machine was suspended. A heartbeat that
// follows the answer to the one before is no older than the arrival of that one. As an answer may
// come from elsewhere once, it takes a series of them for longer than a delay that matters.
bool controller::hasAnsweredRefusals(worker_state &worker, const worker_report &report,
                                     time_point now)
{
    constexpr milliseconds maxTransit {maxTransitMs};
    auto &series = worker.refused;
    if (series && report.sequence <= series->sequence)
        return false;
    const bool follows = series && report.clockMs - series->clockMs <= maxAnsweredGapMs
            && now - series->newest <= maxTransit;
    const auto since = follows ? series->since : now;
    series = {since, now, report.sequence, report.clockMs};
    if (now - since <= maxTransit)
        return false;
    worker.clockOffsetMs = millisecondsOf(now.time_since_epoch()) - report.clockMs;
    logEvent("worker.clock_stood_still",
             {{"worker", report.id}, {"born", report.incarnation}, {"sequence", report.sequence}});
    return true;
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
void controller::updateAddress(const worker_report &report, time_point now, std::int64_t wallMs)
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
        if (!earlier->second.leftAt) {
            earlier->second.leftAt = now;
            earlier->second.replaced = true;
        }
        recordLosses(attribution_.recordRestart(holder, earlier->second.report.incarnation), wallMs,
                     {});
    }
    holder = report.id;
}

// Returns whether a worker is about to leave: it drains, and the least time that it stays is over.
bool controller::isLeaving(const worker_state &worker, time_point now)
{
    return worker.report.draining
            && worker.lastHeartbeat + milliseconds {worker.report.remainingMs.value_or(0)} <= now;
}

// A departure that names no incarnation may be an earlier one's, unless the worker was about to
// leave. It ends no run then: it only keeps new tasks away until the next heartbeat.
void controller::handleDeparture(time_point now, const worker_departure &departure)
{
    const auto found = workers_.find(departure.worker);
    if (found == workers_.end())
        return;
    auto &worker = found->second;
    const auto known = worker.report.incarnation;
    const bool isEarlier = departure.incarnation && *departure.incarnation < known;
    const bool isCertain = departure.incarnation ? !isEarlier : isLeaving(worker, now);
    logEvent(isCertain ? "worker.left" : "worker.unmatched_departure",
             {{"worker", departure.worker},
              {"born", known},
              {"left_born", departure.incarnation.value_or(0)},
              {"draining", worker.report.draining ? 1 : 0}});
    if (isCertain)
        worker.leftAt = now;
    else if (!isEarlier)
        worker.mayHaveLeft = true;
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
            tracked = {row.run,        now, row.percent, now,   row.percent,
                       row.checkpoint, now, {},          false, {}};
            recordReported({row.task, row.run});
            if (state_.unbegunJobs().contains(row.task.job))
                begunJobs_.insert(row.task.job);
        }
        if (silence > maxHeartbeatGap)
            tracked.lastProgress = std::min(now, tracked.lastProgress + silence);
        if (tracked.percent != row.percent) {
            tracked.percent = row.percent;
            tracked.lastProgress = now;
        }
        if (!row.checkpoint.empty() && tracked.checkpoint != row.checkpoint) {
            tracked.checkpoint = row.checkpoint;
            tracked.saved = now;
        }
    }
    observeNeighbours(worker, updated, now);
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
    if (row.kind == end_kind::Done || row.kind == end_kind::Failed)
        stalls_.recordWork(row.task.job);
    if (row.kind == end_kind::Done) {
        worker.failedJobs.clear();
        worker.lastDone = now;
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
        if (run.incarnation < report.incarnation)
            continue;
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

// Returns whether a job has a run of the earlier leader on a worker that hasn't been heard in this
// term. For as long as a count may be old, that leader's knowledge of it is taken to hold.
bool controller::mayHaveBegunBefore(const job_record &job) const
{
    if (now_ - termStart_ > maxCountAge)
        return false;
    return std::ranges::any_of(job.occurrences, [this](const auto &steps) {
        return std::ranges::any_of(steps, [this](const step_state &step) {
            return std::ranges::any_of(step.tasks, [this](const task_state &task) {
                return task.active && !workers_.contains(task.worker);
            });
        });
    });
}

std::size_t controller::waitingJobs(const queue &at) const
{
    const auto isWaiting = [&](const std::string &id) {
        const auto &job = *state_.findJob(id);
        return job.isOf(at) && !begunJobs_.contains(id) && !mayHaveBegunBefore(job);
    };
    return state_.queuedJobs(at)
            + static_cast<std::size_t>(std::ranges::count_if(state_.unbegunJobs(), isWaiting));
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

} // namespace persimmon::batch
