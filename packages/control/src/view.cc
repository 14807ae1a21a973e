#include "view.h"

#include <algorithm>

namespace persimmon::control {

namespace {

// An entry that has missed more removals than this is sent the full view.
constexpr std::size_t maxTombstones = 512;

} // namespace

void view::reset(std::uint64_t epoch)
{
    *this = view {};
    epoch_ = epoch;
}

void view::markComplete()
{
    partial_ = false;
    droppedUpTo_ = advanceSequence();
}

void view::recordChange(std::uint64_t &last, change_kind kind, const std::string &upstream)
{
    changes_.erase(last);
    last = ++sequence_;
    changes_[last] = {kind, upstream};
}

void view::setUpstream(const announcement &value)
{
    auto &target = items_[value.id];
    if (target.announced && target.value == value)
        return;
    const bool wasGone = target.announced && target.value.state == upstream_state::Gone;
    if (wasGone)
        tombstones_.erase(target.upstreamSequence);
    target.announced = true;
    target.value = value;
    recordChange(target.upstreamSequence, change_kind::Upstream, value.id);
    // An entry may hold orders of an earlier term for this upstream. An empty list replaces them.
    if (partial_ && target.ordersSequence == 0)
        recordChange(target.ordersSequence, change_kind::Orders, value.id);
    if (value.state == upstream_state::Gone) {
        tombstones_[target.upstreamSequence] = value.id;
        dropTombstones();
    }
}

void view::setOrders(const std::string &upstream, std::vector<task_order> orders)
{
    auto &target = items_[upstream];
    if (target.orders == orders)
        return;
    target.orders = std::move(orders);
    recordChange(target.ordersSequence, change_kind::Orders, upstream);
}

void view::dropTombstones()
{
    while (tombstones_.size() > maxTombstones) {
        const auto oldest = tombstones_.begin();
        const auto found = items_.find(oldest->second);
        droppedUpTo_ = std::max(droppedUpTo_, oldest->first);
        changes_.erase(oldest->first);
        if (found->second.orders.empty()) {
            droppedUpTo_ = std::max(droppedUpTo_, found->second.ordersSequence);
            changes_.erase(found->second.ordersSequence);
            items_.erase(found);
        } else {
            found->second.announced = false;
            found->second.upstreamSequence = 0;
        }
        tombstones_.erase(oldest);
    }
}

bool view::needsFullView(std::uint64_t epoch, std::uint64_t sequence) const
{
    return epoch != epoch_ || sequence < droppedUpTo_ || sequence > sequence_;
}

bool view::hasChanges(std::uint64_t epoch, std::uint64_t sequence) const
{
    return needsFullView(epoch, sequence) || changes_.upper_bound(sequence) != changes_.end();
}

void view::fillAll(sync_response &response) const
{
    response.fullView = !partial_;
    for (const auto &[upstream, source] : items_) {
        if (source.announced && source.value.state != upstream_state::Gone)
            response.upstreams.push_back(source.value);
        // A partial view includes empty lists, which remove the orders of an earlier term.
        if (!source.orders.empty() || (partial_ && source.ordersSequence != 0))
            response.orders.push_back({upstream, source.orders});
    }
}

void view::fill(sync_response &response, std::uint64_t epoch, std::uint64_t sequence) const
{
    response.viewEpoch = epoch_;
    response.viewSequence = sequence_;
    if (needsFullView(epoch, sequence))
        return fillAll(response);
    for (auto item = changes_.upper_bound(sequence); item != changes_.end(); ++item) {
        const auto &source = items_.at(item->second.upstream);
        if (item->second.kind == change_kind::Upstream)
            response.upstreams.push_back(source.value);
        else
            response.orders.push_back({item->second.upstream, source.orders});
    }
}

} // namespace persimmon::control
