#pragma once

#include "base/clock.h"
#include "batch/hold_policy.h"
#include "batch/interference.h"
#include "batch/latency_stage.h"
#include "batch/ledger.h"
#include "batch/loss_attribution.h"
#include "batch/pacer.h"
#include "batch/scheduler.h"
#include "batch/stall_watch.h"
#include "batch/worker.h"

#include <deque>
#include <functional>
#include <memory>
#include <set>

namespace persimmon::batch {

struct controller_options
{
    milliseconds lease {5000}; // lease of the runs on a worker
    milliseconds idleHeartbeatPeriod {250}; // with few workers and no pending work
    milliseconds busyHeartbeatPeriod {100}; // while orders or waiting tasks are expected
    // Both periods grow with the number of workers, up to maxHeartbeatPeriod. Until then the leader
    // takes about 4,000 heartbeats a second at most, beyond it more with each worker.
    std::chrono::microseconds heartbeatPeriodPerWorker {250};
    hold_limits hold; // of answers that need no orders
    milliseconds maxHeartbeatPeriod {1000};
    milliseconds checkpointPeriod {1000}; // work between two checkpoints
    // A gang is stopped if one of its start orders stays unsent for unsentLimit plus one heartbeat
    // period, but at most for maxUnsentLimit. Gang members wait for each other no longer than
    // maxUnsentLimit.
    milliseconds unsentLimit {1100};
    milliseconds maxUnsentLimit {2200};
    // A run without progress for this time, or for the time of five percent of it if that is
    // longer, is moved.
    milliseconds stallLimit {2500};
    milliseconds quarantine {6000}; // of a worker on which two jobs in a row have failed
    milliseconds endedJobRetention {300000}; // retention of jobs after their end
    milliseconds goneWorkerRetention {60000}; // retention of workers after their last heartbeat
    // A run that its worker doesn't list for this time was never started. Runs that are being
    // stopped aren't listed either, so the limit is longer than a stop takes.
    milliseconds missingRunLimit {1600};
};

// Replicates a command. The callback runs after the command was applied, with its outcome there, or
// after its commit has failed.
using propose_function = std::function<void(const command &, std::function<void(status)>)>;

// Controls the workers on the leader: handles their heartbeats, orders starts and stops, and
// detects lost workers. All orders are derived from the ledger, so a new leader needs no state from
// the previous one. Not thread-safe: all calls must come from one thread.
class controller
{
public:
    using orders_callback = std::function<void(result<worker_orders>)>;
    using orders_ready_function = std::function<void(const std::string &worker, worker_orders)>;

    controller(const ledger &state, controller_options options, propose_function propose);

    // Begins leadership in a term. Drops all worker state, because another leader may have received
    // newer reports in the meantime.
    void beginTerm(std::uint64_t term, time_point now);

    // Ends leadership. Heartbeats fail with NotLeader from then on.
    void endTerm();

    // Sets the function that requests advice from the advice service. Without it, jobs of queues
    // that need advice wait.
    void setAdviceFunction(advice_request_function request) { requestAdvice_ = std::move(request); }

    bool isLeading() const { return term_ != 0; }

    // Returns the term in which this node leads, or 0.
    std::uint64_t term() const { return term_; }

    // Returns whether the last pass left work of priority 0 without a worker.
    bool hasWaitingUrgentWork() const { return hasWaitingUrgentUnits_; }

    // Sets the function that tells whether this leader may still act. It is asked before orders are
    // sent after a commit, because the process may have been paused meanwhile.
    void setPermission(std::function<bool()> mayAct) { mayAct_ = std::move(mayAct); }

    // Sets the function that is called with orders for a worker whose answer is held.
    void onOrdersReady(orders_ready_function ready) { ordersReady_ = std::move(ready); }

    // Sets the function that receives the durations of the stages that this class observes.
    void onLatency(latency_observer observer) { observeLatency_ = std::move(observer); }

    // Sets the function that is told of work that has to be done again.
    void onDiscardedWork(discard_observer observer) { observeDiscarded_ = std::move(observer); }

    // Handles a heartbeat. The callback runs after the reported ends are committed. Fails with
    // NotLeader or with the error of the commit. Orders with a `holdMs` may be held for that time;
    // orders that become ready meanwhile replace them. A heartbeat that is repeated, because its
    // answer was lost, gets an answer of its own: the lease is counted from the newest copy, and
    // neither a repeated start nor a repeated end has an effect.
    void heartbeat(time_point now, std::int64_t wallMs, const worker_report &report,
                   const orders_callback &done, answer_mode mode = answer_mode::Immediate);

