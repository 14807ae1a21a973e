#include "core.h"

#include <algorithm>

namespace persimmon::consensus::detail {

namespace {

// A learner that is at most this many entries behind has caught up; the rest follows while the
// membership entry is replicated.
constexpr log_index caughtUpEntries = 128;

} // namespace

// True if this disk never voted or stored an entry and did not lose any state either.
bool core::blank() const
{
    return (fresh_ || !rejoining_) && term_ == 0 && log_.last() == 0;
}

void core::sendProbes()
{
    if (!blank())
        return;
    bool initial = false;
    bool complete = true;
    for (const auto id : options_.node.voters) {
        initial = initial || id == options_.node.self;
        complete = complete && (id == options_.node.self || blankVoters_.contains(id));
    }
    if (!initial)
        return;
    if (complete) {
        rejoining_ = false;
        saveVote();
        admitToken_ = currentWrite();
        resetElectionDeadline();
        return;
    }
    if (now_ < probed_ + options_.node.heartbeat)
        return;
    probed_ = now_;
    for (const auto id : options_.node.voters) {
        if (id == options_.node.self || blankVoters_.contains(id))
            continue;
        message value;
        value.kind = message_kind::Probe;
        value.to = id;
        value.disk = disk_;
        send(std::move(value));
    }
}

void core::onProbe(const message &input)
{
    auto answer = reply(message_kind::ProbeReply, input);
    answer.disk = input.disk;
    answer.granted = blank();
    send(std::move(answer));
}

void core::onProbeReply(const message &input)
{
    if (input.disk == disk_ && input.granted)
        blankVoters_.insert(input.from);
}

void core::onAdmit(const message &input)
{
    if (!rejoining_ || input.term != term_ || input.disk != disk_ || durable_ < input.index)
        return;
    rejoining_ = false;
    // Another vote in this term could only be one that was lost; the sender won the term.
    votedFor_ = input.from;
    saveVote();
    admitToken_ = currentWrite();
    resetElectionDeadline();
}

// See the rule for rejoining above class core.
void core::continueAdmission(voter_id id, peer &from)
{
    if (!from.rejoining)
        return;
    if (from.admitIndex == 0) {
        // An empty disk doesn't know the first membership, which is in no entry; without it the
        // node would never stand for election.
        from.admitIndex = appendOwn(entry_kind::Membership, encodeVoters(voters()));
        replicate();
    }
    if (committed_ < from.admitIndex || from.matched < from.admitIndex)
        return;
    message value;
    value.kind = message_kind::Admit;
    value.to = id;
    value.term = term_;
    value.index = from.admitIndex;
    value.disk = from.disk;
    send(std::move(value));
}

// Keeps one peer for each other voter, for the learner being added, and for a voter being removed
// until its removal is committed.
void core::updatePeers()
{
    std::set<voter_id> wanted(voters().begin(), voters().end());
    if (change_)
        wanted.insert(change_->id);
    wanted.erase(options_.node.self);
    std::erase_if(peers_, [&](const auto &item) { return !wanted.contains(item.first); });
    for (const auto id : wanted) {
        if (!peers_.contains(id))
            peers_[id].next = log_.last() + 1;
    }
}

void core::continueChange()
{
    if (role_ != node_role::Leader || !change_ || change_->index != 0 || transferTo_ != 0)
        return;
    const auto found = peers_.find(change_->id);
    if (found == peers_.end() || found->second.rejoining || found->second.matched < barrier_)
        return;
    if (found->second.matched + caughtUpEntries >= log_.last())
        proposeMembership();
}

void core::proposeMembership()
{
    auto changed = voters();
    if (change_->add) {
        changed.push_back(change_->id);
    } else {
        std::erase(changed, change_->id);
    }
    change_->index = appendOwn(entry_kind::Membership, encodeVoters(changed));
    updatePeers();
    replicate();
}

void core::finishChange(result_code code)
{
    change_.reset();
    out_.change = code;
    if (role_ == node_role::Leader)
        updatePeers();
}

// Runs after the commit position moved.
void core::afterCommit()
{
    if (role_ != node_role::Leader)
        return;
    if (change_ && change_->index != 0 && committed_ >= change_->index)
        finishChange(result_code::Ok);
    if (!isVoter() && memberships_.back().first <= committed_) {
        // A leader that was removed hands over at once.
        startTransfer();
        if (transferSent_ || transferTo_ == 0)
            stepDown();
    }
}

} // namespace persimmon::consensus::detail
