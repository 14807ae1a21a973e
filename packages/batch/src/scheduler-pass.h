#pragma once

#include "batch/scheduler.h"

namespace persimmon::batch {

// State of one scheduling pass.
struct scheduler::pass
{
    const schedule_input *input = nullptr;
    std::vector<amount> available; // by worker; negative where room is claimed but not yet free
    std::vector<std::map<std::pair<std::string, std::uint32_t>, std::uint32_t>>
            perStep; // by worker: tasks of (job and occurrence, step)
    std::map<std::string, std::vector<std::size_t>> racks;
    std::set<std::string> reservedRacks;
    std::vector<victim> victims;
    bool victimsReady = false;
    std::set<std::pair<task_id, std::uint32_t>> stopped; // in this pass
    schedule_output output;
};

} // namespace persimmon::batch
