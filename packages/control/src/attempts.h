#pragma once

#include "context.h"
#include "membership.h"

#include <optional>

namespace persimmon::control {

// Soft state of the open attempt of one job, in addition to the ledger's.
struct attempt_progress
{
    struct task
    {
        std::optional<task_state> state;
        std::string result;
    };

    // Stop that placement has requested and the ledger has not committed yet.
    struct stop_request
    {
        placement::attempt_end reason = placement::attempt_end::Preempted;
        job_id other {};
        milliseconds deadline {0};
    };

    std::uint32_t attempt = 0;
    std::vector<task> tasks;
    bool stopObserved = false;
    // Time at which the committed stop was first observed and orders to run were withdrawn.
    time_point stoppedAt;
};

// Reason for stopping an open attempt, and the worker that caused it.
struct attempt_fault
{
    placement::attempt_end reason = placement::attempt_end::WorkerLost;
    std::string worker;
};

// Returns whether a task in this state no longer runs.
constexpr bool hasEnded(task_state state)
{
    return state != task_state::Prepared && state != task_state::Running;
}

// Applies a task report. Returns false if the report is stale, out of order or a duplicate.
bool applyReport(const job_entry &entry, attempt_progress &progress, const task_report &report);

// Finds a task that failed or stopped without an order, a worker that was lost, or a worker that
// is leaving before the attempt is released.
std::optional<attempt_fault> findFault(const job_entry &entry, const attempt_progress &progress,
                                       const membership &members);

bool allInState(const attempt_progress &progress, task_state state);

// Returns whether no task of a stopping attempt can still run: each task has reported its end or
// its worker has restarted, or all leases under which a task could run have expired.
bool hasStopped(const job_entry &entry, const attempt_progress &progress, const membership &members,
                const context &shared);

// Returns the action that the workers of an open attempt must take now.
task_action desiredAction(const job_entry &entry, const attempt_progress &progress, time_point now);

// Returns the orders of the job's open attempt. Empty if no attempt is open.
std::vector<task_order> desiredOrders(const job_entry &entry, const membership &members,
                                      task_action action);

} // namespace persimmon::control
