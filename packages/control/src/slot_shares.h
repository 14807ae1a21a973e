#pragma once

#include "context.h"
#include "entries.h"
#include "membership.h"
#include "view.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace persimmon::control {

// Divides the slots of each upstream among the entries that hold a lease.
//
// The shares that entries may be using never exceed the slots of the upstream. Every response that
// an entry may have received counts. A response is acknowledged when the entry returns its view
// sequence; a revoked share counts until then or until the lease of the entry has expired.
//
// The shares of an entry expire with its lease. A response without shares leaves them unchanged. A
// new leader sends no shares until the leases of the earlier leader have expired, and first revokes
// all shares that the earlier leader may have granted.
class slot_shares
{
public:
    slot_shares(context &shared, entries &leasedEntries, membership &members, view &upstreamView);

    void reset();

    // Records a sync call. Its view sequence acknowledges the shares sent up to that sequence.
    void recordSync(const sync_request &request);

    // Removes an entry whose lease has expired.
    void remove(const std::string &entryId);

    // Recomputes the target shares from the demand of the entries and the upstreams present.
    void updateTargets();

    // Returns whether the shares for the entry differ from those last sent to it.
    bool hasChanges(const std::string &entryId);

    // Adds the shares of the entry to a response. Must be called before the view is added, because
    // it may advance the view sequence.
    void fill(sync_response &response, const std::string &entryId);

private:
    using share_map = std::map<std::string, std::uint32_t>; // by upstream

    struct holder
    {
        std::uint64_t incarnation = 0;
        bool sharesKnown = true; // false: may hold shares of an earlier leader
        share_map held; // upper bound of the shares in use
        share_map sent; // in the last response
        share_map target; // computed from demand
        std::optional<share_map> allowed; // part of the target that can be granted; empty: outdated
        std::uint64_t sentSequence = 0; // view sequence of the last change of sent
        std::uint64_t acknowledgedSequence = 0; // last sentSequence that the entry has acknowledged
    };

    struct pool_members
    {
        std::uint32_t slots = 0; // limit for each upstream, from the pool table
        std::vector<std::pair<std::string, std::uint32_t>> upstreams; // with their slots
    };

    std::map<std::string, pool_members> servedPools() const;
    std::uint64_t loadOf(const std::string &entryId, const std::string &pool) const;
    static std::vector<std::uint32_t> demandAt(std::size_t index, const pool_members &served,
                                               std::span<const std::uint64_t> loads);
    void distribute(std::size_t index, const pool_members &served, std::uint32_t slots,
                    std::span<const std::uint64_t> loads);
    const share_map &allowed(holder &target);
    share_map computeAllowed(const holder &target) const;
    void clearAllowed();
    bool allSharesKnown() const;

    context &shared_;
    entries &entries_;
    membership &members_;
    view &view_;
    std::map<std::string, holder> holders_;
    std::map<std::string, std::uint32_t> slots_; // of upstreams in served pools
};

} // namespace persimmon::control
