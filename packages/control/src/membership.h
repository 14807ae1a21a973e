#pragma once

#include "context.h"
#include "view.h"

#include <map>
#include <set>
#include <string>

namespace persimmon::control {

// Upstreams and their leases. An upstream is present as long as any entry reports it.
class membership
{
public:
    // Receives the changes that affect placement, after they have been made.
    struct listener
    {
        virtual ~listener() = default;
        virtual void upstreamJoined(const announcement &value) = 0;
        virtual void upstreamLeaving(const std::string &id) = 0;
        virtual void upstreamGone(const std::string &id) = 0;
    };

    membership(context &shared, view &upstreamView, listener &placementListener);

    void reset();

    // Records the upstreams that an entry reports in a sync call.
    void recordSync(const sync_request &request);

    // Expires leases, and proposes again the marks of leaving upstreams that failed to commit.
    void tick();

    // Returns whether the incarnation holds a lease. Upstreams that have not been announced to a
    // new leader count as present until one upstream lease has passed.
    bool isPresent(const std::string &id, std::uint64_t incarnation) const;

    // Returns the upstream if it is present, otherwise nullptr.
    const announcement *find(const std::string &id) const;

    std::vector<announcement> upstreams() const;
    void forEach(const std::function<void(const announcement &)> &visit) const;

private:
    struct member
    {
        announcement value; // state Gone after the lease has expired
        time_point leaseUntil;
    };

    void announce(const announcement &value);
    void updateMember(member &target, const announcement &value);
    void keepAlive(const std::string &id);
    void notifyJoined(member &target);
    void proposeLeaving(const announcement &value);
    void markCommitted(const std::string &id, std::uint64_t incarnation);
    void markGone(member &target);

    context &shared_;
    view &view_;
    listener &listener_;
    std::map<std::string, member> members_;
    std::map<std::string, announcement> pendingLeaves_; // not committed yet
    std::set<std::string> proposedLeaves_;
    time_point nextScan_;
};

} // namespace persimmon::control
