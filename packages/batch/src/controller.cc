#include "batch/controller.h"

#include "base/event_log.h"

#include <algorithm>

namespace persimmon::batch {

namespace {

constexpr std::size_t quarantineAfterJobs = 2;

// A heartbeat that was on its way longer than this is not answered in time anyway.
constexpr std::int64_t lateByMs = 1000;

// Clocks of workers may differ from ours by this share.
constexpr double maxDrift = 0.025;

// A draining worker needs this time to stop a run and to report its end.
constexpr std::int64_t lastReportMs = 1500;

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

// Tells whether a list of ends names a run.
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
    since_ = now;
    workers_.clear();
    stopping_.clear();
    ending_.clear();
    unsent_.clear();
    byAddress_.clear();
    closedMachines_.clear();
    scheduler_.reset();
    committing_ = false;
    undecided_ = false;
    asking_ = false;
    advice_ = {};
    alive_ = std::make_shared<int>(0);
    dirty_ = true;
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

bool controller::isStale(const worker_state &known, const worker_report &report) const
{
    return std::pair(report.born, report.sequence)
            <= std::pair(known.report.born, known.report.sequence);
}

void controller::heartbeat(time_point now, std::int64_t wallMs, const worker_report &report,
                           const orders_callback &done)
{
    if (term_ == 0)
        return done(error {result_code::NotLeader, "not the leader", {}, {}});
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
    auto &known = workers_[report.id];
    const bool reborn = known.report.born != report.born;
    if (reborn) {
        if (known.report.born == 0 || known.report.draining != report.draining)
            dirty_ = true;
        logEvent("worker.joined",
                 {{"worker", report.id},
                  {"born", report.born},
                  {"earlier_born", known.report.born},
                  {"rack", report.rack}});
        known = {};
        known.firstHeard = now;
    } else if (report.draining && !known.report.draining) {
        logEvent("worker.draining", {{"worker", report.id}, {"born", report.born}});
    }
    known.report = report;
    noteClock(known, now, wallMs, reborn);
    noteAddress(report, now);
    known.heard = now;
    known.left.reset();
    noteRunning(known, now);
    notePace(known, now);
    auto ends = readEnds(known, now);
    noteMissing(known, now, ends);
    if (report.draining)
        stopDraining(known);
    std::optional<std::uint64_t> seen;
    if (!report.ended.empty())
        seen = std::ranges::max(report.ended, {}, &ended_task::number).number;
    const auto answer = [this, id = report.id, seen, done,
                         alive = std::weak_ptr<int>(alive_)](const status &committed) {
        if (failed(committed))
            return done(errorOf(committed));
        const auto current = workers_.find(id);
        if (alive.expired() || current == workers_.end())
            return done(error {result_code::NotLeader, "leadership ended", {}, {}});
        auto orders = ordersFor(current->second);
        orders.seenUpTo = seen;
        done(std::move(orders));
    };
    if (ends.empty())
        return answer(std::monostate {});
    commitEnds(std::move(ends), wallMs, answer);
}

// A heartbeat that a partition held up says nothing of the present: its worker may be gone.
bool controller::isLate(const worker_state &known, const worker_report &report,
                        time_point now) const
{
    if (report.clockMs == 0 || known.report.clockMs == 0 || known.report.born != report.born)
        return false;
    const auto drift = static_cast<std::int64_t>(
            static_cast<double>(millisecondsOf(now - known.heard)) * maxDrift);
    const auto offset = millisecondsOf(now.time_since_epoch()) - report.clockMs;
    return offset > known.clockOffsetMs + drift + lateByMs;
}

// The first heartbeat of an incarnation has no earlier one to be compared with; it counts as
// confirmed if its age by wall time is small, otherwise the next one does.
void controller::noteClock(worker_state &known, time_point now, std::int64_t wallMs,
                           bool first) const
{
    const auto &report = known.report;
    const auto offset = millisecondsOf(now.time_since_epoch()) - report.clockMs;
    if (first) {
        known.clockOffsetMs = offset;
        const auto age = wallMs - report.born - report.clockMs;
        known.confirmed = report.clockMs == 0 || (age > -lateByMs && age < lateByMs);
        return;
    }
    const auto drift = static_cast<std::int64_t>(
            static_cast<double>(millisecondsOf(now - known.heard)) * maxDrift);
    known.clockOffsetMs = std::min(offset, known.clockOffsetMs + drift);
    known.confirmed = true;
}

// A newer incarnation at an address has replaced the one before, whatever its id.
void controller::noteAddress(const worker_report &report, time_point now)
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
        if (!earlier->second.left)
            earlier->second.left = now;
    }
    holder = report.id;
}

