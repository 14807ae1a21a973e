#pragma once

#include "context.h"
#include "membership.h"

#include <optional>

namespace persimmon::control {

// What the leader knows about the open attempt of one job beyond the ledger.
struct attempt_progress
{
    struct task
    {
        std::optional<task_state> state;
        std::string result;
    };

    // Placement's wish to stop the attempt before the ledger says so.
    struct stop_wish
    {
        placement::attempt_end reason = placement::attempt_end::Preempted;
        job_id other {};
        milliseconds deadline {0};
    };

    std::uint32_t attempt = 0;
    std::vector<task> tasks;
    bool stopSeen = false;
    time_point stoppedAt; // the ledger's stop was first seen; orders to run ended then
};

// Why an open attempt must stop, and which worker is the cause.
struct attempt_fault
{
    placement::attempt_end reason = placement::attempt_end::WorkerLost;
    std::string worker;
};

// True for states after which the task no longer runs.
constexpr bool hasEnded(task_state state)
{
    return state != task_state::Prepared && state != task_state::Running;
}

// Takes a report. Returns false for a report that is stale, late or repeated.
bool takeReport(const job_entry &entry, attempt_progress &progress, const task_report &report);

// Finds a member that was lost, failed or stopped by itself, or that is leaving before the release.
std::optional<attempt_fault> findFault(const job_entry &entry, const attempt_progress &progress,
                                       const membership &members);

bool allInState(const attempt_progress &progress, task_state state);

// True when no task of a stopping attempt can run any more: each has reported its end, its worker
// has restarted, or all leases under which it could run have passed.
bool hasStopped(const job_entry &entry, const attempt_progress &progress, const membership &members,
                const context &shared);

// What the workers of an open attempt must do now.
task_action desiredAction(const job_entry &entry, const attempt_progress &progress, time_point now);

// Orders of the job's open attempt; empty for a job without one.
std::vector<task_order> desiredOrders(const job_entry &entry, const membership &members,
                                      task_action action);

} // namespace persimmon::control
