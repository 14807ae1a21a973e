#pragma once

#include "base/clock.h"
#include "base/model.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

// Placement decisions as a pure state machine: timestamped events in, actions out. It performs no
// I/O and reads no clock.
namespace persimmon::placement {

struct scheduler_options
{
    // Strategy of pools that are missing from the tables: first_fit, best_fit, buddy, or
    // fifo_first_fit (benchmark baseline: strict order of arrival, no guarantees). An unknown name
    // selects buddy.
    std::string strategy = "buddy";
    double completionWeight = 0.5;
    double fragmentationWeight = 0.5;
    milliseconds checkpointDeadline {2000};
    milliseconds reservationDelay {30000}; // waiting time before a large gang gets a reservation
    std::uint32_t quarantineThreshold = 3; // early failures of distinct jobs on a worker
    std::uint32_t maxFailedWorkers = 3; // distinct healthy workers a job may fail on
    milliseconds earlyFailureWindow {10000}; // run time within which a failure counts as early
    milliseconds initialQuarantine {60000}; // first period; doubles with each failed probe
};

// A worker joined or rejoined with a new incarnation.
struct worker_joined
{
    std::string worker;
    std::string pool;
    location place;
    resources capacity;
};

struct worker_left
{
    std::string worker;
};

// A worker announced that it is leaving: it accepts no new tasks, and its running tasks continue.
struct worker_leaving
{
    std::string worker;
};

struct tables_changed
{
    std::vector<pool> pools;
    std::vector<workspace> workspaces;
};

struct job_submitted
{
    job_id job {};
    job_spec spec;
};

// A job that is recorded as placed in the ledger; sent when a new leader rebuilds its state.
struct job_restored
{
    job_id job {};
    job_spec spec;
    std::uint32_t attempt = 0;
    std::vector<std::string> workers; // one per task
    bool released = false;
};

struct job_cancelled
{
    job_id job {};
};

enum class attempt_end : std::uint8_t {
    Completed, // all tasks are done
    TaskFailed, // a task failed on its worker
    WorkerLost, // a worker of the gang left or its lease expired
    Preempted, // stopped for another job, after its checkpoint or at the deadline
    Cancelled,
};

// The attempt has ended on all its workers; its accelerators are free.
struct attempt_ended
{
    job_id job {};
    std::uint32_t attempt = 0;
    attempt_end how = attempt_end::Completed;
    std::string worker; // the lost worker, or the one of the failed task
    bool mayHaveRun = true; // false: stopped before its release, so that any job may be retried
};

struct clock_ticked
{
};

using event = std::variant<worker_joined, worker_left, worker_leaving, tables_changed,
                           job_submitted, job_restored, job_cancelled, attempt_ended, clock_ticked>;

// Starts all tasks of a job; task i runs on workers[i].
struct place_job
{
    job_id job {};
    std::uint32_t attempt = 0;
    std::vector<std::string> workers;
    bool borrowed = false; // uses accelerators of another workspace's guarantee
    std::string reason;
};

// Stops a running attempt after its checkpoint, at the latest at the deadline.
struct preempt_job
{
    job_id job {};
    std::uint32_t attempt = 0;
    job_id forJob {};
    milliseconds deadline {0};
};

// Stops an attempt of a cancelled job, without a checkpoint deadline.
struct stop_job
{
    job_id job {};
    std::uint32_t attempt = 0;
};

// Ends a job without a result: ShapeImpossible, QuotaExceeded, CannotRun, Cancelled, or
// OutcomeUnknown for a job that is not repeatable and was lost after it may have run.
struct end_job
{
    job_id job {};
    result_code code = result_code::CannotRun;
    std::string detail;
};

// The job waits; sent once per change of the reason.
struct job_waits
{
    job_id job {};
    wait_reason reason = wait_reason::None;
    job_id behind {}; // job that holds the reservation or is being preempted
    std::string detail; // condition under which it starts
};

struct worker_quarantined
{
    std::string worker;
    milliseconds duration {0};
};

struct worker_readmitted
{
    std::string worker;
};

using action = std::variant<place_job, preempt_job, stop_job, end_job, job_waits,
                            worker_quarantined, worker_readmitted>;

// Totals of one pool.
struct pool_usage
{
    std::string pool;
    std::uint32_t workers = 0;
    std::uint32_t accelerators = 0;
    std::uint32_t used = 0;
    std::uint32_t borrowed = 0;
};

// Totals of one workspace.
struct workspace_usage
{
    std::string workspace;
    std::uint32_t guaranteed = 0;
    std::uint32_t used = 0;
    std::uint32_t borrowed = 0; // used outside its guarantee, on accelerators of other guarantees
    std::uint32_t lent = 0; // its guaranteed accelerators that other workspaces use
    std::uint32_t waitingJobs = 0;
};

// Decides when and where jobs run. Deterministic: equal sequences of events give equal actions.
class scheduler
{
public:
    static std::unique_ptr<scheduler> create(const scheduler_options &options);

    virtual ~scheduler() = default;

    virtual std::vector<action> step(time_point now, const event &input) = 0;

    // Checks that all guarantees can be bound at the same time to the healthy workers present.
    // Fails with GuaranteeUnbindable and the shapes that don't fit. Passes when no worker is
    // present.
    virtual status validate(std::span<const pool> pools,
                            std::span<const workspace> workspaces) const = 0;

    virtual std::vector<pool_usage> poolUsage() const = 0;
    virtual std::vector<workspace_usage> workspaceUsage() const = 0;

    // Estimated memory of the state in bytes; 0 if unknown.
    virtual std::size_t stateBytes() const { return 0; }
};

} // namespace persimmon::placement
