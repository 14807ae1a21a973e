#pragma once

#include "base/sync.h"
#include "consensus/state_machine.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace persimmon::control {

// One accepted change of the tables.
struct history_item
{
    std::uint64_t version = 0;
    std::string changeId;
    wall_ms at {0};
    std::string summary; // changed rows, such as "+route boards ~pool gpu"
};

// Whole content of the ledger, known to the controllers of this package only.
struct ledger_data;

// Replicated state: tables, job ledger, intents and marks of leaving upstreams. Commands and their
// encoding are internal to this package (control/commands.h). Reads are valid on every voter; only
// the leader's are current.
class ledger : public consensus::state_machine
{
public:
    static std::unique_ptr<ledger> create();

    virtual const tables &currentTables() const = 0;
    virtual std::vector<history_item> history() const = 0; // newest last, bounded
    virtual std::optional<job_view> findJob(job_id id) const = 0;

    // Content for the coordinator.
    virtual const ledger_data &data() const = 0;
};

} // namespace persimmon::control