    // Records that a worker has announced its departure. One of an earlier incarnation, which may
    // arrive late, has no effect.
    void handleDeparture(time_point now, const worker_departure &departure);

    // Detects expired leases and stalled runs, and runs scheduling passes. Must be called every
    // 20 ms.
    void tick(time_point now, std::int64_t wallMs);

    // Requests a scheduling pass in the next tick instead of after the regular interval.
    void requestPass() { passRequested_ = true; }

    // Sends stop orders for the active runs of a job that has ended.
    void stopJob(const std::string &id);

    // State of the newest worker on a machine.
    struct machine_status
    {
        std::string worker; // empty if no heartbeat was received
        std::int64_t incarnation = 0;
        bool responsive = false; // the last heartbeat isn't overdue and the worker hasn't left
        time_point lastHeartbeat {};
        bool draining = false;
        std::size_t runs = 0; // ordered and not yet reported as ended
        double lostSeconds = 0; // core seconds of work lost if all runs were stopped
    };

    // Returns the state of the newest worker on each machine that has sent a heartbeat, by machine.
    std::map<std::string, machine_status> machineStatuses(time_point now) const;

    // Use of an availability zone by this leader's knowledge.
    struct zone_use
    {
        std::size_t workers = 0; // that have not left
        std::size_t runs = 0; // active ones of all workers that were heard
    };

    zone_use zoneUse(std::string_view zone) const;

    // Returns the use of all availability zones that workers have reported, by name.
    std::map<std::string, zone_use> zoneUses() const;

    // Returns whether this leader has led for long enough to have heard all workers that hold a
    // lease.
    bool hasHeardFleet() const;

    // Returns why units of a job wait for a worker now. The work is that of a scheduling pass.
    std::vector<stall_cause> waitsOf(const std::string &job) const;

    // Sets the machines whose workers get no new tasks.
    void cordonMachines(std::set<std::string> machines);

    // Stops all runs of a worker, except those protected by a disruption budget.
    void vacate(const std::string &worker);

    // Returns the number of open jobs of a queue of which no run has begun on a worker: those that
    // wait, and those whose runs no worker has listed yet.
    std::size_t waitingJobs(const queue &at) const;

    std::size_t workerCount() const { return workers_.size(); }

    // Stalled jobs, as of the last tick.
    const stall_watch &stalls() const { return stalls_; }

    // How many pairs of kinds of task are known to slow each other down.
    interference_counts interferenceCounts() const { return interference_.counts(); }

private:
    struct tracked_run
    {
        std::uint32_t run = 0;
        time_point started {}; // first report of the run to this leader
        std::uint32_t firstPercent = 0; // in that report
        time_point lastProgress {}; // when the percentage last changed
        std::uint32_t percent = 0;
        std::string checkpoint;
        time_point saved {}; // when the checkpoint last changed, or the first report
        std::optional<kind_index> kind; // nothing if it isn't told apart
        bool serves = false; // its tail latency tells how it fares, not its progress
        run_history history; // for the model of interference
    };

    struct held_answer
    {
        time_point until {};
        std::optional<std::uint64_t> ackedUpTo;
    };

    // A run that has ended in the ledger but may still take resources of its worker, because the
    // worker lists it or is stopping it.
    struct residual_run
    {
        amount taken;
        time_point until {}; // a stop ends before
    };

    // Successive heartbeats that were refused because they seemed to be delayed in transit.
    struct refused_series
    {
        time_point since {}; // arrival of the first one
        time_point newest {}; // arrival of the newest one
        std::uint64_t sequence = 0; // of the newest one
        std::int64_t clockMs = 0; // of the newest one
    };

    // Incarnation of a worker that was followed by a newer one.
    struct earlier_incarnation
    {
        time_point lastHeartbeat {};
        bool leaving = false; // it was draining or had announced its departure
        std::map<task_id, tracked_run> runs; // as last reported
    };

    struct worker_state
    {
        worker_report report;
        time_point firstHeartbeat {};
        time_point lastHeartbeat {};
        time_point nextHeartbeat {}; // expected time
        std::int64_t clockOffsetMs = 0; // smallest observed leader clock minus worker clock
        bool clockConfirmed = false; // the newest heartbeat was not delayed in transit
        time_point quarantinedUntil {};
        std::set<std::string> failedJobs; // since the last run that succeeded
        std::optional<time_point> lastDone; // newest success
        std::optional<time_point> leftAt;
        bool mayHaveLeft = false; // a departure that may be an earlier incarnation's has arrived
        bool replaced = false; // it left because a newer worker has reported from its address
        std::optional<earlier_incarnation> earlier;
        std::map<task_id, tracked_run> runs;
        std::map<run_key, residual_run> residual;
        // Runs that the worker doesn't list: the run number, and since when.
        std::map<task_id, std::pair<std::uint32_t, time_point>> missing;
        pacer pace;
        bool paceReduced = false; // a pace below 100 % was ordered
        std::optional<held_answer> held; // of the newest heartbeat
        std::optional<refused_series> refused; // since the newest heartbeat
    };

