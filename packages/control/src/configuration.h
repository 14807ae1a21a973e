#pragma once

#include "context.h"
#include "entries.h"

#include <deque>

namespace persimmon::control {

// Changes of the operators' tables and their rollout to entries.
class configuration
{
public:
    configuration(context &shared, entries &known);

    // Fails held changes with NotLeader.
    void reset();

    // Holds changes until start() is called.
    void apply(const tables &next, std::uint64_t expectedVersion, const std::string &changeId,
               bool dryRun, coordinator::completion<apply_outcome> done);

    // Guarantees can be checked from now on: the workers present are known to the scheduler.
    void start();

    rollout currentRollout() const;
    std::vector<entry_status> entryStatus() const;

private:
    struct change
    {
        tables next;
        std::uint64_t expectedVersion = 0;
        std::string changeId;
        bool dryRun = false;
        coordinator::completion<apply_outcome> done;
    };

    void check(change asked);
    void preview(const change &asked);

    context &shared_;
    entries &entries_;
    bool started_ = false;
    std::deque<change> held_;
};

} // namespace persimmon::control
