#pragma once

#include "batch/scheduler.h"

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

// Returns all units that may start now, in the order in which they are placed.
std::vector<unit> collectUnits(const schedule_input &input);

} // namespace persimmon::batch::detail
