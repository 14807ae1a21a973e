#include "core.h"

#include <algorithm>
#include <limits>

namespace persimmon::consensus::detail {

namespace {

// Limit of unacknowledged Appends per peer. Four saturate a link with a 24 ms round trip and let
// proposals that arrive in the meantime share a message. With 16, the commit rate of log-bench with
// 64 clients is lower.
constexpr std::size_t maxInFlight = 4;
constexpr std::size_t maxBatchEntries = 512;

std::uint64_t stampOf(time_point now)
{
    return static_cast<std::uint64_t>(now.time_since_epoch().count());
}

} // namespace

void core::sendAppend(voter_id id, peer &to, bool heartbeat)
{
    if (to.snapshot && to.snapshot->index <= to.matched)
        to.snapshot.reset();
    if (to.next <= log_.base()) {
        if (!to.snapshot) {
            to.snapshot = snapshot_;
            to.offset = 0;
            sendChunk(id, to);
        } else if (now_ >= to.sent + 4 * options_.node.heartbeatInterval) {
            sendChunk(id, to);
        }
        if (!heartbeat)
            return;
        // Maintains the quorum contact while chunks are in flight; the empty prefix always matches.
        message value;
        value.kind = message_kind::Append;
        value.to = id;
        value.term = term_;
        value.stamp = stampOf(now_);
        send(std::move(value));
        return;
    }
    to.snapshot.reset();
    const std::size_t limit = to.probing ? 1 : maxInFlight;
    if (to.next <= log_.last() && to.inFlight.size() < limit) {
        while (to.next <= log_.last() && to.inFlight.size() < limit)
            sendEntries(id, to);
        return;
    }
    if (heartbeat) {
        // If an Append was lost, the peer rejects the previous entry of the heartbeat.
        send(nextAppend(id, to));
    }
}

// Returns an Append without entries that continues what the peer was sent.
message core::nextAppend(voter_id id, const peer &to) const
{
    message value;
    value.kind = message_kind::Append;
    value.to = id;
    value.term = term_;
    value.index = to.next - 1;
    value.logTerm = *log_.termAt(value.index);
    value.commit = committed_;
    value.stamp = stampOf(now_);
    return value;
}

void core::sendEntries(voter_id id, peer &to)
{
    auto value = nextAppend(id, to);
    std::uint64_t bytes = 0;
    for (auto i = to.next; i <= log_.last() && value.entries.size() < maxBatchEntries; ++i) {
        bytes += log_.at(i).payload.size();
        if (!value.entries.empty() && bytes > options_.batchBytes)
            break;
        value.entries.push_back(log_.at(i));
    }
    to.next += value.entries.size();
    to.inFlight.push_back(to.next - 1);
    send(std::move(value));
}

void core::sendChunk(voter_id id, peer &to)
{
    const auto &state = to.snapshot->state;
    const auto size = std::min<std::uint64_t>(options_.batchBytes, state.size() - to.offset);
    message value;
    value.kind = message_kind::Snapshot;
    value.to = id;
    value.term = term_;
    value.index = to.snapshot->index;
    value.logTerm = to.snapshot->term;
    value.voters = to.snapshot->voters;
    value.stamp = stampOf(now_);
    value.offset = to.offset;
    value.total = state.size();
    const auto first = state.begin() + static_cast<std::ptrdiff_t>(to.offset);
    value.data.assign(first, first + static_cast<std::ptrdiff_t>(size));
    to.sent = now_;
    send(std::move(value));
}

void core::replicate()
{
    for (auto &[id, to] : peers_)
        sendAppend(id, to, false);
}

// Updates the peer from an AppendReply or SnapshotReply. Returns whether the reply is valid for the
// current leadership and the current disk of the peer.
bool core::recordReply(const message &input)
{
    if (input.term > term_)
        becomeFollower(input.term, 0);
    const auto found = peers_.find(input.from);
    if (role_ != node_role::Leader || input.term != term_ || found == peers_.end())
        return false;
    auto &from = found->second;
    from.acked
            = std::max(from.acked,
                       time_point(std::chrono::microseconds(std::min(input.stamp, stampOf(now_)))));
    if (input.rejoining && (!from.rejoining || from.disk != input.disk)) {
        const auto acked = from.acked;
        from = {};
        from.acked = acked;
        from.rejoining = true;
        from.disk = input.disk;
        from.next = log_.last() + 1;
    } else if (!input.rejoining && from.rejoining) {
        // A delayed reply from before the loss carries the old disk identity.
        if (input.disk != from.disk)
            return false;
        from.rejoining = false;
        from.admitIndex = 0;
    }
    return true;
}

void core::onAppendReply(const message &input)
{
    if (!recordReply(input))
        return;
    auto &from = peers_.at(input.from);
    if (input.granted) {
        from.matched = std::max(from.matched, std::min(input.index, log_.last()));
        from.next = std::max(from.next, from.matched + 1);
        from.probing = false;
        while (!from.inFlight.empty() && from.inFlight.front() <= from.matched)
            from.inFlight.pop_front();
    } else if (input.index > from.matched) {
        const auto limit = std::min(input.index, log_.last() + 1);
        from.next = std::max(from.matched + 1, std::min(limit, input.hint + 1));
        from.inFlight.clear();
        from.probing = true;
    }
    maybeCommit();
    // The commit may have ended this leadership or removed the peer.
    const auto found = peers_.find(input.from);
    if (role_ != node_role::Leader || found == peers_.end())
        return;
    continueAdmission(input.from, found->second);
    sendAppend(input.from, found->second, false);
    continueTransfer();
    continueChange();
}

void core::onSnapshotReply(const message &input)
{
    if (!recordReply(input))
        return;
    auto &from = peers_.at(input.from);
    if (!from.snapshot || from.snapshot->index != input.index)
        return;
    // Only the reply to the newest chunk is used. Its offset may be lower than the offset sent
    // because a restarted peer has lost the chunks received before.
    if (input.stamp != stampOf(from.sent) || input.offset > from.snapshot->state.size())
        return;
    from.offset = input.offset;
    if (from.offset < from.snapshot->state.size())
        sendChunk(input.from, from);
}

void core::maybeCommit()
{
    std::vector<log_index> durableIndexes;
    for (const auto id : voters()) {
        const auto found = peers_.find(id);
        if (id == options_.node.self) {
            durableIndexes.push_back(durableIndex_);
        } else if (found != peers_.end() && !found->second.rejoining) {
            durableIndexes.push_back(found->second.matched);
        } else {
            durableIndexes.push_back(0);
        }
    }
    std::ranges::sort(durableIndexes, std::greater<> {});
    const auto index = durableIndexes[durableIndexes.size() / 2];
    // An entry of an older term may still be replaced even if a majority holds it. It is committed
    // together with the first entry of the current term.
    if (index <= committed_ || log_.termAt(index) != term_)
        return;
    for (auto i = committed_ + 1; i <= index; ++i)
        uncommittedBytes_ -= std::min<std::uint64_t>(uncommittedBytes_, log_.at(i).payload.size());
    commitTo(index);
}

} // namespace persimmon::consensus::detail
