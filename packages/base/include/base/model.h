#pragma once

#include "base/clock.h"
#include "base/result.h"

#include <cstdint>
#include <string>
#include <vector>

// Structures that several packages share: the operators' tables, upstreams, jobs and task orders.
namespace persimmon {

// Identifies an accepted job: the index of the log entry that accepted it.
enum class job_id : std::uint64_t {};

constexpr std::uint64_t toNumber(job_id id)
{
    return static_cast<std::uint64_t>(id);
}

// Scheduling priority. Urgent jobs may preempt tasks on borrowed accelerators.
enum class priority_class : std::uint8_t { Batch, Standard, Urgent };

// Block of adjacent accelerators: a number of workers of one rack, with accelerators on each.
struct shape
{
    std::uint32_t workers = 0;
    std::uint32_t accelerators = 0;

    friend auto operator<=>(const shape &, const shape &) = default;
};

// Guaranteed blocks of a workspace in one pool.
struct guarantee
{
    std::string pool;
    shape block;
    std::uint32_t count = 0;

    friend bool operator==(const guarantee &, const guarantee &) = default;
};

// Row of the route table: maps the requests of a workspace, host and path prefix to a pool.
struct route
{
    std::string name;
    std::string workspace;
    std::string host; // empty: any host
    std::string pathPrefix; // longest match wins
    std::string pool;
    priority_class priority = priority_class::Standard;
    bool repeatable = true; // false: runs at most once, Idempotency-Key required
    milliseconds timeout {30000};

    friend bool operator==(const route &, const route &) = default;
};

// Row of the pool table: limits of each upstream of the pool, retries and placement strategy.
struct pool
{
    std::string name;
    std::uint32_t slots = 8; // concurrent requests of one upstream, over all entries
    std::uint32_t connections = 60; // connections of one upstream, over all entries
    std::uint32_t maxAttempts = 3; // attempts of a repeatable request
    std::string strategy = "buddy"; // placement strategy of jobs in this pool

    friend bool operator==(const pool &, const pool &) = default;
};

// Customer with its share, quota and guarantees.
struct workspace
{
    std::string name;
    std::uint32_t weight = 1; // share of queues under contention
    std::uint32_t quotaAccelerators = 0; // 0: no limit
    std::vector<guarantee> guarantees;

    friend bool operator==(const workspace &, const workspace &) = default;
};

// The operators' tables. The version grows by one with each accepted change.
struct tables
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<pool> pools;
    std::vector<workspace> workspaces;

    friend bool operator==(const tables &, const tables &) = default;
};

// Location of an instance.
struct location
{
    std::string region;
    std::string zone;
    std::string rack;

    friend auto operator<=>(const location &, const location &) = default;
};

// Resources of a worker, or of one task.
struct resources
{
    std::uint32_t accelerators = 0;
    std::uint32_t cores = 0;
    std::uint32_t memoryMb = 0;

    friend bool operator==(const resources &, const resources &) = default;
};

enum class upstream_state : std::uint8_t { Serving, Leaving, Gone };

// Announcement of an upstream: its address, location, limits and capacity.
struct announcement
{
    std::string id;
    std::uint64_t incarnation = 0; // grows with each restart of the upstream
    std::string address; // IP:port
    std::string pool;
    location place;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    resources capacity;
    upstream_state state = upstream_state::Serving;

    friend bool operator==(const announcement &, const announcement &) = default;
};

// Identifies one task of one attempt of a job. The fencing token increases with each grant by the
// control group. Workers ignore orders with an older token, and control ignores such reports.
struct task_ref
{
    job_id job {};
    std::uint32_t attempt = 0;
    std::uint32_t index = 0;
    std::uint64_t token = 0;

    friend auto operator<=>(const task_ref &, const task_ref &) = default;
};

enum class task_state : std::uint8_t { Prepared, Running, Checkpointed, Stopped, Done, Failed };

// Report of a worker about one task.
struct task_report
{
    std::string upstream;
    std::uint64_t incarnation = 0;
    task_ref task;
    task_state state = task_state::Prepared;
    std::string result; // complete result of a Done task
    std::uint32_t usagePercent = 0; // delayed by the worker's reporting period

    friend bool operator==(const task_report &, const task_report &) = default;
};

enum class task_action : std::uint8_t { Prepare, Run, Checkpoint, Stop };

// Desired state of one task on one worker.
struct task_order
{
    std::string upstream;
    task_ref task;
    task_action action = task_action::Prepare;
    resources size;
    std::string payload;

    friend bool operator==(const task_order &, const task_order &) = default;
};

// Job as submitted by a caller. Resources are per task.
struct job_spec
{
    std::string workspace;
    std::string pool;
    priority_class priority = priority_class::Standard;
    std::uint32_t tasks = 1; // 1 to maxGangTasks; all or none run
    resources task;
    std::uint32_t declaredSeconds = 0; // hint only; can be off by a factor of up to 10
    bool repeatable = true; // false: not restarted once it may have run
    std::string payload;

    friend bool operator==(const job_spec &, const job_spec &) = default;
};

constexpr std::uint32_t maxGangTasks = 64;

enum class job_state : std::uint8_t {
    Waiting,
    Preparing,
    Running,
    Stopping,
    Done,
    Failed,
    Cancelled,
    CannotRun,
    Unknown, // not repeatable and lost after it was released
};

enum class wait_reason : std::uint8_t {
    None,
    NoFreeBlock, // no block of adjacent accelerators is free
    QuotaReached, // the workspace uses its whole quota
    GuaranteeHeld, // free accelerators are held for guarantees and can't be lent now
    ReservationAhead, // an older large gang holds a reservation
    PreemptionPending, // borrowing jobs are being stopped for this job
    RebuildingView, // a new leader collects announcements for one period
    NoWorkers, // no worker of the pool is present
};

enum class decision_kind : std::uint8_t {
    Accepted,
    Waiting,
    Placed,
    Released,
    Preempted,
    Lost,
    Retried,
    Finished,
    Failed,
    Cancelled,
    Refused,
    Quarantined,
};

// One step in the decision history of a job or request.
struct decision_record
{
    decision_kind kind = decision_kind::Accepted;
    wall_ms at {0};
    wait_reason reason = wait_reason::None;
    result_code code = result_code::Ok;
    job_id other {}; // job that caused a preemption or holds the reservation
    std::string detail; // workers, shapes, condition for the job to start

    friend bool operator==(const decision_record &, const decision_record &) = default;
};

// Execution outcome reported to a caller.
enum class request_outcome : std::uint8_t { NotRun, Ran, Unknown };

// Complete HTTP response of an upstream.
struct answer
{
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;

    friend bool operator==(const answer &, const answer &) = default;
};

// Stable lower-case names of enumerators, used in JSON, INI, logs and metrics.
std::string_view toName(priority_class value);
std::string_view toName(upstream_state value);
std::string_view toName(task_state value);
std::string_view toName(task_action value);
std::string_view toName(job_state value);
std::string_view toName(wait_reason value);
std::string_view toName(decision_kind value);
std::string_view toName(request_outcome value);

// Finds the enumerator with the given name. Fails with InvalidValue.
result<priority_class> priorityFromName(std::string_view name);
result<upstream_state> upstreamStateFromName(std::string_view name);
result<task_state> taskStateFromName(std::string_view name);

} // namespace persimmon
