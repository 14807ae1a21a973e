#pragma once

#include "context.h"
#include "entries.h"

#include <deque>

namespace persimmon::control {

// Controller for changes of the operator tables and their roll-out to entries.
class configuration
{
public:
    configuration(context &shared, entries &leasedEntries);

    // Fails pending changes with NotLeader.
    void reset();

    // Checks and commits a change. Changes are queued until start() is called.
    void apply(const tables &next, std::uint64_t expectedVersion, const std::string &changeId,
               bool dryRun, coordinator::completion<apply_outcome> done);

    // Checks the queued changes. To be called once the scheduler has been given the workers that
    // are present, which the check of guarantees requires.
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

    void check(change request);
    void preview(const change &request);

    context &shared_;
    entries &entries_;
    bool started_ = false;
    std::deque<change> pending_;
};

} // namespace persimmon::control