void controller::leave(time_point now, const std::string &worker)
{
    const auto found = workers_.find(worker);
    if (found == workers_.end())
        return;
    logEvent("worker.left", {{"worker", worker}, {"born", found->second.report.born}});
    found->second.left = now;
}

void controller::noteRunning(worker_state &known, time_point now)
{
    std::map<task_id, run_watch> kept;
    for (const auto &row : known.report.running) {
        auto &watch = kept[row.task];
        const auto earlier = known.runs.find(row.task);
        if (earlier != known.runs.end() && earlier->second.run == row.run)
            watch = earlier->second;
        else
            watch = {row.run, now, now, 0, {}};
        if (watch.percent != row.percent) {
            watch.percent = row.percent;
            watch.moved = now;
        }
        if (!row.saved.empty())
            watch.saved = row.saved;
    }
    known.runs = std::move(kept);
}

// Returns the reported ends that the ledger doesn't know yet.
std::vector<run_end> controller::readEnds(worker_state &known, time_point now)
{
    std::vector<run_end> ends;
    const auto &runs = state_.runsOn(known.report.id);
    for (const auto &row : known.report.ended) {
        const auto found = runs.find(row.task);
        if (found == runs.end() || found->second.run != row.run
            || found->second.born != known.report.born)
            continue;
        ends.push_back({row.task, row.run, row.kind, row.saved});
        noteEnd(known, row, now);
    }
    return ends;
}

void controller::noteEnd(worker_state &known, const ended_task &row, time_point now)
{
    stopping_.erase({row.task, row.run});
    logEvent("task.ended",
             {{"job", row.task.job},
              {"task", nameOf(row.task)},
              {"run", row.run},
              {"worker", known.report.id},
              {"how", toName(row.kind)},
              {"outcome", "reported"}});
    if (row.kind == end_kind::Done) {
        known.failedJobs.clear();
        known.everDone = true;
        return;
    }
    if (row.kind != end_kind::Failed)
        return;
    known.failedJobs.insert(row.task.job);
    if (known.failedJobs.size() < quarantineAfterJobs)
        return;
    known.closedUntil = now + options_.quarantine;
    logEvent("worker.quarantined",
             {{"worker", known.report.id},
              {"failed_jobs", known.failedJobs.size()},
              {"for_ms", options_.quarantine.count()}});
}

// Runs that the ledger has on the worker but the worker doesn't list. Either the order has not
// reached it, or the run is being stopped. A heartbeat is sent after the answer to the one before
// was taken or dropped, so what isn't listed for long was never started.
void controller::noteMissing(worker_state &known, time_point now, std::vector<run_end> &ends) const
{
    const auto &report = known.report;
    auto earlier = std::move(known.missing);
    known.missing.clear();
    for (const auto &[task, run] : state_.runsOn(report.id)) {
        if (run.born < report.born) {
            ends.push_back({task, run.run, end_kind::Lost, {}});
            continue;
        }
        const auto running = known.runs.find(task);
        const bool listed = running != known.runs.end() && running->second.run == run.run;
        const bool ended = contains(ends, run);
        if (run.born > report.born || listed || ended || ending_.contains(task))
            continue;
        auto &[number, since] = known.missing[task];
        number = run.run;
        const auto before = earlier.find(task);
        const bool same = before != earlier.end() && before->second.first == run.run;
        since = same ? before->second.second : now;
        // This leader knows that it has not ordered the run.
        const bool neverOrdered = unsent_.contains({task, run.run});
        if ((neverOrdered || now - since > options_.missingLimit)
            && shouldStop(known, task, run.run))
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
                     dirty_ = true;
                 done(committed);
             });
}

// True if a member of the gang's run has ended or was never started, and the step isn't done.
bool controller::isTornGang(const job_record &job, const task_id &task) const
{
    const auto &step = job.stepOf(task);
    return job.spec.steps[task.step].gang && !job.taskOf(task).done
            && step.activeCount < step.tasks.size();
}

bool controller::shouldStop(const worker_state &known, const task_id &task, std::uint32_t run) const
{
    const auto *job = state_.findJob(task.job);
    if (job == nullptr || job->ended())
        return true;
    return stopping_.contains({task, run}) || ending_.contains(task) || known.report.draining
            || isTornGang(*job, task);
}

