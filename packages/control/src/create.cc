#include "control/coordinator.h"

namespace persimmon::control {

// Kept in a separate file, so that programs with their own scheduler need not link placement's.
std::unique_ptr<coordinator> coordinator::create(const coordinator_options &options, ledger &state,
                                                 proposer &log)
{
    return create(options, state, log, &placement::scheduler::create);
}

} // namespace persimmon::control
