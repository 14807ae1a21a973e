#pragma once

#include "context.h"
#include "entries.h"

#include <set>

namespace persimmon::control {

// Dispatch intents and outcomes of requests that are not repeatable.
class intents
{
public:
    intents(context &shared, entries &known)
        : shared_(shared)
        , entries_(known)
    {
    }

    void reset() { expiring_.clear(); }

    // Fails with NotReady when the entry holds no lease: its intents would expire at once.
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
