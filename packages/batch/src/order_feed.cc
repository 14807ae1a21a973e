#include "batch/order_feed.h"

#include <utility>

namespace persimmon::batch {

namespace {

// A poll without orders is answered after this time, well before the call that carries it expires.
constexpr milliseconds pollLimit {400};

// A node polls again as soon as its poll is answered. Without a new poll for this time it is
// treated as gone. Covers a round trip between regions and a short pause of the node.
constexpr milliseconds pollGap {300};

} // namespace

order_feed::~order_feed()
{
    for (const auto &[node, item] : sessions_)
        timers_.cancel(item.timer);
}

void order_feed::poll(const std::string &node, poll_completion done)
{
    removeAbandoned();
    auto &item = sessions_[node];
    if (item.waiting)
        answer(item, std::vector<released_answer> {});
    item.waiting = std::move(done);
    if (!item.ready.empty())
        return answer(item, std::exchange(item.ready, {}));
    item.timer = timers_.after(pollLimit, [this, node](time_point) { flush(node); });
}

bool order_feed::isPolling(const std::string &node) const
{
    const auto found = sessions_.find(node);
    return found != sessions_.end()
            && (found->second.waiting || found->second.answeredAt + pollGap > timers_.now());
}

void order_feed::push(const std::string &node, released_answer orders)
{
    const auto found = sessions_.find(node);
    if (found == sessions_.end())
        return;
    auto &item = found->second;
    item.ready.push_back(std::move(orders));
    if (!item.waiting || item.ready.size() > 1)
        return;
    timers_.cancel(item.timer);
    item.timer = timers_.after(milliseconds {0}, [this, node](time_point) { flush(node); });
}

void order_feed::reset()
{
    auto ended = std::exchange(sessions_, {});
    for (auto &[node, item] : ended) {
        if (item.waiting)
            answer(item, error {result_code::NotLeader, "this node is not the leader", {}, {}});
    }
}

void order_feed::answer(session &to, result<std::vector<released_answer>> orders)
{
    timers_.cancel(to.timer);
    to.answeredAt = timers_.now();
    std::exchange(to.waiting, {})(std::move(orders));
}

void order_feed::flush(const std::string &node)
{
    auto &item = sessions_[node];
    if (item.waiting)
        answer(item, std::exchange(item.ready, {}));
}

void order_feed::removeAbandoned()
{
    std::erase_if(sessions_, [this](const auto &entry) { return !isPolling(entry.first); });
}

} // namespace persimmon::batch
