#include "base/event_log.h"
#include "batch/controller.h"
#include "controller-detail.h"

#include <algorithm>
#include <utility>

// Orders of the controller: starts, stops and paces, and the answers that are held until there are
// some.
namespace persimmon::batch {

using detail::contains;
using detail::millisecondsOf;
using detail::nameOf;

namespace {

// Starts in one answer, in bytes. A worker takes answers of up to 4 MiB; a batch of answers for
// other nodes holds 64 of them.
constexpr std::size_t maxStartBytes = std::size_t {256} * 1024;

// What an order takes beside its texts.
constexpr std::size_t orderBytes = 64;

// A lease counts from the sending of a heartbeat and is renewed by the answer to the next one,
// which may be held as well. So a lease has to outlast several times for which answers are held.
constexpr int holdsInLease = 5;

// Shortest time between an answer that was held and the next heartbeat.
constexpr milliseconds minRetry {20};

// Time that a draining worker needs to stop a run and report its end.
constexpr std::int64_t finalReportMs = 1500;

} // namespace

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

// Returns whether a run that a worker reports is active there in the ledger.
bool controller::isExpected(const worker_state &worker, const running_task &row) const
{
    const auto &runs = state_.runsOn(worker.report.id);
    const auto found = runs.find(row.task);
    return found != runs.end() && found->second.run == row.run
            && found->second.incarnation == worker.report.incarnation;
}

// Returns whether a run that a worker reports has to be stopped.
bool controller::shouldEnd(const worker_state &worker, const running_task &row) const
{
    if (!isExpected(worker, row))
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
        remaining.push_back(expectedRemaining(forecastOf(tracked, spec, now_)));
    }
    auto limits = options_.hold;
    limits.longest = std::min(limits.longest, options_.lease / holdsInLease);
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

// Returns whether the worker should start a run that the ledger has placed on it.
bool controller::isStartDue(const worker_state &worker, const assignment &run) const
{
    const auto running = worker.runs.find(run.task);
    if (running != worker.runs.end() && running->second.run == run.run)
        return false;
    return !shouldStop(worker, run.task, run.run) && !contains(worker.report.ended, run);
}

// Adds the starts that fit into the capacity that the worker reports now, beside all that it runs
// or is still stopping. It may have shrunk since the tasks were placed.
void controller::addStarts(const worker_state &worker, worker_orders &orders)
{
    auto available = worker.report.capacity;
    for (const auto &[key, run] : worker.residual)
        available -= run.taken;
    std::vector<assignment> due;
    for (const auto &[task, run] : state_.runsOn(worker.report.id)) {
        if (run.incarnation != worker.report.incarnation)
            continue;
        if (isStartDue(worker, run))
            due.push_back(run);
        else if (!contains(worker.report.ended, run) && !unsentOrders_.contains({task, run.run}))
            available -= state_.findJob(task.job)->spec.steps[task.step].charged();
    }
    // A job with many tasks and a long payload would exceed what one answer can hold. The rest
    // comes in the next answers, because what was started is no longer due then.
    std::ranges::stable_sort(due, {}, [this](const assignment &run) {
        return state_.findJob(run.task.job)->source.priority;
    });
    std::size_t bytes = 0;
    for (const auto &run : due) {
        if (bytes >= maxStartBytes)
            break;
        const auto need = state_.findJob(run.task.job)->spec.steps[run.task.step].charged();
        if (state_.isEvacuated(worker.report.zone)) {
            withholdStart(worker, run, "evacuated");
            continue;
        }
        if (timesFitting(available, need) == 0) {
            withholdStart(worker, run, "capacity");
            continue;
        }
        auto order = startOrderOf(worker, run);
        if (!order)
            continue;
        available -= need;
        bytes += orderBytes + order->payload.size() + order->checkpoint.size()
                + order->ticket.size();
        orders.starts.push_back(std::move(*order));
        recordOrderSent({run.task, run.run});
        logEvent("task.start_sent",
                 {{"job", run.task.job},
                  {"task", nameOf(run.task)},
                  {"run", run.run},
                  {"worker", worker.report.id},
                  {"token", term_}});
    }
}

// Returns nothing if the worker has no valid ticket for the run, which is then requested.
std::optional<start_order> controller::startOrderOf(const worker_state &worker,
                                                    const assignment &run)
{
    const auto &task = run.task;
    const auto &job = *state_.findJob(task.job);
    // All members of a gang resume from the same checkpoint: the greatest by name.
    std::string checkpoint = job.taskOf(task).checkpoint;
    if (job.spec.steps[task.step].gang) {
        checkpoint.clear();
        for (const auto &member : job.stepOf(task).tasks)
            checkpoint = std::max(checkpoint, member.checkpoint);
    }
    std::string ticketText;
    if (job.source.adviceValidMs > 0) {
        const auto *cached = advice_.find(stepOf(task), worker.report.id, run.incarnation,
                                          worker.lastHeartbeat);
        if (cached == nullptr) {
            missingTickets_.insert({stepOf(task), worker.report.id});
            return std::nullopt;
        }
        ticketText = *cached;
    }
    return start_order {task, run.run, job.spec.payload, std::move(checkpoint),
                        std::move(ticketText)};
}

// Gives up a run that was placed but no longer fits, so that it is placed elsewhere.
void controller::withholdStart(const worker_state &worker, const assignment &run,
                               std::string_view why)
{
    requestStop(run.task, run.run, worker.report.id);
    logEvent("task.moved",
             {{"job", run.task.job},
              {"task", nameOf(run.task)},
              {"run", run.run},
              {"worker", worker.report.id},
              {"why", why},
              {"accelerators", worker.report.capacity.accelerators}});
}

// Keeps the resources of runs that the ledger has given up until the worker has listed their ends,
// or a stop must have ended.
void controller::updateResidual(worker_state &worker, time_point now) const
{
    const auto &report = worker.report;
    std::erase_if(worker.residual, [now](const auto &item) { return item.second.until <= now; });
    for (const auto &row : report.ended)
        worker.residual.erase({row.task, row.run});
    for (const auto &row : report.running) {
        if (isExpected(worker, row))
            continue;
        // What a task takes that no job has any more isn't known.
        const auto taken = state_.hasTask(row.task)
                ? state_.findJob(row.task.job)->spec.steps[row.task.step].charged()
                : report.capacity;
        worker.residual[{row.task, row.run}] = {taken, now + options_.missingRunLimit};
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
