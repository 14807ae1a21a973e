#pragma once

#include "base/sync.h"
#include "consensus/state_machine.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace persimmon::control {

// One committed change of the tables.
struct history_item
{
    std::uint64_t version = 0;
    std::string changeId;
    wall_ms at {0};
    std::string summary; // changed rows, for example "+route boards ~pool gpu"
};

// Content of the ledger. Defined privately in this package, for its controllers.
struct ledger_data;

// Replicated state machine that holds tables, jobs, intents and marks of leaving upstreams. Its
// commands and their encoding are internal to this package (control/commands.h). State can be read
// on every voter, but only the leader's is current.
class ledger : public consensus::state_machine
{
public:
    static std::unique_ptr<ledger> create();

    virtual const tables &currentTables() const = 0;
    virtual std::vector<history_item> history() const = 0; // oldest first, bounded
    virtual std::optional<job_view> findJob(job_id id) const = 0;

    // Returns the content for the coordinator.
    virtual const ledger_data &data() const = 0;
};

} // namespace persimmon::control
