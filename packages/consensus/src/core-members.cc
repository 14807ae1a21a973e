#include "core.h"

#include <algorithm>

namespace persimmon::consensus::detail {

namespace {

// Largest lag at which a learner counts as caught up. It receives the remaining entries while the
// Membership entry is replicated.
constexpr log_index maxLearnerLagEntries = 128;

} // namespace

// Returns whether this disk has neither a term nor an entry and has not lost any state.
bool core::isUninitialized() const
{
    return (fresh_ || !rejoining_) && term_ == 0 && log_.last() == 0;
}

void core::sendProbes()
{
    if (!isUninitialized())
        return;
    bool initial = false;
    bool complete = true;
    for (const auto id : options_.node.voters) {
        initial = initial || id == options_.node.self;
        complete = complete && (id == options_.node.self || uninitializedVoters_.contains(id));
    }
    if (!initial)
        return;
    if (complete) {
        rejoining_ = false;
        saveVote();
        admitToken_ = currentToken();
        resetElectionDeadline();
        return;
    }
    if (now_ < lastProbe_ + options_.node.heartbeat)
        return;
    lastProbe_ = now_;
    for (const auto id : options_.node.voters) {
        if (id == options_.node.self || uninitializedVoters_.contains(id))
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
    auto reply = makeReply(message_kind::ProbeReply, input);
    reply.disk = input.disk;
    reply.granted = isUninitialized();
    send(std::move(reply));
}

void core::onProbeReply(const message &input)
{
    if (input.disk == disk_ && input.granted)
        uninitializedVoters_.insert(input.from);
}

void core::onAdmit(const message &input)
{
    if (!rejoining_ || input.term != term_ || input.disk != disk_ || durableIndex_ < input.index)
        return;
    rejoining_ = false;
    // The sender won the election of this term; any other vote in it can only be a lost one.
    votedFor_ = input.from;
    saveVote();
    admitToken_ = currentToken();
    resetElectionDeadline();
}

// Appends the admission entry of a rejoining peer and admits the peer once it is committed and
// synced on the peer; see the description of class core.
void core::continueAdmission(voter_id id, peer &from)
{
    if (!from.rejoining)
        return;
    if (from.admitIndex == 0) {
        // The entry repeats the membership because an empty disk lacks the initial one, which is in
        // no entry; without it the node would never start an election.
        from.admitIndex = appendAsLeader(entry_kind::Membership, encodeVoters(voters()));
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
    std::set<voter_id> peerIds(voters().begin(), voters().end());
    if (membershipChange_)
        peerIds.insert(membershipChange_->id);
    peerIds.erase(options_.node.self);
    std::erase_if(peers_, [&](const auto &item) { return !peerIds.contains(item.first); });
    for (const auto id : peerIds) {
        if (!peers_.contains(id))
            peers_[id].next = log_.last() + 1;
    }
}

void core::continueChange()
{
    if (role_ != node_role::Leader || !membershipChange_ || membershipChange_->index != 0
        || transferTarget_ != 0)
        return;
    const auto found = peers_.find(membershipChange_->id);
    if (found == peers_.end() || found->second.rejoining || found->second.matched < barrierIndex_)
        return;
    if (found->second.matched + maxLearnerLagEntries >= log_.last())
        proposeMembership();
}

void core::proposeMembership()
{
    auto changed = voters();
    if (membershipChange_->add) {
        changed.push_back(membershipChange_->id);
    } else {
        std::erase(changed, membershipChange_->id);
    }
    membershipChange_->index = appendAsLeader(entry_kind::Membership, encodeVoters(changed));
    updatePeers();
    replicate();
}

void core::finishChange(result_code code)
{
    membershipChange_.reset();
    actions_.changeOutcome = code;
    if (role_ == node_role::Leader)
        updatePeers();
}

// To be called after the commit index has advanced.
void core::afterCommit()
{
    if (role_ != node_role::Leader)
        return;
    if (membershipChange_ && membershipChange_->index != 0
        && committed_ >= membershipChange_->index)
        finishChange(result_code::Ok);
    if (!isVoter() && memberships_.back().first <= committed_) {
        // A removed leader transfers its leadership immediately.
        startTransfer();
        if (timeoutNowSent_ || transferTarget_ == 0)
            stepDown();
    }
}

} // namespace persimmon::consensus::detail