    bool isAvailable(const task_id &task) const;
    static bool isGone(const worker_state &worker, time_point now);
    static bool isLeaving(const worker_state &worker, time_point now);
    std::optional<end_kind> expiryOf(const assignment &run, const worker_state *worker,
                                     time_point now) const;
    bool isHeartbeatOverdue(const worker_state &worker, time_point now) const;
    bool isSchedulable(const worker_state &worker, time_point now) const;
    bool isStale(const worker_state &worker, const worker_report &report) const;
    std::optional<worker_orders> refuse(const worker_report &report, time_point now);
    worker_state &recordHeartbeat(time_point now, std::int64_t wallMs, const worker_report &report);
    void resetTermState();
    bool isFromBeforeDeparture(const worker_state &worker, const worker_report &report) const;
    bool isLate(const worker_state &worker, const worker_report &report, time_point now) const;
    static bool hasAnsweredRefusals(worker_state &worker, const worker_report &report,
                                    time_point now);
    void updateClockOffset(worker_state &worker, time_point now, std::int64_t wallMs,
                           bool first) const;
    void updateAddress(const worker_report &report, time_point now, std::int64_t wallMs);
    std::vector<run_end> collectEnds(worker_state &worker, time_point now);
    void updateRunning(worker_state &worker, time_point now, std::chrono::microseconds silence);
    void observeNeighbours(worker_state &worker, std::map<task_id, tracked_run> &updated,
                           time_point now);
    std::optional<observed_run> observedRun(const worker_state &worker, const running_task &row,
                                            tracked_run &tracked, time_point now);
    void logInterference();
    void updateMissing(worker_state &worker, time_point now, std::vector<run_end> &ends) const;
    bool mayHaveBegunBefore(const job_record &job) const;
    std::vector<worker_loss> endRunsOfEarlierIncarnation(const worker_state &worker,
                                                         std::vector<run_end> &ends) const;
    worker_loss lossOf(const std::string &worker, std::vector<assignment> runs) const;
    bool mayHaveCrashedWorker(const assignment &run, const worker_loss &loss,
                              const std::map<task_id, tracked_run> &reported) const;
    void describeSuspects(worker_loss &loss, const std::map<task_id, tracked_run> &reported) const;
    std::optional<milliseconds> ageOf(const assignment &run, const worker_loss &loss,
                                      const std::map<task_id, tracked_run> &reported) const;
    std::vector<worker_loss> silentWorkers(time_point now) const;
    loss_attribution::fleet_state stateOfFleet(time_point now) const;
    void excuseLongRuns(time_point now, std::int64_t wallMs);
    void settleLosses(const worker_state &worker, bool newIncarnation, std::int64_t wallMs);
    std::vector<lost_run> settledSuspicions(const worker_state &worker, std::int64_t wallMs) const;
    void recordLosses(std::vector<lost_run> runs, std::int64_t wallMs,
                      std::function<void(status)> done);
    void commitLosses(std::vector<worker_loss> losses, std::vector<run_end> ends, time_point now,
                      std::int64_t wallMs, std::function<void(status)> done);
    void recordEnd(worker_state &worker, const ended_task &row, time_point now);
    milliseconds heartbeatPeriod(bool busy) const;
    worker_orders ordersFor(worker_state &worker);
    bool shouldEnd(const worker_state &worker, const running_task &row) const;
    void holdAnswer(worker_state &worker, worker_orders &orders);
    milliseconds holdLimit(const worker_state &worker) const;
    bool requestStop(const task_id &task, std::uint32_t run, const std::string &worker);
    void markMembers(const task_id &task);
    void sendReadyOrders();
    bool isExpected(const worker_state &worker, const running_task &row) const;
    void updateResidual(worker_state &worker, time_point now) const;
    bool isStartDue(const worker_state &worker, const assignment &run) const;
    void addStarts(const worker_state &worker, worker_orders &orders);
    std::optional<start_order> startOrderOf(const worker_state &worker, const assignment &run);
    void withholdStart(const worker_state &worker, const assignment &run, std::string_view why);
    void addPaces(worker_state &worker, worker_orders &orders) const;
    void updatePace(worker_state &worker, time_point now) const;
    void recordOrderSent(const run_key &run);
    void recordReported(const run_key &run);
    bool isIncompleteGang(const job_record &job, const task_id &task) const;
    bool shouldStop(const worker_state &worker, const task_id &task, std::uint32_t run) const;
    void commitEnds(std::vector<run_end> ends, std::int64_t wallMs,
                    std::function<void(status)> done);
    void expireLeases(time_point now, std::int64_t wallMs);
    void keepResidual(const std::string &worker, const assignment &run, time_point now);
    std::chrono::microseconds stallLimitOf(const tracked_run &run, const step_spec &spec) const;
    void findStalled(time_point now);
    void stopUnsentGangs(time_point now);
    bool isEvacuated(const std::string &worker) const;
    void logEmptiedZones(std::int64_t wallMs);
    schedule_input scheduleInput(time_point now, std::int64_t wallMs) const;
    void stopGangsOfUnheardWorkers(time_point now);
    milliseconds leaseLimit() const;
    void stopDraining(const worker_state &worker);
    void schedule(time_point now, std::int64_t wallMs);
    void proposeStarts(std::vector<assignment> runs, time_point now, std::int64_t wallMs);
    void logWaits(const std::vector<unit_wait> &waits, std::int64_t wallMs);
    std::optional<time_point> lastHeard(const assignment &run) const;
    void logStalls(const std::vector<stalled_job> &stalls, const std::vector<stall_cause> &causes,
                   time_point now) const;
    void requestMissingAdvice(time_point now, std::vector<advice_request> wants);
    void sendAdviceRequest(time_point now, const step_key &step,
                           const std::vector<worker_incarnation> &asked, milliseconds valid);
    void removeExpired(time_point now, std::int64_t wallMs);
    void removeGoneWorkers(time_point now);
    std::optional<run_progress> progressOf(const assignment &run) const;
    std::vector<worker_view> viewWorkers(time_point now) const;
    static run_forecast forecastOf(const tracked_run &run, const step_spec &spec, time_point now);
    void recordPreemption(const preemption &item);
    void recordDiscarded(discard_cause cause, const assignment &run) const;

