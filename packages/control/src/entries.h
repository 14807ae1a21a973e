#pragma once

#include "context.h"

#include <functional>
#include <map>
#include <string>

namespace persimmon::control {

// State of one entry in the current term.
struct entry_record
{
    std::string id;
    std::uint64_t incarnation = 0;
    std::string address;
    location place;
    std::uint64_t appliedVersion = 0;
    time_point leaseUntil; // the entry's own count, which starts at its request, ends earlier
    time_point behindSince; // first response with tables that the entry has not applied
    bool behind = false;
    bool stopping = false;
    bool drain = false;
    bool drainSent = false;
    std::vector<pool_demand> demand;
};

// Entries that hold a configuration lease.
class entries
{
public:
    explicit entries(context &shared)
        : shared_(shared)
    {
    }

    void reset() { records_.clear(); }

    // Records a sync call. Returns nullptr if a newer incarnation has replaced the caller.
    entry_record *recordSync(const sync_request &request);

    // Renews the lease for a response that carries the current tables. Returns zero if they have
    // been sent to the entry for a full lease time and it has still not applied them.
    milliseconds renewLease(entry_record &target);

    // Removes the entries whose lease has expired, and calls onExpired with each.
    void tick(const std::function<void(const entry_record &)> &onExpired);

    entry_record *find(const std::string &id);
    const std::map<std::string, entry_record> &records() const { return records_; }

    // Returns whether an incarnation may be serving: it holds a lease, or an earlier leader may
    // have granted one.
    bool mayServe(const std::string &id, std::uint64_t incarnation) const;

private:
    context &shared_;
    std::map<std::string, entry_record> records_;
};

} // namespace persimmon::control
