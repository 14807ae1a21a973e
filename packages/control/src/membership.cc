#include "membership.h"

#include "base/log.h"

namespace persimmon::control {

namespace {

// Number of leases for which the announcement of a gone upstream is retained, so that entries that
// report the upstream as alive after a gap need not announce it again.
constexpr int goneRetentionLeases = 20;
// Interval of lease scans. Scanning 14,000 upstreams in each tick of 20 ms would cost more than the
// higher precision of the leases is worth.
constexpr milliseconds scanPeriod {100};

} // namespace

membership::membership(context &shared, view &upstreamView, listener &placementListener)
    : shared_(shared)
    , view_(upstreamView)
    , listener_(placementListener)
{
}

void membership::reset()
{
    members_.clear();
    pendingLeaves_.clear();
    proposedLeaves_.clear();
    nextScan_ = time_point {};
}

void membership::recordSync(const sync_request &request)
{
    for (const auto &value : request.announcements)
        announce(value);
    for (const auto &id : request.alive)
        keepAlive(id);
}

void membership::announce(const announcement &value)
{
    if (value.state == upstream_state::Gone)
        return;
    const auto found = members_.find(value.id);
    if (found != members_.end() && value.incarnation < found->second.value.incarnation)
        return;
    auto effective = value;
    if (value.state == upstream_state::Leaving
        && !shared_.data().isLeaving(value.id, value.incarnation))
        proposeLeaving(value);
    // The upstream is shown as leaving only after the mark is committed, because the announcing
    // entry acknowledges a durable departure. A later announcement of the incarnation can't revoke
    // the mark.
    effective.state = shared_.data().isLeaving(value.id, value.incarnation)
            ? upstream_state::Leaving
            : upstream_state::Serving;
    updateMember(members_[value.id], effective);
}

void membership::updateMember(member &target, const announcement &value)
{
    const bool isNew = target.value.id.empty() || target.value.state == upstream_state::Gone;
    const bool restarted = !isNew && value.incarnation > target.value.incarnation;
    const bool startedLeaving = !isNew && !restarted && value.state == upstream_state::Leaving
            && target.value.state == upstream_state::Serving;
    const bool changed = target.value != value;
    target.leaseUntil = shared_.now() + shared_.options().upstreamLease;
    if (!changed)
        return;
    if (restarted) {
        target.value.state = upstream_state::Gone;
        listener_.upstreamGone(value.id);
    }
    target.value = value;
    view_.setUpstream(value);
    if (isNew || restarted)
        notifyJoined(target);
    else if (startedLeaving)
        listener_.upstreamLeaving(value.id);
}

void membership::notifyJoined(member &target)
{
    logFor("jobs")->debug("upstream {} incarnation {} joined", target.value.id,
                          target.value.incarnation);
    listener_.upstreamJoined(target.value);
    if (target.value.state == upstream_state::Leaving)
        listener_.upstreamLeaving(target.value.id);
}

void membership::keepAlive(const std::string &id)
{
    const auto found = members_.find(id);
    if (found == members_.end())
        return;
    auto &target = found->second;
    target.leaseUntil = shared_.now() + shared_.options().upstreamLease;
    if (target.value.state != upstream_state::Gone)
        return;
    auto value = target.value;
    value.state = shared_.data().isLeaving(id, value.incarnation) ? upstream_state::Leaving
                                                                  : upstream_state::Serving;
    updateMember(target, value);
}

void membership::proposeLeaving(const announcement &value)
{
    pendingLeaves_[value.id] = value;
    if (!proposedLeaves_.insert(value.id).second)
        return;
    shared_.commit(mark_leaving {value.id, value.incarnation},
                   [this, id = value.id, incarnation = value.incarnation](const auto &outcome) {
                       proposedLeaves_.erase(id);
                       if (!failed(outcome))
                           markCommitted(id, incarnation);
                   });
}

void membership::markCommitted(const std::string &id, std::uint64_t incarnation)
{
    const auto pending = pendingLeaves_.find(id);
    if (pending != pendingLeaves_.end() && pending->second.incarnation <= incarnation)
        pendingLeaves_.erase(pending);
    const auto found = members_.find(id);
    if (found == members_.end() || found->second.value.incarnation > incarnation
        || found->second.value.state != upstream_state::Serving)
        return;
    found->second.value.state = upstream_state::Leaving;
    view_.setUpstream(found->second.value);
    listener_.upstreamLeaving(id);
}

void membership::markGone(member &target)
{
    target.value.state = upstream_state::Gone;
    view_.setUpstream(target.value);
    listener_.upstreamGone(target.value.id);
}

void membership::tick()
{
    const auto pending = pendingLeaves_;
    for (const auto &[id, value] : pending)
        proposeLeaving(value);
    const auto now = shared_.now();
    if (now < nextScan_)
        return;
    nextScan_ = now + scanPeriod;
    std::vector<std::string> ended;
    for (auto next = members_.begin(); next != members_.end();) {
        const auto current = next++;
        const auto &target = current->second;
        if (now < target.leaseUntil)
            continue;
        if (target.value.state != upstream_state::Gone)
            ended.push_back(current->first);
        else if (now >= target.leaseUntil + goneRetentionLeases * shared_.options().upstreamLease)
            members_.erase(current);
    }
    for (const auto &id : ended)
        markGone(members_.at(id));
}

bool membership::isPresent(const std::string &id, std::uint64_t incarnation) const
{
    const auto found = members_.find(id);
    if (found == members_.end())
        return shared_.now() < shared_.leaderSince() + shared_.options().upstreamLease;
    return found->second.value.incarnation == incarnation
            && found->second.value.state != upstream_state::Gone;
}

const announcement *membership::find(const std::string &id) const
{
    const auto found = members_.find(id);
    if (found == members_.end() || found->second.value.state == upstream_state::Gone)
        return nullptr;
    return &found->second.value;
}

std::vector<announcement> membership::upstreams() const
{
    std::vector<announcement> present;
    forEach([&](const announcement &value) { present.push_back(value); });
    return present;
}

void membership::forEach(const std::function<void(const announcement &)> &visit) const
{
    for (const auto &[id, target] : members_)
        if (target.value.state != upstream_state::Gone)
            visit(target.value);
}

} // namespace persimmon::control
