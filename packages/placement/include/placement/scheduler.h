#pragma once

#include "base/clock.h"
#include "base/model.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

// Pure placement decisions: events with their time go in, actions come out. No I/O, no clock.
namespace persimmon::placement {

struct scheduler_options
{
    // Of pools that the tables don't name: first_fit, best_fit, buddy, or fifo_first_fit (baseline
    // of the bench: strict order of arrival, no guarantees). Unknown names mean buddy.
    std::string strategy = "buddy";
    double completionWeight = 0.5;
    double fragmentationWeight = 0.5;
    milliseconds checkpointDeadline {2000};
    milliseconds reservationDelay {30000}; // wait after which a large gang gets a reservation
    std::uint32_t quarantineFailures = 3; // early failures of distinct jobs on one worker
    std::uint32_t jobFailures = 3; // failures on distinct healthy workers
    milliseconds earlyFailure {10000}; // a failure within this run time counts as early
    milliseconds quarantineTime {60000}; // first wait before a probe; doubles with each failure
};

// A worker joined or came back with a new incarnation.
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

// A worker accepts no new tasks but keeps what runs (it announced that it is leaving).
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

// A job that the ledger shows as placed; used when a new leader rebuilds its view.
struct job_restored
{
    job_id job {};
    job_spec spec;
    std::uint32_t attempt = 0;
    std::vector<std::string> workers; // one for each task
    bool released = false;
};

struct job_cancelled
{
    job_id job {};
};

enum class attempt_end : std::uint8_t {
    Completed, // all tasks are done
    TaskFailed, // a task failed on its worker by itself
    WorkerLost, // a worker of the gang left or let its lease expire
    Preempted, // stopped for another job, after a checkpoint or at the deadline
    Cancelled,
};

// The attempt has ended on all its workers and its accelerators are free.
struct attempt_ended
{
    job_id job {};
    std::uint32_t attempt = 0;
    attempt_end how = attempt_end::Completed;
    std::string worker; // of the failed task or the lost worker
    bool mayHaveRun = true; // false: stopped before its release; any job may start again
};

struct clock_ticked
{
};

using event = std::variant<worker_joined, worker_left, worker_leaving, tables_changed,
                           job_submitted, job_restored, job_cancelled, attempt_ended, clock_ticked>;

// Place all tasks of a job; task i runs on workers[i].
struct place_job
{
    job_id job {};
    std::uint32_t attempt = 0;
    std::vector<std::string> workers;
    bool borrowed = false; // uses accelerators that back another workspace's guarantee
    std::string reason;
};

// Stop a running attempt: checkpoint, then stop at the deadline.
struct preempt_job
{
    job_id job {};
    std::uint32_t attempt = 0;
    job_id forJob {};
    milliseconds deadline {0};
};

// Stop an attempt without a checkpoint deadline because the job was cancelled.
struct stop_job
{
    job_id job {};
    std::uint32_t attempt = 0;
};

// The job is over without a result: ShapeImpossible, QuotaExceeded, CannotRun, Cancelled, or
// OutcomeUnknown for a job that is not repeatable and was lost after it may have run.
struct end_job
{
    job_id job {};
    result_code code = result_code::CannotRun;
    std::string detail;
};

// The job waits; sent once for each change of the reason.
struct job_waits
{
    job_id job {};
    wait_reason reason = wait_reason::None;
    job_id behind {}; // job that holds the reservation or is being preempted
    std::string detail; // what would let it start
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
    std::uint32_t borrowed = 0; // used beyond its guarantee, on accelerators of other guarantees
    std::uint32_t lent = 0; // its guaranteed accelerators used by others
    std::uint32_t waitingJobs = 0;
};

// Decides which job runs where. Deterministic: equal events give equal actions.
class scheduler
{
public:
    static std::unique_ptr<scheduler> create(const scheduler_options &options);

    virtual ~scheduler() = default;

    virtual std::vector<action> step(time_point now, const event &input) = 0;

    // Checks that all guarantees can be bound at once to the healthy workers present. Fails with
    // GuaranteeUnbindable and the shapes that don't fit. Without any worker present the check
    // passes.
    virtual status validate(std::span<const pool> pools,
                            std::span<const workspace> workspaces) const = 0;

    virtual std::vector<pool_usage> poolUsage() const = 0;
    virtual std::vector<workspace_usage> workspaceUsage() const = 0;

    // Estimated memory of the whole state in bytes; 0: not known.
    virtual std::size_t stateBytes() const { return 0; }
};

} // namespace persimmon::placement
