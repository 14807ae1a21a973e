#include "core.h"

#include <algorithm>

namespace persimmon::consensus::detail {

void core::resetElectionDeadline()
{
    const auto timeout = std::chrono::microseconds(options_.node.electionTimeout);
    const auto extra = nextRandom() % static_cast<std::uint64_t>(timeout.count());
    electionDeadline_ = now_ + timeout + std::chrono::microseconds(extra);
}

// Returns whether a leader's lease may still be valid: this node is the leader, or the last leader
// message is less than one election time-out old. A restarted node has lost the time of that
// message and uses its start time instead; otherwise a vote after a restart could violate the
// lease.
bool core::hasLeaderContact() const
{
    return role_ == node_role::Leader || now_ < leaderContact_ + options_.node.electionTimeout;
}

void core::becomeFollower(term_number term, voter_id leader)
{
    if (role_ == node_role::Leader)
        stepDown();
    if (role_ == node_role::Candidate)
        role_ = node_role::Follower;
    if (term > term_) {
        term_ = term;
        votedFor_ = 0;
        leader_ = 0;
        saveVote();
    }
    if (leader != 0)
        leader_ = leader;
}

void core::stepDown()
{
    if (role_ != node_role::Leader)
        return;
    role_ = node_role::Follower;
    leader_ = 0;
    actions_.lostLeadership = true;
    transferTarget_ = 0;
    timeoutNowSent_ = false;
    peers_.clear();
    if (membershipChange_)
        finishChange(result_code::NoQuorum);
    resetElectionDeadline();
}

bool core::upToDate(const message &input) const
{
    return std::pair(input.logTerm, input.index) >= std::pair(log_.lastTerm(), log_.last());
}

void core::startElection(bool preVote, bool transfer)
{
    role_ = node_role::Candidate;
    preVote_ = preVote;
    transferElection_ = transfer;
    leader_ = 0;
    votes_.clear();
    resetElectionDeadline();
    if (!preVote) {
        ++term_;
        votedFor_ = options_.node.self;
        saveVote();
    }
    message request;
    request.kind = message_kind::VoteRequest;
    request.term = preVote ? term_ + 1 : term_;
    request.index = log_.last();
    request.logTerm = log_.lastTerm();
    request.preVote = preVote;
    request.transfer = transfer;
    for (const auto id : voters()) {
        if (id == options_.node.self)
            continue;
        request.to = id;
        preVote ? send(request) : sendAfterSync(request);
    }
    votes_.insert(options_.node.self);
    countVotes();
}

void core::countVotes()
{
    // The node's own vote counts only after it is durable.
    if (!preVote_ && voteToken_ > syncedToken_)
        return;
    const auto granted
            = std::ranges::count_if(voters(), [this](auto id) { return votes_.contains(id); });
    if (static_cast<std::size_t>(granted) <= voters().size() / 2)
        return;
    if (preVote_) {
        startElection(false, false);
    } else {
        becomeLeader();
    }
}

void core::becomeLeader()
{
    role_ = node_role::Leader;
    leader_ = options_.node.self;
    leaderSince_ = now_;
    nextHeartbeat_ = now_ + options_.node.heartbeat;
    transferTarget_ = 0;
    timeoutNowSent_ = false;
    membershipChange_.reset();
    uncommittedBytes_ = 0;
    peers_.clear();
    updatePeers();
    barrierIndex_ = appendAsLeader(entry_kind::Barrier, {});
    for (auto &[id, to] : peers_)
        sendAppend(id, to, true);
    maybeCommit();
}

void core::onVoteRequest(const message &input)
{
    // The leader's lease requires that vote requests are ignored while there is contact with a
    // leader. The only exception is an election that the leader requested for a transfer.
    if (!input.transfer && hasLeaderContact())
        return;
    if (!input.preVote && input.term > term_)
        becomeFollower(input.term, 0);
    const bool termAcceptable = input.preVote ? input.term > term_ : input.term == term_;
    const bool voteAvailable = input.preVote || votedFor_ == 0 || votedFor_ == input.from;
    auto reply = makeReply(message_kind::VoteReply, input);
    reply.preVote = input.preVote;
    reply.granted = canVote() && termAcceptable && voteAvailable && upToDate(input);
    if (!reply.granted) {
        send(std::move(reply));
        return;
    }
    if (input.preVote) {
        reply.term = input.term;
        send(std::move(reply));
        return;
    }
    if (votedFor_ == 0) {
        votedFor_ = input.from;
        saveVote();
    }
    resetElectionDeadline();
    sendAfterSync(std::move(reply));
}

void core::onVoteReply(const message &input)
{
    if (!input.granted) {
        if (input.term > term_)
            becomeFollower(input.term, 0);
        return;
    }
    const auto expected = preVote_ ? term_ + 1 : term_;
    if (role_ != node_role::Candidate || input.preVote != preVote_ || input.term != expected)
        return;
    votes_.insert(input.from);
    countVotes();
}

void core::onTimeoutNow(const message &input)
{
    if (input.term == term_ && role_ == node_role::Follower && canVote() && isVoter())
        startElection(false, true);
}

void core::startTransfer()
{
    const peer *best = nullptr;
    for (const auto id : voters()) {
        const auto found = peers_.find(id);
        if (found == peers_.end() || found->second.rejoining)
            continue;
        const auto &other = found->second;
        // An unreachable voter cannot take over.
        if (other.acked + options_.node.electionTimeout < now_)
            continue;
        if (best == nullptr
            || std::pair(other.matched, other.acked) > std::pair(best->matched, best->acked)) {
            best = &other;
            transferTarget_ = id;
        }
    }
    if (best == nullptr)
        return;
    transferDeadline_ = now_ + options_.node.electionTimeout;
    continueTransfer();
}

void core::continueTransfer()
{
    const auto found = peers_.find(transferTarget_);
    if (transferTarget_ == 0 || timeoutNowSent_ || found == peers_.end())
        return;
    if (found->second.matched == log_.last()) {
        timeoutNowSent_ = true;
        sendTimeoutNow(transferTarget_);
    }
}

void core::sendTimeoutNow(voter_id to)
{
    message value;
    value.kind = message_kind::TimeoutNow;
    value.to = to;
    value.term = term_;
    send(std::move(value));
}

// Returns the latest send time for which a majority of voters has acknowledged a message of this
// leader sent then or later.
time_point core::quorumAckTime() const
{
    std::vector<time_point> times;
    for (const auto id : voters()) {
        const auto found = peers_.find(id);
        if (id == options_.node.self) {
            times.push_back(time_point::max() - std::chrono::hours(1));
        } else if (found != peers_.end() && !found->second.rejoining) {
            times.push_back(found->second.acked);
        } else {
            times.push_back(time_point::min());
        }
    }
    if (times.empty())
        return {};
    std::ranges::sort(times, std::greater<> {});
    return times[times.size() / 2];
}

} // namespace persimmon::consensus::detail
