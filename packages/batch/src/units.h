#pragma once

#include "batch/scheduler.h"

#include <map>
#include <string>
#include <vector>

namespace persimmon::batch::detail {

// Tasks of one step that are placed together: a gang as a whole, or independent tasks of which as
// many are placed as fit.
struct unit
{
    const job_record *job = nullptr;
    const step_spec *spec = nullptr;
    task_id first; // task of the first index
    std::vector<std::uint32_t> indexes;
    std::int64_t latestStartMs = 0; // Unix milliseconds
    bool hopeless = false; // too late to earn anything
    bool guaranteed = false; // urgent, and all urgent work of its tenant fits the reservation
    bool lastAttempt = false; // one more failure fails the job
    std::vector<std::string> avoid; // workers on which a task of the unit has failed

    bool together() const { return spec->gang && indexes.size() > 1; }
    bool oneRack() const { return together() && spec->sameRack; }
    // True if only the resources decide where the unit fits.
    bool plain() const
    {
        return spec->requiredLabel.empty() && spec->maxPerWorker == 0 && avoid.empty()
                && !lastAttempt && job->source.adviceValidMs == 0;
    }
};

inline step_key stepKeyOf(const unit &item)
{
    return stepOf(item.first);
}

// Accelerators of urgent work, by tenant; jobs without a tenant are left out.
struct urgent_use
{
    std::int64_t reserved = 0;
    std::int64_t wanted = 0; // of all open jobs
    std::int64_t running = 0;

    bool withinReservation() const { return wanted <= reserved; }
};

std::map<std::string, urgent_use> urgentUse(const ledger &state);

// Returns all units that may start now, in the order in which they are placed.
std::vector<unit> collectUnits(const schedule_input &input,
                               const std::map<std::string, urgent_use> &uses);

} // namespace persimmon::batch::detail
