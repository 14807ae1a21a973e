#include "core.h"

#include <algorithm>

namespace persimmon::consensus::detail {

namespace {

bool contains(const std::vector<voter_id> &ids, voter_id id)
{
    return std::ranges::find(ids, id) != ids.end();
}

} // namespace

core::core(core_options options, const stored_state &stored, time_point now)
    : options_(std::move(options))
    , now_(now)
    , term_(stored.vote.term)
    , votedFor_(stored.vote.votedFor)
    , disk_(stored.vote.disk != 0 ? stored.vote.disk : options_.disk)
    , rejoining_(stored.fresh || stored.damaged || stored.vote.rejoining)
    , fresh_(stored.fresh && !stored.damaged)
    , leaderContact_(now)
    , randomState_(options_.node.seed * 0x9e3779b97f4a7c15ULL + options_.node.self)
{
    memberships_.emplace_back(0, options_.node.voters);
    if (stored.snapshot.index != 0) {
        snapshot_ = std::make_shared<snapshot_record>(stored.snapshot);
        memberships_.back() = {snapshot_->index, snapshot_->voters};
        log_.reset(snapshot_->index, snapshot_->term);
        committed_ = applied_ = snapshot_->index;
    }
    for (const auto &entry : stored.entries) {
        log_.append(entry);
        if (entry.kind == entry_kind::Membership)
            memberships_.emplace_back(entry.index, decodeVoters(entry.payload));
    }
    durableIndex_ = log_.last();
    role_ = canCampaign() ? node_role::Follower : node_role::Learner;
    resetElectionDeadline();
}

actions core::step(time_point now, event input)
{
    now_ = std::max(now_, now);
    actions_ = {};
    if (failed_) {
        actions_.rejection = result_code::StorageFailed;
        return std::move(actions_);
    }
    std::visit([this](auto &value) { handle(value); }, input);
    finishStep();
    return std::move(actions_);
}

void core::finishStep()
{
    if (role_ != node_role::Leader && role_ != node_role::Candidate)
        role_ = canCampaign() ? node_role::Follower : node_role::Learner;
    if (wroteInStep_) {
        actions_.syncToken = ++requestedToken_;
        wroteInStep_ = false;
        unsynced_.emplace_back(requestedToken_, log_.last());
    }
    actions_.applyUpTo = committed_;
}

void core::handle(const tick_event &)
{
    if (role_ == node_role::Leader) {
        tickLeader();
        return;
    }
    if (fresh_ && rejoining_)
        sendProbes();
    if (!canCampaign())
        return;
    const bool soleVoter
            = voters() == std::vector {options_.node.self} && role_ != node_role::Candidate;
    if (soleVoter || now_ >= electionDeadline_)
        startElection(true, false);
}

void core::tickLeader()
{
    const auto timeout = options_.node.electionTimeout;
    if (std::max(quorumAckTime(), leaderSince_) + timeout < now_) {
        stepDown();
        return;
    }
    if (transferTarget_ != 0 && now_ >= transferDeadline_) {
        // After TimeoutNow was sent, an election that bypasses the lease may start at any time, so
        // this leader must not use its lease again.
        if (timeoutNowSent_) {
            stepDown();
            return;
        }
        transferTarget_ = 0;
    }
    if (membershipChange_ && membershipChange_->index == 0 && now_ >= membershipChange_->deadline)
        finishChange(result_code::NoQuorum);
    if (now_ >= nextHeartbeat_) {
        nextHeartbeat_ = now_ + options_.node.heartbeat;
        for (auto &[id, to] : peers_)
            sendAppend(id, to, true);
    }
}

void core::handle(message_event &input)
{
    if (input.value.to != options_.node.self || input.value.from == options_.node.self)
        return;
    dispatch(input.value);
}

void core::dispatch(message &input)
{
    switch (input.kind) {
    case message_kind::VoteRequest:
        return onVoteRequest(input);
    case message_kind::VoteReply:
        return onVoteReply(input);
    case message_kind::Append:
        return onAppend(input);
    case message_kind::AppendReply:
        return onAppendReply(input);
    case message_kind::Snapshot:
        return onSnapshot(input);
    case message_kind::SnapshotReply:
        return onSnapshotReply(input);
    case message_kind::TimeoutNow:
        return onTimeoutNow(input);
    case message_kind::Probe:
        return onProbe(input);
    case message_kind::ProbeReply:
        return onProbeReply(input);
    case message_kind::Admit:
        return onAdmit(input);
    }
}

void core::handle(const synced_event &input)
{
    if (!input.ok) {
        failed_ = true;
        stepDown();
        role_ = node_role::Learner;
        deferredMessages_.clear();
        return;
    }
    syncedToken_ = std::max(syncedToken_, input.token);
    while (!unsynced_.empty() && unsynced_.front().first <= syncedToken_) {
        durableIndex_ = std::max(durableIndex_, unsynced_.front().second);
        unsynced_.pop_front();
    }
    while (!deferredMessages_.empty() && deferredMessages_.front().first <= syncedToken_) {
        auto value = std::move(deferredMessages_.front().second);
        deferredMessages_.pop_front();
        // Replies of an older term are obsolete.
        if (value.term == term_)
            send(std::move(value));
    }
    if (role_ == node_role::Candidate)
        countVotes();
    if (role_ == node_role::Leader)
        maybeCommit();
}

void core::handle(propose_event &input)
{
    if (role_ != node_role::Leader || transferTarget_ != 0) {
        actions_.rejection = result_code::NotLeader;
        return;
    }
    if (uncommittedBytes_ + input.command.size() > options_.uncommittedBytes) {
        actions_.rejection = result_code::NoQuorum;
        return;
    }
    actions_.proposed = appendAsLeader(entry_kind::Command, std::move(input.command));
    replicate();
}

void core::handle(const transfer_event &)
{
    if (role_ == node_role::Leader && transferTarget_ == 0)
        startTransfer();
}

void core::handle(const membership_change_event &input)
{
    if (role_ != node_role::Leader || transferTarget_ != 0) {
        actions_.rejection = result_code::NotLeader;
    } else if (membershipChange_ || committed_ < barrierIndex_
               || memberships_.back().first > committed_) {
        // An entry of the current term must be committed first; otherwise two leaders could commit
        // changes with majorities that do not intersect.
        actions_.rejection = result_code::InProgress;
    } else if (input.id == 0 || (!input.add && voters() == std::vector {input.id})) {
        actions_.rejection = result_code::InvalidValue;
    } else if (contains(voters(), input.id) == input.add) {
        actions_.changeOutcome = result_code::Ok;
    } else {
        const auto changeTimeout = 10 * options_.node.electionTimeout;
        membershipChange_
                = pending_membership_change {input.id, input.add, 0, now_ + changeTimeout};
        if (!input.add)
            proposeMembership();
        updatePeers();
        replicate();
    }
}

void core::handle(compact_event &input)
{
    if (input.index > applied_ || (snapshot_ && input.index <= snapshot_->index))
        return;
    auto record = std::make_shared<snapshot_record>();
    record->index = input.index;
    record->term = *log_.termAt(input.index);
    record->state = std::move(input.state);
    while (memberships_.size() > 1 && memberships_[1].first <= input.index)
        memberships_.erase(memberships_.begin());
    record->voters = memberships_.front().second;
    actions_.snapshot = record;
    snapshot_ = std::move(record);
    wroteInStep_ = true;
    // Keeps a quarter of the snapshot interval so that a slightly lagging peer catches up from the
    // log instead of a snapshot.
    const auto keep = options_.node.snapshotEntries / 4;
    const auto base = input.index > keep ? input.index - keep : 0;
    if (base > log_.base())
        log_.compactTo(base);
    while (log_.base() < input.index && log_.bytes() > options_.logBytes / 4)
        log_.compactTo(log_.base() + 1);
}

void core::saveVote()
{
    actions_.vote = vote_record {term_, votedFor_, disk_, rejoining_};
    wroteInStep_ = true;
    voteToken_ = currentToken();
}

void core::send(message value)
{
    value.from = options_.node.self;
    actions_.messages.push_back(std::move(value));
}

// Sends the message after all writes so far, including those of this step, are synced.
void core::sendAfterSync(message value)
{
    if (currentToken() <= syncedToken_) {
        send(std::move(value));
    } else {
        deferredMessages_.emplace_back(currentToken(), std::move(value));
    }
}

message core::makeReply(message_kind kind, const message &to) const
{
    message value;
    value.kind = kind;
    value.to = to.from;
    value.term = term_;
    value.stamp = to.stamp;
    value.disk = disk_;
    value.rejoining = rejoining();
    return value;
}

bool core::isVoter() const
{
    return contains(voters(), options_.node.self);
}

// Returns whether this node may start an election. A voter that is being removed may do so until
// its removal is committed: it may hold the most complete log, and then the remaining voters could
// not elect any other node.
bool core::canCampaign() const
{
    if (!canVote() || isVoter())
        return canVote();
    const auto count = memberships_.size();
    return count > 1 && memberships_.back().first > committed_
            && contains(memberships_[count - 2].second, options_.node.self);
}

log_index core::appendAsLeader(entry_kind kind, byte_buffer payload)
{
    log_entry entry {log_.last() + 1, term_, kind, std::move(payload)};
    const auto index = entry.index;
    uncommittedBytes_ += entry.payload.size();
    if (kind == entry_kind::Membership)
        memberships_.emplace_back(index, decodeVoters(entry.payload));
    actions_.append.push_back(entry);
    log_.append(std::move(entry));
    wroteInStep_ = true;
    return index;
}

// SplitMix64. Standard distributions differ between libraries, which would break fixed seeds.
std::uint64_t core::nextRandom()
{
    randomState_ += 0x9e3779b97f4a7c15ULL;
    auto value = randomState_;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

bool core::needsSnapshot() const
{
    const auto from = snapshot_ ? snapshot_->index : 0;
    const bool large = log_.bytes() > options_.logBytes + uncommittedBytes_;
    return applied_ >= from + options_.node.snapshotEntries || (large && applied_ > from);
}

bool core::canServeReads(time_point now) const
{
    // The lease is shorter than the time for which followers reject vote requests, because clocks
    // of two machines may run at different rates. One eighth is far above the drift of real clocks.
    const auto timeout = options_.node.electionTimeout;
    const auto lease = timeout - timeout / 8;
    return role_ == node_role::Leader && !timeoutNowSent_ && applied_ >= barrierIndex_
            && now < quorumAckTime() + lease;
}

node_status core::currentStatus() const
{
    node_status value;
    value.role = role_;
    value.leader = leader_;
    value.term = term_;
    value.committed = committed_;
    value.applied = applied_;
    value.lastIndex = log_.last();
    value.snapshotIndex = snapshot_ ? snapshot_->index : 0;
    for (const auto id : voters()) {
        const bool own = id == options_.node.self;
        const auto found = peers_.find(id);
        const bool tracked = found != peers_.end();
        value.peers.push_back({id, true,
                               own ? durableIndex_ : (tracked ? found->second.matched : 0),
                               tracked ? found->second.acked : time_point::min()});
    }
    for (const auto &[id, other] : peers_) {
        if (!contains(voters(), id))
            value.peers.push_back({id, false, other.matched, other.acked});
    }
    return value;
}

} // namespace persimmon::consensus::detail
