#pragma once

#include "batch/scheduler.h"

#include <map>
#include <string>
#include <vector>

namespace persimmon::batch::detail {

// Preferences that a unit doesn't heed when it looks for workers.
struct waivers
{
    bool reserves = false; // workers that are kept for urgent work or for gangs
    bool failures = false; // workers on which it has failed, on its last attempt all untrusted ones
    bool isolation = false; // workers with other suspects, or that have to run nothing else
    bool quarantine = false; // workers in quarantine
    bool oneRack = false; // a gang that wants one rack may be spread
};

// Tasks of one step that are scheduled together: either a gang, which is placed as a whole, or
// independent tasks, of which as many are placed as fit.
struct unit
{
    const job_record *job = nullptr;
    const step_spec *spec = nullptr;
    task_id first; // task of the first index
    std::vector<std::uint32_t> indexes;
    std::int64_t latestStartMs = 0; // to meet the objective of the job, in Unix milliseconds
    std::int64_t latestLateStartMs = 0; // to end before completing the job has no value
    std::int64_t preemptFromMs = 0; // other work is stopped for the unit from then on
    std::int64_t patienceMs = 0; // or once it has waited for this time
    bool pastFinalDeadline = false; // so late that completing it has no value
    bool guaranteed = false; // urgent, and all urgent work of its tenant is within its reservation
    bool lastAttempt = false; // the next failure fails the job
    std::vector<std::string> avoidedWorkers; // workers on which a task of the unit has failed
    bool suspected = false; // a worker was lost under one of its tasks
    bool keptApart = false; // takes no worker with a suspect of another job
    bool isolated = false; // takes only workers that run nothing of other jobs
    bool isLikelyCause = false; // several workers were lost under one of its tasks
    std::optional<kind_index> kind; // only while its choice of neighbours matters
    waivers waived;
    bool startsLater = false; // waits, so that it doesn't start together with other suspects

    // Returns whether a task of the unit has failed before.
    bool retried() const { return !avoidedWorkers.empty(); }
    bool placedTogether() const { return spec->gang && indexes.size() > 1; }
    bool inOneRack() const { return placedTogether() && spec->sameRack && !waived.oneRack; }
    // Returns whether the choice of workers depends only on their pool and resources.
    bool isUnconstrained() const
    {
        const bool isSuspected = suspected && !waived.isolation;
        const bool hasFailed = (lastAttempt || retried()) && !waived.failures;
        return spec->requiredLabel.empty() && spec->maxPerWorker == 0
                && job->source.adviceValidMs == 0 && !isSuspected && !hasFailed;
    }
};

inline step_key stepKeyOf(const unit &item)
{
    return stepOf(item.first);
}

// Losses of workers from which on a task runs isolated from other jobs, to tell whether it is the
// cause.
constexpr std::uint32_t isolationLosses = 2;

// Returns whether all steps that a step depends on are done.
bool isReady(const job_record &job, std::uint32_t occurrence, const step_spec &spec);

// Returns the time that the job names for an occurrence, in Unix milliseconds; 0 if it names none.
std::int64_t scheduledMs(const job_record &job, std::uint32_t occurrence);

// Returns when an occurrence of a job may start, in Unix milliseconds.
std::int64_t dueMs(const job_record &job, std::uint32_t occurrence);

// Returns the time after which completing an occurrence has no value, in Unix milliseconds.
std::int64_t finalDeadlineMs(const job_record &job, std::uint32_t occurrence);

// Accelerators used and wanted by the urgent work of a tenant.
struct urgent_use
{
    std::int64_t reserved = 0;
    std::int64_t wanted = 0; // by all jobs that have not ended
    std::int64_t running = 0;

    bool withinReservation() const { return wanted <= reserved; }
};

// Returns the accelerators of urgent work by tenant. Jobs without a tenant are not counted.
std::map<std::string, urgent_use> urgentUse(const ledger &state);

// Returns all units that may start now, in scheduling order.
std::vector<unit> collectUnits(const schedule_input &input,
                               const std::map<std::string, urgent_use> &uses);

} // namespace persimmon::batch::detail
