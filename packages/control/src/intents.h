#pragma once

#include "context.h"
#include "entries.h"

#include <set>

namespace persimmon::control {

// Controller for dispatch intents and outcomes of non-repeatable requests.
class intents
{
public:
    intents(context &shared, entries &leasedEntries)
        : shared_(shared)
        , entries_(leasedEntries)
    {
    }

    void reset() { expiring_.clear(); }

    // Fails with NotReady if the entry holds no lease, because its intents would expire at once.
    void record(const intent_request &request, coordinator::completion<intent_reply> done);
    void record(const outcome_record &record, coordinator::completion<std::monostate> done);

    // Expires the open intents of entries that no longer hold a lease.
    void tick();

private:
    context &shared_;
    entries &entries_;
    std::set<entry_incarnation> expiring_;
};

} // namespace persimmon::control
