#pragma once

#include "context.h"
#include "view.h"

#include <map>
#include <set>
#include <string>

namespace persimmon::control {

// Upstreams under leases. An upstream is present while any entry hears it.
class membership
{
public:
    // Told about changes that matter to placement; calls happen after the change.
    struct listener
    {
        virtual ~listener() = default;
        virtual void upstreamJoined(const announcement &value) = 0;
        virtual void upstreamLeaving(const std::string &id) = 0;
        virtual void upstreamGone(const std::string &id) = 0;
    };

    membership(context &shared, view &shown, listener &told);

    void reset();

    // Takes what an entry has heard since its last call.
    void hear(const sync_request &request);

    // Ends leases and proposes marks of leaving upstreams that failed to commit again.
    void tick();

    // True while the incarnation holds its lease. A new leader counts upstreams that it has not
    // heard yet as present until one upstream lease has passed.
    bool isPresent(const std::string &id, std::uint64_t incarnation) const;

    // Returns the present upstream, or nullptr.
    const announcement *find(const std::string &id) const;

    std::vector<announcement> upstreams() const;
    void forEach(const std::function<void(const announcement &)> &visit) const;

private:
    struct member
    {
        announcement value; // state Gone after the lease has ended
        time_point leaseUntil;
    };

    void announce(const announcement &value);
    void accept(member &target, const announcement &value);
    void keepAlive(const std::string &id);
    void join(member &target);
    void leave(const announcement &value);
    void markCommitted(const std::string &id, std::uint64_t incarnation);
    void drop(member &target);

    context &shared_;
    view &view_;
    listener &listener_;
    std::map<std::string, member> members_;
    std::map<std::string, announcement> pendingLeaves_; // not committed yet
    std::set<std::string> proposedLeaves_;
    time_point nextScan_;
};

} // namespace persimmon::control
