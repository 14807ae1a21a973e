#include "core.h"

#include <algorithm>

namespace persimmon::consensus::detail {

namespace {

// Refuses absurd sizes in malformed messages.
constexpr std::uint64_t maxSnapshotBytes = std::uint64_t {4} << 30U;

} // namespace

void core::onAppend(message &input)
{
    if (input.term < term_) {
        auto answer = reply(message_kind::AppendReply, input);
        answer.index = input.index;
        send(std::move(answer));
        return;
    }
    if (input.term == term_ && role_ == node_role::Leader)
        return;
    becomeFollower(input.term, input.from);
    heard_ = now_;
    resetElectionDeadline();
    const auto end = input.index + input.entries.size();
    if (!storeEntries(input)) {
        auto answer = reply(message_kind::AppendReply, input);
        answer.index = input.index;
        const auto limit = std::min(log_.last(), input.index == 0 ? 0 : input.index - 1);
        auto hint = limit;
        // Skips the whole conflicting term, so that a long divergence takes few round trips.
        const auto conflict = log_.termAt(input.index);
        while (conflict && hint > committed_ && log_.termAt(hint) == conflict)
            --hint;
        answer.hint = std::max(hint, std::min(committed_, limit));
        send(std::move(answer));
        return;
    }
    commitTo(std::min(input.commit, end));
    acknowledge(input, end);
}

// Returns false if the previous entry does not match.
bool core::storeEntries(message &input)
{
    const auto end = input.index + input.entries.size();
    // Everything up to the base is committed and hence equal to the leader's log.
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
        out_.append.push_back(entry);
        log_.append(std::move(entry));
        dirty_ = true;
    }
    return true;
}

void core::truncateFrom(log_index index)
{
    log_.truncateFrom(index);
    while (memberships_.size() > 1 && memberships_.back().first >= index)
        memberships_.pop_back();
    const auto kept = index == 0 ? 0 : index - 1;
    durable_ = std::min(durable_, kept);
    for (auto &item : unsynced_)
        item.second = std::min(item.second, kept);
}

// The leader's quorum check needs an answer at once, even while the disk is slow; it reports only
// what is already durable. The acknowledgement of new entries leaves after their sync.
void core::acknowledge(const message &input, log_index verified)
{
    auto answer = reply(message_kind::AppendReply, input);
    answer.granted = true;
    if (voteToken_ <= synced_ && (verified <= durable_ || input.entries.empty())) {
        answer.index = std::min(verified, durable_);
        send(answer);
    }
    if (verified > durable_ || voteToken_ > synced_) {
        answer.index = verified;
        sendDurable(std::move(answer));
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
    heard_ = now_;
    resetElectionDeadline();
    if (input.index <= committed_) {
        acknowledge(input, input.index);
        return;
    }
    // Two leaders may encode the same state differently, so their chunks must not be mixed.
    if (incoming_.index != input.index || incomingFrom_ != input.term) {
        incomingFrom_ = input.term;
        incoming_ = {input.index, input.logTerm, input.voters, {}};
        incomingTotal_ = input.total;
    }
    if (input.offset == incoming_.state.size() && incomingTotal_ == input.total
        && input.offset + input.data.size() <= input.total)
        incoming_.state.insert(incoming_.state.end(), input.data.begin(), input.data.end());
    auto answer = reply(message_kind::SnapshotReply, input);
    answer.index = input.index;
    answer.offset = incoming_.state.size();
    const bool complete = incoming_.state.size() == incomingTotal_;
    send(std::move(answer));
    if (complete) {
        installSnapshot();
        acknowledge(input, input.index);
    }
}

void core::installSnapshot()
{
    const auto made = std::make_shared<snapshot_record>(std::move(incoming_));
    incoming_ = {};
    if (log_.termAt(made->index) == made->term) {
        log_.compactTo(made->index);
        while (memberships_.size() > 1 && memberships_[1].first <= made->index)
            memberships_.erase(memberships_.begin());
        memberships_.front() = {made->index, made->voters};
    } else {
        truncateFrom(0);
        log_.reset(made->index, made->term);
        memberships_.assign(1, {made->index, made->voters});
    }
    snapshot_ = made;
    out_.snapshot = made;
    out_.restore = made;
    committed_ = made->index;
    applied_ = made->index;
    dirty_ = true;
    afterCommit();
}

} // namespace persimmon::consensus::detail
