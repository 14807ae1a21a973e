#pragma once

#include "context.h"

#include <functional>
#include <map>
#include <string>

namespace persimmon::control {

// One entry as the leader knows it in its term.
struct entry_record
{
    std::string id;
    std::uint64_t incarnation = 0;
    std::string address;
    location place;
    std::uint64_t appliedVersion = 0;
    time_point leaseUntil; // the entry's own count ends earlier
    time_point behindSince; // first answer with tables that the entry has not applied
    bool behind = false;
    bool stopping = false;
    bool drain = false;
    bool drainTold = false;
    std::vector<pool_demand> demand;
};

// Entries with their configuration leases.
class entries
{
public:
    explicit entries(context &shared)
        : shared_(shared)
    {
    }

    void reset() { records_.clear(); }

    // Takes a sync call. Returns nullptr for an incarnation that has been replaced.
    entry_record *hear(const sync_request &request);

    // Grants the lease of an answer that carries the current tables. Returns zero when the entry
    // was sent them for a whole lease and has still not applied them.
    milliseconds renew(entry_record &target);

    // Drops entries whose lease has ended and calls the function with each.
    void tick(const std::function<void(const entry_record &)> &ended);

    entry_record *find(const std::string &id);
    const std::map<std::string, entry_record> &records() const { return records_; }

    // True while an incarnation may serve: it holds a lease, or an earlier leader may have granted
    // one.
    bool mayServe(const std::string &id, std::uint64_t incarnation) const;

private:
    context &shared_;
    std::map<std::string, entry_record> records_;
};

} // namespace persimmon::control