worker_orders controller::ordersFor(worker_state &known)
{
    worker_orders orders;
    orders.leaseMs = options_.lease.count();
    orders.fencingToken = term_;
    const auto &runs = state_.runsOn(known.report.id);
    for (const auto &row : known.report.running) {
        const auto found = runs.find(row.task);
        const bool ours = found != runs.end() && found->second.run == row.run
                && found->second.born == known.report.born;
        const auto *job = state_.findJob(row.task.job);
        const bool unwanted = job == nullptr || job->ended()
                || stopping_.contains({row.task, row.run}) || (ours && isTornGang(*job, row.task));
        // A gang whose end is durable ends on its other workers by itself.
        if (!ours || (unwanted && !(job != nullptr && job->state == job_state::Done)))
            orders.stops.push_back({row.task, row.run});
    }
    addStarts(known, orders);
    addPaces(known, orders);
    const bool busy = !orders.paces.empty() || waiting_ || committing_ || !orders.starts.empty()
            || !orders.stops.empty();
    const auto period = known.report.draining ? options_.busyRetry : heartbeatPeriod(busy);
    known.nextHeartbeat = known.heard + period;
    orders.retryMs = period.count();
    return orders;
}

// The more workers there are, the less often each is heard.
milliseconds controller::heartbeatPeriod(bool busy) const
{
    const auto load = options_.retryPerWorker * static_cast<int>(workers_.size());
    const auto period
            = busy ? std::max(options_.busyRetry, load) : std::max(options_.retry, load * 2);
    return std::min(period, options_.maxRetry);
}

void controller::addStarts(const worker_state &known, worker_orders &orders)
{
    for (const auto &[task, run] : state_.runsOn(known.report.id)) {
        if (run.born != known.report.born)
            continue;
        const auto running = known.runs.find(task);
        if (running != known.runs.end() && running->second.run == run.run)
            continue;
        if (shouldStop(known, task, run.run))
            continue;
        if (contains(known.report.ended, run))
            continue;
        const auto &job = *state_.findJob(task.job);
        const auto &step = job.stepOf(task);
        // All members of a gang resume from the same checkpoint.
        std::string saved = job.taskOf(task).saved;
        if (job.spec.steps[task.step].gang) {
            saved.clear();
            for (const auto &member : step.tasks)
                saved = std::max(saved, member.saved);
        }
        std::string permit;
        if (job.source.adviceValidMs > 0) {
            const auto *held = advice_.find(stepOf(task), known.report.id, run.born, known.heard);
            if (held == nullptr) {
                missingTickets_.insert({stepOf(task), known.report.id});
                continue;
            }
            permit = *held;
        }
        orders.starts.push_back(
                {task, run.run, job.spec.payload, std::move(saved), std::move(permit)});
        unsent_.erase({task, run.run});
        logEvent("task.start_sent",
                 {{"job", task.job},
                  {"task", nameOf(task)},
                  {"run", run.run},
                  {"worker", known.report.id},
                  {"token", term_}});
    }
}

void controller::notePace(worker_state &known, time_point now) const
{
    double worst = 0;
    for (const auto &row : known.report.running) {
        const auto *job = state_.findJob(row.task.job);
        if (job == nullptr || row.task.step >= job->spec.steps.size())
            continue;
        const auto objective = job->spec.steps[row.task.step].latencyObjectiveMs;
        if (objective > 0)
            worst = std::max(worst, static_cast<double>(row.figure) / objective);
    }
    const auto before = known.pace.percent();
    known.pace.observe(now, worst);
    if (known.pace.percent() != before)
        logEvent("worker.paced",
                 {{"worker", known.report.id},
                  {"worst_ratio", worst},
                  {"earlier_percent", before},
                  {"percent", known.pace.percent()}});
}

// A task starts at full speed, so a lower pace is repeated in each answer.
void controller::addPaces(worker_state &known, worker_orders &orders) const
{
    if (known.pace.percent() == 100 && !known.paced)
        return;
    known.paced = known.pace.percent() < 100;
    for (const auto &row : known.report.running) {
        const auto *job = state_.findJob(row.task.job);
        if (job != nullptr && row.task.step < job->spec.steps.size()
            && job->spec.steps[row.task.step].fillsIdle)
            orders.paces.push_back({row.task, row.run, known.pace.percent()});
    }
}

// Tasks that can't end before a draining worker leaves are moved at once, and all that still run
// shortly before it leaves: an end that it can't report any more would be run again.
void controller::stopDraining(const worker_state &known)
{
    if (!known.report.remainingMs)
        return;
    for (const auto &[task, watch] : known.runs) {
        const auto *job = state_.findJob(task.job);
        if (job == nullptr || job->ended())
            continue;
        const auto left = static_cast<std::int64_t>(job->spec.steps[task.step].estimateMs)
                * (100 - std::min(100U, watch.percent)) / 100;
        const auto remaining = *known.report.remainingMs;
        if ((left > remaining || remaining < lastReportMs)
            && stopping_.insert({task, watch.run}).second)
            logEvent("task.moved",
                     {{"task", nameOf(task)},
                      {"job", task.job},
                      {"worker", known.report.id},
                      {"why", "draining"},
                      {"left_ms", left}});
    }
}

} // namespace persimmon::batch
