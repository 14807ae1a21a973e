#pragma once

#include "attempts.h"
#include "context.h"
#include "membership.h"
#include "orders.h"

#include <deque>
#include <map>
#include <set>

namespace persimmon::control {

// Drives jobs from the ledger's state, the reports of workers and the decisions of placement. Each
// job has at most one command about its attempt on the way; after its reply the job is looked at
// again, so a lost reply only delays it.
class jobs : public membership::listener
{
public:
    jobs(context &shared, membership &members, view &shown);

    void reset();

    // Takes over the open jobs of the ledger and shows the orders of their attempts.
    void adopt();

    // Tells placement about the workers, the tables and all open jobs, and starts to place.
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
    // Soft state of one open job.
    struct tracked
    {
        bool known = false; // placement was told about the job
        bool placed = false; // placement counts the job as placed
        bool cancelTold = false;
        bool proposed = false; // a command is on the way
        std::uint32_t placementAttempt = 0; // placement's own number of the attempt
        std::optional<grant_attempt> grant; // to be committed
        std::optional<attempt_progress::stop_wish> wish; // to stop the open or next attempt
        std::optional<end_job> end; // to be committed
        std::optional<attempt_progress> progress; // of the open attempt
        std::vector<std::string> workers; // of the open attempt
        std::optional<task_action> shown; // by the orders; empty when they must be built again
        std::pair<job_state, std::uint32_t> seen {}; // state and attempt when last looked at
    };

    void step(const placement::event &input);
    void take(const placement::place_job &action);
    void take(const placement::preempt_job &action);
    void take(const placement::stop_job &action);
    void take(const placement::end_job &action);
    void take(const placement::job_waits &action);
    void take(const placement::worker_quarantined &action);
    void take(const placement::worker_readmitted &action);

    void track(job_id id);
    void advance(job_id id);
    bool advanceOnce(const job_entry &entry, tracked &job);
    bool openAttempt(const job_entry &entry, tracked &job);
    bool closeAttempt(const job_entry &entry, tracked &job);
    void showOrders(const job_entry &entry, tracked &job);
    void advanceOpen(const job_entry &entry, tracked &job);
    bool advanceWaiting(const job_entry &entry, tracked &job);
    void endTerminal(const job_entry &entry, tracked &job);
    std::optional<command_body> nextCommand(const job_entry &entry, const tracked &job) const;
    bool checkGrant(tracked &job, job_id id);
    void propose(job_id id, tracked &job, const command_body &body);
    void concern(const std::string &worker);
    void advanceDue();
    void reconcile();
    void noteWait(job_id id, wait_reason reason, job_id behind, const std::string &detail);
    void commitRecords();
    void trim();

    context &shared_;
    membership &members_;
    order_book orders_;
    bool started_ = false;
    bool stepping_ = false;
    std::deque<placement::event> events_;
    // Refused placements, told in the next tick so that placement can't repeat them without end.
    std::vector<placement::attempt_ended> deferred_;
    std::map<job_id, tracked> tracked_;
    std::map<std::string, std::set<job_id>> byWorker_;
    std::set<job_id> due_; // to look at in the next tick
    std::set<std::string> quarantined_;
    std::map<job_id, decision_record> waits_; // changes of the reason, not committed yet
    bool recordsProposed_ = false;
    bool trimProposed_ = false;
    time_point nextReconcile_;
    bool leasesChecked_ = false; // after the first upstream lease of the term
    time_point nextRecords_;
    time_point nextTrim_;
};

} // namespace persimmon::control