    const ledger &state_;
    controller_options options_;
    propose_function propose_;
    scheduler scheduler_;
    stall_watch stalls_;
    loss_attribution attribution_;
    std::uint64_t term_ = 0; // 0: not leading
    time_point termStart_ {};
    std::map<std::string, worker_state> workers_;
    // By worker: runs given up before the worker was heard in this term. It may be stopping them.
    std::map<std::string, std::map<run_key, residual_run>> unheardResidual_;
    std::map<std::string, std::string> byAddress_; // newest worker at each address
    std::set<std::string> cordonedMachines_;
    std::function<bool()> mayAct_ = [] { return true; };
    orders_ready_function ordersReady_ = [](const std::string &, const worker_orders &) {};
    time_point now_ {}; // time of the newest heartbeat or tick
    std::set<std::string> ordersDue_; // workers for which orders may have become ready
    std::set<run_key> stopping_; // runs being stopped for preemption or relocation
    std::set<run_key> settling_; // lost runs of which more is known than is committed
    std::set<task_id> committingEnds_; // tasks of lost workers whose ends are being committed
    std::map<run_key, time_point> unsentOrders_; // placed by this leader, start order not sent yet
    std::map<run_key, time_point> sentOrders_; // start order sent, run not reported yet
    latency_observer observeLatency_ = [](latency_stage, std::chrono::microseconds) {};
    std::map<task_id, wait_cause> loggedWaits_;
    advice_request_function requestAdvice_;
    advice_cache advice_;
    // Steps and workers of placed runs that have no valid ticket.
    std::set<std::pair<step_key, std::string>> missingTickets_;
    bool adviceRequestInFlight_ = false;
    time_point nextAdviceRequest_ {};
    bool passRequested_ = false;
    bool committing_ = false; // starts or a barrier are being committed
    bool commitOutcomeUnknown_ = false; // a failed commit may still take effect
    bool hasWaitingUnits_ = false; // tasks are waiting for a worker
    bool hasWaitingUrgentUnits_ = false;
    time_point nextPass_ {};
    std::int64_t lastCleanupMs_ = 0;
    std::set<std::string> begunJobs_; // listed in this term; the ledger doesn't know of a run yet
    std::set<std::string> emptiedZones_; // evacuated, and nothing runs there any more
    std::int64_t wallMs_ = 0; // of the newest tick
    interference_model interference_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
    discard_observer observeDiscarded_ = [](const discarded_work &) {};
};

} // namespace persimmon::batch
