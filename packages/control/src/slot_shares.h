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

// Shares the slots of each upstream out among the entries that hold a lease.
//
// The shares that entries may be using, counting each answer that an entry may have received, never
// exceed the slots. An answer is known to be in force once the entry echoes its view sequence; a
// share that is taken back counts until then or until the entry's lease has ended.
//
// An entry's shares end with its lease. An answer without shares leaves them as they are. A new
// leader sends none until the leases of the earlier leader have ended, and then first takes back
// all shares that it doesn't know.
class slot_shares
{
public:
    slot_shares(context &shared, entries &known, membership &members, view &shown);

    void reset();

    // Takes an entry's sync call: it holds what was sent up to its view sequence.
    void hear(const sync_request &request);

    // Forgets an entry whose lease has ended.
    void drop(const std::string &entryId);

    // Computes the shares by the demand of the entries and the upstreams present.
    void update();

    // True when the entry must be sent other shares than it was sent last.
    bool hasNews(const std::string &entryId);

    // Adds the entry's shares to an answer; call before the view is added.
    void fill(sync_response &response, const std::string &entryId);

private:
    using share_map = std::map<std::string, std::uint32_t>; // by upstream

    struct holder
    {
        std::uint64_t incarnation = 0;
        bool known = true; // false: it may hold shares of an earlier leader
        share_map held; // the most that it may be using
        share_map sent; // last answer
        share_map target; // by demand
        std::optional<share_map> allowed; // of the target; empty after a change
        std::uint64_t sentSequence = 0; // view sequence of the last change of sent
        std::uint64_t heardSequence = 0; // newest of them that the entry has shown to hold
    };

    struct pool_members
    {
        std::uint32_t slots = 0; // of the pool table
        std::vector<std::pair<std::string, std::uint32_t>> upstreams; // with their slots
    };

    std::map<std::string, pool_members> servedPools() const;
    std::uint64_t loadOf(const std::string &entryId, const std::string &pool) const;
    static std::vector<std::uint32_t> wantedAt(std::size_t index, const pool_members &served,
                                               std::span<const std::uint64_t> loads);
    void share(std::size_t index, const pool_members &served, std::uint32_t slots,
               std::span<const std::uint64_t> loads);
    const share_map &allowed(holder &target);
    share_map computeAllowed(const holder &target) const;
    void forgetAllowed();
    bool allKnown() const;

    context &shared_;
    entries &entries_;
    membership &members_;
    view &view_;
    std::map<std::string, holder> holders_;
    std::map<std::string, std::uint32_t> slots_; // of upstreams in served pools
};

} // namespace persimmon::control
