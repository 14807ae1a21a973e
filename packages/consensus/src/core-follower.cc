#include "core.h"

#include <algorithm>

namespace persimmon::consensus::detail {

namespace {

// Limit for the snapshot size announced in a message; protects against malformed messages.
constexpr std::uint64_t maxSnapshotBytes = std::uint64_t {4} << 30U;

} // namespace

void core::onAppend(message &input)
{
    if (input.term < term_) {
        auto reply = makeReply(message_kind::AppendReply, input);
        reply.index = input.index;
        send(std::move(reply));
        return;
    }
    if (input.term == term_ && role_ == node_role::Leader)
        return;
    becomeFollower(input.term, input.from);
    leaderContact_ = now_;
    resetElectionDeadline();
    const auto end = input.index + input.entries.size();
    if (!storeEntries(input)) {
        auto reply = makeReply(message_kind::AppendReply, input);
        reply.index = input.index;
        const auto limit = std::min(log_.last(), input.index == 0 ? 0 : input.index - 1);
        auto hint = limit;
        // Skips the whole conflicting term to resolve a long divergence in few round trips.
        const auto conflict = log_.termAt(input.index);
        while (conflict && hint > committed_ && log_.termAt(hint) == conflict)
            --hint;
        reply.hint = std::max(hint, std::min(committed_, limit));
        send(std::move(reply));
        return;
    }
    commitTo(std::min(input.commit, end));
    acknowledge(input, end);
}

// Appends the new entries of the message. Returns false if the previous entry does not match or a
// committed entry would be replaced.
bool core::storeEntries(message &input)
{
    const auto end = input.index + input.entries.size();
    // All entries up to the base are committed and therefore equal to those of the leader.
    if (end <= log_.base())
        return true;
    if (input.index >= log_.base() && log_.termAt(input.index) != input.logTerm)
        return false;
    for (auto &entry : input.entries) {
        if (entry.index <= log_.base() || log_.termAt(entry.index) == entry.term)
            continue;
        if (entry.index <= log_.last()) {
            if (entry.index <= committed_)
                return false;
            truncateFrom(entry.index);
        }
        if (entry.kind == entry_kind::Membership)
            memberships_.emplace_back(entry.index, decodeVoters(entry.payload));
        actions_.append.push_back(entry);
        log_.append(std::move(entry));
        wroteInStep_ = true;
    }
    return true;
}

void core::truncateFrom(log_index index)
{
    log_.truncateFrom(index);
    while (memberships_.size() > 1 && memberships_.back().first >= index)
        memberships_.pop_back();
    const auto lastKept = index == 0 ? 0 : index - 1;
    durableIndex_ = std::min(durableIndex_, lastKept);
    for (auto &item : unsynced_)
        item.second = std::min(item.second, lastKept);
}

// Sends an immediate reply with the entries that are already durable, because the quorum check of
// the leader must not depend on disk latency. New entries are acknowledged after their sync.
void core::acknowledge(const message &input, log_index verified)
{
    auto reply = makeReply(message_kind::AppendReply, input);
    reply.granted = true;
    if (voteToken_ <= syncedToken_ && (verified <= durableIndex_ || input.entries.empty())) {
        reply.index = std::min(verified, durableIndex_);
        send(reply);
    }
    if (verified > durableIndex_ || voteToken_ > syncedToken_) {
        reply.index = verified;
        sendAfterSync(std::move(reply));
    }
}

void core::commitTo(log_index index)
{
    if (index <= committed_)
        return;
    committed_ = index;
    afterCommit();
}

void core::onSnapshot(message &input)
{
    if (input.term < term_ || (input.term == term_ && role_ == node_role::Leader)
        || input.total > maxSnapshotBytes)
        return;
    becomeFollower(input.term, input.from);
    leaderContact_ = now_;
    resetElectionDeadline();
    if (input.index <= committed_) {
        acknowledge(input, input.index);
        return;
    }
    // Two leaders may encode the same state differently, so their chunks must not be mixed.
    if (incoming_.index != input.index || incomingTerm_ != input.term) {
        incomingTerm_ = input.term;
        incoming_ = {input.index, input.logTerm, input.voters, {}};
        incomingTotal_ = input.total;
    }
    if (input.offset == incoming_.state.size() && incomingTotal_ == input.total
        && input.offset + input.data.size() <= input.total)
        incoming_.state.insert(incoming_.state.end(), input.data.begin(), input.data.end());
    auto reply = makeReply(message_kind::SnapshotReply, input);
    reply.index = input.index;
    reply.offset = incoming_.state.size();
    const bool complete = incoming_.state.size() == incomingTotal_;
    send(std::move(reply));
    if (complete) {
        installSnapshot();
        acknowledge(input, input.index);
    }
}

void core::installSnapshot()
{
    const auto installed = std::make_shared<snapshot_record>(std::move(incoming_));
    incoming_ = {};
    if (log_.termAt(installed->index) == installed->term) {
        log_.compactTo(installed->index);
        while (memberships_.size() > 1 && memberships_[1].first <= installed->index)
            memberships_.erase(memberships_.begin());
        memberships_.front() = {installed->index, installed->voters};
    } else {
        truncateFrom(0);
        log_.reset(installed->index, installed->term);
        memberships_.assign(1, {installed->index, installed->voters});
    }
    snapshot_ = installed;
    actions_.snapshot = installed;
    actions_.restore = installed;
    committed_ = installed->index;
    applied_ = installed->index;
    wroteInStep_ = true;
    afterCommit();
}

} // namespace persimmon::consensus::detail
