#pragma once

#include "base/clock.h"
#include "batch/ledger.h"
#include "batch/pacer.h"
#include "batch/scheduler.h"
#include "batch/worker.h"

#include <deque>
#include <functional>
#include <memory>
#include <set>

namespace persimmon::batch {

struct controller_options
{
    milliseconds lease {5000}; // of what a worker runs
    milliseconds retry {250}; // between heartbeats, with few workers
    milliseconds busyRetry {100}; // while orders or waiting tasks are expected
    milliseconds retryPerWorker {1}; // both grow with the number of workers, up to maxRetry
    milliseconds maxRetry {1000};
    milliseconds checkpointEvery {1000}; // work between two checkpoints
    // A gang with an order unsent for this time, and a heartbeat period on top, is stopped; members
    // wait for each other no longer than the longest.
    milliseconds unsentLimit {1100};
    milliseconds maxUnsentLimit {2200};
    milliseconds stallLimit {2500}; // a run without progress for this time is moved
    milliseconds quarantine {6000}; // of a worker that failed two jobs in a row
    milliseconds keepEnded {300000}; // jobs are known for this time after their end
    milliseconds keepGone {60000}; // workers are known for this time after their last heartbeat
    milliseconds leaderLease {1000}; // an earlier leader may still have extended leases
    milliseconds missingLimit {1600}; // a run in no list for this time was never started; longer
                                      // than a stop takes, while which a run is in no list
};

// Replicates a command; the callback runs after it is applied or has failed.
using propose_function = std::function<void(const command &, std::function<void(status)>)>;

// Leader's side of the workers: takes their reports, orders starts and stops, and notices lost
// workers. All orders follow from the ledger; a new leader needs no handover. All calls belong to
// one thread.
class controller
{
public:
    using orders_callback = std::function<void(result<worker_orders>)>;

    controller(const ledger &state, controller_options options, propose_function propose);

    // Starts to lead in a term. Everything known of workers is dropped, because reports may have
    // gone to another leader.
    void beginTerm(std::uint64_t term, time_point now);

    // Stops to lead: heartbeats fail with NotLeader.
    void endTerm();

    // Sets how the advice service is asked; without it, queues that need advice wait.
    void adviseBy(ask_function ask) { ask_ = std::move(ask); }

    bool leading() const { return term_ != 0; }

    // Takes one heartbeat. The answer comes after the reported ends are durable. Fails with
    // NotLeader, or the error of the commit.
    void heartbeat(time_point now, std::int64_t wallMs, const worker_report &report,
                   const orders_callback &done);

    // Takes the farewell of a worker that has left.
    void leave(time_point now, const std::string &worker);

    // Notices expired leases and stalled runs, and schedules. Call it every 20 ms.
    void tick(time_point now, std::int64_t wallMs);

    // Schedules in the next tick instead of after the usual pause.
    void wake() { dirty_ = true; }

    // What is known of the newest worker on a machine.
    struct machine_view
    {
        std::string worker; // empty: none has been heard
        std::int64_t born = 0;
        bool heard = false; // recently
        time_point heardAt {};
        bool draining = false;
        std::size_t runs = 0; // ordered and not known to have ended
        double lostSeconds = 0; // core seconds that stopping all of them would throw away
    };

    // Returns the newest workers of the machines that have been heard, by machine.
    std::map<std::string, machine_view> viewMachines(time_point now) const;

    // Sets the machines whose workers take no new tasks.
    void closeMachines(std::set<std::string> machines);

    // Orders all runs of a worker to stop, but for those that a disruption budget protects.
    void evacuate(const std::string &worker);

    std::size_t workerCount() const { return workers_.size(); }

private:
    struct run_watch
    {
        std::uint32_t run = 0;
        time_point started {};
        time_point moved {}; // when the percent last changed
        std::uint32_t percent = 0;
        std::string saved;
    };

