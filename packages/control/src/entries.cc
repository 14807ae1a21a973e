#include "entries.h"

#include <algorithm>

namespace persimmon::control {

entry_record *entries::recordSync(const sync_request &request)
{
    auto &target = records_[request.entryId];
    if (request.entryIncarnation < target.incarnation)
        return nullptr;
    if (request.entryIncarnation > target.incarnation)
        target = {};
    target.id = request.entryId;
    target.incarnation = request.entryIncarnation;
    target.address = request.httpAddress;
    target.place = request.place;
    target.appliedVersion = std::max(target.appliedVersion, request.appliedVersion);
    target.stopping = request.stopping;
    target.demand = request.demand;
    if (target.appliedVersion >= shared_.data().current.version)
        target.behind = false;
    // Without a provisional lease, tick() would remove a new entry before its first response.
    if (target.leaseUntil == time_point {})
        target.leaseUntil = shared_.now() + shared_.options().configurationLease;
    return &target;
}

milliseconds entries::renewLease(entry_record &target)
{
    const auto lease = shared_.options().configurationLease;
    const auto now = shared_.now();
    if (target.appliedVersion < shared_.data().current.version) {
        if (!target.behind)
            target.behindSince = now;
        target.behind = true;
        if (now >= target.behindSince + lease)
            return milliseconds {0};
    }
    target.leaseUntil = now + lease;
    return lease;
}

void entries::tick(const std::function<void(const entry_record &)> &onExpired)
{
    std::vector<entry_record> expired;
    for (const auto &[id, record] : records_)
        if (shared_.now() >= record.leaseUntil)
            expired.push_back(record);
    for (const auto &record : expired) {
        records_.erase(record.id);
        onExpired(record);
    }
}

entry_record *entries::find(const std::string &id)
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

bool entries::mayServe(const std::string &id, std::uint64_t incarnation) const
{
    const auto found = records_.find(id);
    if (found == records_.end())
        return !shared_.earlierLeasesEnded();
    return found->second.incarnation == incarnation;
}

} // namespace persimmon::control
