#include "core.h"

#include <algorithm>

namespace persimmon::consensus::detail {

void core::resetElectionDeadline()
{
    const auto timeout = std::chrono::microseconds(options_.node.electionTimeout);
    const auto extra = nextRandom() % static_cast<std::uint64_t>(timeout.count());
    electionDeadline_ = now_ + timeout + std::chrono::microseconds(extra);
}

// A leader counts as heard for one election time-out after its last message. A restarted node does
// not know when it last heard one and therefore waits as if it had just done so; without this, a
// restart would let a vote break the leader's lease.
bool core::hearsLeader() const
{
    return role_ == node_role::Leader || now_ < heard_ + options_.node.electionTimeout;
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
    out_.lostLeadership = true;
    transferTo_ = 0;
    transferSent_ = false;
    peers_.clear();
    if (change_)
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
        preVote ? send(request) : sendDurable(request);
    }
    votes_.insert(options_.node.self);
    countVotes();
}

void core::countVotes()
{
    // The own vote counts only once it is durable.
    if (!preVote_ && voteToken_ > synced_)
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
    heartbeatAt_ = now_ + options_.node.heartbeat;
    transferTo_ = 0;
    transferSent_ = false;
    change_.reset();
    uncommittedBytes_ = 0;
    peers_.clear();
    updatePeers();
    barrier_ = appendOwn(entry_kind::Barrier, {});
    for (auto &[id, to] : peers_)
        sendAppend(id, to, true);
    maybeCommit();
}

void core::onVoteRequest(const message &input)
{
    // Votes are refused while a leader is heard; the leader's lease relies on it. Only an election
    // that the leader itself asked for passes.
    if (!input.transfer && hearsLeader())
        return;
    if (!input.preVote && input.term > term_)
        becomeFollower(input.term, 0);
    const bool rightTerm = input.preVote ? input.term > term_ : input.term == term_;
    const bool freeVote = input.preVote || votedFor_ == 0 || votedFor_ == input.from;
    auto answer = reply(message_kind::VoteReply, input);
    answer.preVote = input.preVote;
    answer.granted = canVote() && rightTerm && freeVote && upToDate(input);
    if (!answer.granted) {
        send(std::move(answer));
        return;
    }
    if (input.preVote) {
        answer.term = input.term;
        send(std::move(answer));
        return;
    }
    if (votedFor_ == 0) {
        votedFor_ = input.from;
        saveVote();
    }
    resetElectionDeadline();
    sendDurable(std::move(answer));
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
        // A voter that does not answer can't take over.
        if (other.acked + options_.node.electionTimeout < now_)
            continue;
        if (best == nullptr
            || std::pair(other.matched, other.acked) > std::pair(best->matched, best->acked)) {
            best = &other;
            transferTo_ = id;
        }
    }
    if (best == nullptr)
        return;
    transferDeadline_ = now_ + options_.node.electionTimeout;
    continueTransfer();
}

void core::continueTransfer()
{
    const auto found = peers_.find(transferTo_);
    if (transferTo_ == 0 || transferSent_ || found == peers_.end())
        return;
    if (found->second.matched == log_.last()) {
        transferSent_ = true;
        sendTimeoutNow(transferTo_);
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

// Returns the latest time at which a majority of voters is known to have heard this leader.
time_point core::quorumContact() const
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