    struct worker_state
    {
        worker_report report;
        time_point firstHeard {};
        time_point heard {};
        time_point nextHeartbeat {}; // expected
        std::int64_t clockOffsetMs = 0; // our clock less the worker's, at the least
        bool confirmed = false; // its newest heartbeat was not held up on its way
        time_point closedUntil {}; // quarantined
        std::set<std::string> failedJobs; // since the last success
        bool everDone = false;
        std::optional<time_point> left;
        std::map<task_id, run_watch> runs;
        std::map<task_id, std::pair<std::uint32_t, time_point>> missing; // run, and since when
        pacer pace;
        bool paced = false; // a lower pace was ordered
    };

    using run_key = std::pair<task_id, std::uint32_t>;

    bool isAtWork(const task_id &task) const;
    bool isSilent(const worker_state &known, time_point now) const;
    bool isUsable(const worker_state &known, time_point now) const;
    bool isStale(const worker_state &known, const worker_report &report) const;
    bool isLate(const worker_state &known, const worker_report &report, time_point now) const;
    void noteClock(worker_state &known, time_point now, std::int64_t wallMs, bool first) const;
    void noteAddress(const worker_report &report, time_point now);
    std::vector<run_end> readEnds(worker_state &known, time_point now);
    void noteRunning(worker_state &known, time_point now);
    void noteMissing(worker_state &known, time_point now, std::vector<run_end> &ends) const;
    void noteEnd(worker_state &known, const ended_task &row, time_point now);
    milliseconds heartbeatPeriod(bool busy) const;
    worker_orders ordersFor(worker_state &known);
    void addStarts(const worker_state &known, worker_orders &orders);
    void addPaces(worker_state &known, worker_orders &orders) const;
    void notePace(worker_state &known, time_point now) const;
    bool isTornGang(const job_record &job, const task_id &task) const;
    bool shouldStop(const worker_state &known, const task_id &task, std::uint32_t run) const;
    void commitEnds(std::vector<run_end> ends, std::int64_t wallMs,
                    std::function<void(status)> done);
    void expireLeases(time_point now, std::int64_t wallMs);
    void findStalled(time_point now);
    void stopWaitingGangs(time_point now);
    void stopDraining(const worker_state &known);
    void schedule(time_point now, std::int64_t wallMs);
    void proposeStarts(std::vector<assignment> runs, time_point now, std::int64_t wallMs);
    void logWaits(const std::vector<unit_wait> &waits, std::int64_t wallMs);
    void askAdvice(time_point now, std::vector<advice_want> wants);
    void ask(time_point now, const step_key &step, const std::vector<advised_worker> &asked,
             milliseconds valid);
    void forgetOld(time_point now, std::int64_t wallMs);
    void forgetGone(time_point now);
    std::vector<worker_view> viewWorkers(time_point now) const;

    const ledger &state_;
    controller_options options_;
    propose_function propose_;
    scheduler scheduler_;
    std::uint64_t term_ = 0; // 0: not leading
    time_point since_ {};
    std::map<std::string, worker_state> workers_;
    std::map<std::string, std::string> byAddress_; // newest worker at each address
    std::set<std::string> closedMachines_;
    std::set<run_key> stopping_; // runs ordered to stop to make room or to move them
    std::set<task_id> ending_; // ends of lost workers that are being committed
    std::map<run_key, time_point> unsent_; // placed by this leader, no order sent yet
    std::map<task_id, wait_cause> loggedWaits_;
    ask_function ask_;
    advice_book advice_;
    std::set<std::pair<step_key, std::string>> missingTickets_; // of placed runs, by worker
    bool asking_ = false;
    time_point nextAsk_ {};
    bool dirty_ = false;
    bool committing_ = false; // starts are being committed
    bool undecided_ = false; // a failed commit may still take effect
    bool waiting_ = false; // tasks wait for a worker
    time_point nextPass_ {};
    std::int64_t lastForgetMs_ = 0;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace persimmon::batch
