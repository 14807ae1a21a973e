#pragma once

#include "attempts.h"
#include "context.h"
#include "membership.h"
#include "orders.h"

#include <deque>
#include <map>
#include <set>

namespace persimmon::control {

// Job controller. Advances jobs according to the ledger's state, task reports and placement
// decisions. At most one command about the attempt of a job is in flight. The job is re-evaluated
// after the reply and periodically, so a lost reply only delays it.
class jobs : public membership::listener
{
public:
    jobs(context &shared, membership &members, view &upstreamView);

    void reset();

    // Tracks the open jobs of the ledger and publishes the orders of their attempts.
    void loadOpenJobs();

    // Passes the workers, the tables and all open jobs to placement, and starts to place jobs.
    void start();
    bool started() const { return started_; }

    void submit(const std::string &key, const job_spec &spec, coordinator::completion<job_id> done);
    void cancel(job_id id, coordinator::completion<std::monostate> done);
    void report(const std::vector<task_report> &reports);
    void tablesChanged();
    void tick();

    void upstreamJoined(const announcement &value) override;
    void upstreamLeaving(const std::string &id) override;
    void upstreamGone(const std::string &id) override;

    std::vector<std::string> quarantined() const;
    std::size_t waitingJobs() const;
    std::size_t runningJobs() const;

private:
    // Soft state of one tracked job.
    struct tracked
    {
        bool registered = false; // the job has been passed to placement
        bool placed = false; // placement counts the job as placed
        bool cancelSent = false; // placement was notified of the end, or ended the job itself
        bool commandPending = false; // a command is in flight
        std::uint32_t placementAttempt = 0; // number of the attempt in placement
        std::optional<grant_attempt> grant; // to be committed
        std::optional<attempt_progress::stop_request> stopRequest; // for the open or next attempt
        std::optional<end_job> end; // to be committed
        std::optional<attempt_progress> progress; // of the open attempt
        std::vector<std::string> workers; // of the open attempt
        std::optional<task_action> publishedAction; // of the orders; empty: orders are out of date
        std::pair<job_state, std::uint32_t> lastState {}; // state and attempt at the last advance
    };

    void step(const placement::event &input);
    void handle(const placement::place_job &action);
    void handle(const placement::preempt_job &action);
    void handle(const placement::stop_job &action);
    void handle(const placement::end_job &action);
    void handle(const placement::job_waits &action);
    void handle(const placement::worker_quarantined &action);
    void handle(const placement::worker_readmitted &action);

    void track(job_id id);
    void advance(job_id id);
    bool advanceOnce(const job_entry &entry, tracked &job);
    bool openAttempt(const job_entry &entry, tracked &job);
    bool closeAttempt(const job_entry &entry, tracked &job);
    void publishOrders(const job_entry &entry, tracked &job);
    void advanceOpen(const job_entry &entry, tracked &job);
    bool advanceWaiting(const job_entry &entry, tracked &job);
    void untrackEnded(const job_entry &entry, tracked &job);
    std::optional<command_body> nextCommand(const job_entry &entry, const tracked &job) const;
    bool checkGrant(tracked &job, job_id id);
    void propose(job_id id, tracked &job, const command_body &body);
    void advanceJobsOn(const std::string &worker);
    void advanceDue();
    void reconcile();
    void recordWait(job_id id, wait_reason reason, job_id behind, const std::string &detail);
    void commitRecords();
    void trim();

    context &shared_;
    membership &members_;
    order_index orders_;
    bool started_ = false;
    bool stepping_ = false;
    std::deque<placement::event> events_;
    // Ends of refused placements. Passed to placement in the next tick, because placement could
    // otherwise repeat a refused placement endlessly within one call.
    std::vector<placement::attempt_ended> deferredEnds_;
    std::map<job_id, tracked> tracked_;
    std::map<std::string, std::set<job_id>> jobsByWorker_;
    std::set<job_id> dueJobs_; // to be advanced in the next tick
    std::set<std::string> quarantined_;
    std::map<job_id, decision_record> pendingWaits_; // uncommitted changes of the wait reason
    bool recordsProposed_ = false;
    bool trimProposed_ = false;
    time_point nextReconcile_;
    // All jobs have been advanced after the first upstream lease of the term.
    bool leasesChecked_ = false;
    time_point nextRecords_;
    time_point nextTrim_;
};

} // namespace persimmon::control
