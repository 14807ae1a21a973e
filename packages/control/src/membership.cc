#include "membership.h"

#include "base/log.h"

namespace persimmon::control {

namespace {

// Gone upstreams are remembered for this many leases, so that entries which report them as alive
// after a gap need not announce them again.
constexpr int goneLeases = 20;
// A scan in each tick of 20 ms over 14,000 upstreams would cost more than the leases are worth.
constexpr milliseconds scanPeriod {100};

} // namespace

membership::membership(context &shared, view &shown, listener &told)
    : shared_(shared)
    , view_(shown)
    , listener_(told)
{
}

void membership::reset()
{
    members_.clear();
    pendingLeaves_.clear();
    proposedLeaves_.clear();
    nextScan_ = time_point {};
}

void membership::hear(const sync_request &request)
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
    auto known = value;
    if (value.state == upstream_state::Leaving
        && !shared_.data().isLeaving(value.id, value.incarnation))
        leave(value);
    // Shown as leaving from the commit on: what the announcing entry acknowledges is durable. The
    // mark is final for the incarnation, whatever a late announcement says.
    known.state = shared_.data().isLeaving(value.id, value.incarnation) ? upstream_state::Leaving
                                                                        : upstream_state::Serving;
    accept(members_[value.id], known);
}

void membership::accept(member &target, const announcement &value)
{
    const bool fresh = target.value.id.empty() || target.value.state == upstream_state::Gone;
    const bool restarted = !fresh && value.incarnation > target.value.incarnation;
    const bool startedLeaving = !fresh && !restarted && value.state == upstream_state::Leaving
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
    if (fresh || restarted)
        join(target);
    else if (startedLeaving)
        listener_.upstreamLeaving(value.id);
}

void membership::join(member &target)
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
    accept(target, value);
}

void membership::leave(const announcement &value)
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

void membership::drop(member &target)
{
    target.value.state = upstream_state::Gone;
    view_.setUpstream(target.value);
    listener_.upstreamGone(target.value.id);
}

void membership::tick()
{
    const auto pending = pendingLeaves_;
    for (const auto &[id, value] : pending)
        leave(value);
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
        else if (now >= target.leaseUntil + goneLeases * shared_.options().upstreamLease)
            members_.erase(current);
    }
    for (const auto &id : ended)
        drop(members_.at(id));
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
