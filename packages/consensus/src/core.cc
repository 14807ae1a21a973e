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
    , heard_(now)
    , random_(options_.node.seed * 0x9e3779b97f4a7c15ULL + options_.node.self)
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
    durable_ = log_.last();
    role_ = mayStand() ? node_role::Follower : node_role::Learner;
    resetElectionDeadline();
}

actions core::step(time_point now, event input)
{
    now_ = std::max(now_, now);
    out_ = {};
    if (failed_) {
        out_.refusal = result_code::StorageFailed;
        return std::move(out_);
    }
    std::visit([this](auto &value) { handle(value); }, input);
    finishStep();
    return std::move(out_);
}

void core::finishStep()
{
    if (role_ != node_role::Leader && role_ != node_role::Candidate)
        role_ = mayStand() ? node_role::Follower : node_role::Learner;
    if (dirty_) {
        out_.syncToken = ++written_;
        dirty_ = false;
        unsynced_.emplace_back(written_, log_.last());
    }
    out_.applyUpTo = committed_;
}

void core::handle(const tick_event &)
{
    if (role_ == node_role::Leader) {
        tickLeader();
        return;
    }
    if (fresh_ && rejoining_)
        sendProbes();
    if (!mayStand())
        return;
    const bool alone
            = voters() == std::vector {options_.node.self} && role_ != node_role::Candidate;
    if (alone || now_ >= electionDeadline_)
        startElection(true, false);
}

void core::tickLeader()
{
    const auto timeout = options_.node.electionTimeout;
    if (std::max(quorumContact(), leaderSince_) + timeout < now_) {
        stepDown();
        return;
    }
    if (transferTo_ != 0 && now_ >= transferDeadline_) {
        // Once TimeoutNow was sent, an election that ignores the lease may start at any time, so
        // this leader must not serve under its lease again.
        if (transferSent_) {
            stepDown();
            return;
        }
        transferTo_ = 0;
    }
    if (change_ && change_->index == 0 && now_ >= change_->deadline)
        finishChange(result_code::NoQuorum);
    if (now_ >= heartbeatAt_) {
        heartbeatAt_ = now_ + options_.node.heartbeat;
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
        held_.clear();
        return;
    }
    synced_ = std::max(synced_, input.token);
    while (!unsynced_.empty() && unsynced_.front().first <= synced_) {
        durable_ = std::max(durable_, unsynced_.front().second);
        unsynced_.pop_front();
    }
    while (!held_.empty() && held_.front().first <= synced_) {
        auto value = std::move(held_.front().second);
        held_.pop_front();
        // Answers of an older term are of no use any more.
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
    if (role_ != node_role::Leader || transferTo_ != 0) {
        out_.refusal = result_code::NotLeader;
        return;
    }
    if (uncommittedBytes_ + input.command.size() > options_.uncommittedBytes) {
        out_.refusal = result_code::NoQuorum;
        return;
    }
    out_.proposed = appendOwn(entry_kind::Command, std::move(input.command));
    replicate();
}

void core::handle(const transfer_event &)
{
    if (role_ == node_role::Leader && transferTo_ == 0)
        startTransfer();
}

void core::handle(const change_event &input)
{
    if (role_ != node_role::Leader || transferTo_ != 0) {
        out_.refusal = result_code::NotLeader;
    } else if (change_ || committed_ < barrier_ || memberships_.back().first > committed_) {
        // An entry of the own term must be committed first; otherwise two leaders could commit
        // changes with majorities that do not intersect.
        out_.refusal = result_code::InProgress;
    } else if (input.id == 0 || (!input.add && voters() == std::vector {input.id})) {
        out_.refusal = result_code::InvalidValue;
    } else if (contains(voters(), input.id) == input.add) {
        out_.change = result_code::Ok;
    } else {
        const auto patience = 10 * options_.node.electionTimeout;
        change_ = pending_change {input.id, input.add, 0, now_ + patience};
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
    auto made = std::make_shared<snapshot_record>();
    made->index = input.index;
    made->term = *log_.termAt(input.index);
    made->state = std::move(input.state);
    while (memberships_.size() > 1 && memberships_[1].first <= input.index)
        memberships_.erase(memberships_.begin());
    made->voters = memberships_.front().second;
    out_.snapshot = made;
    snapshot_ = std::move(made);
    dirty_ = true;
    // A peer that is slightly behind catches up from the entries kept here, without a snapshot.
    const auto keep = options_.node.snapshotEntries / 4;
    const auto base = input.index > keep ? input.index - keep : 0;
    if (base > log_.base())
        log_.compactTo(base);
    while (log_.base() < input.index && log_.bytes() > options_.logBytes / 4)
        log_.compactTo(log_.base() + 1);
}

void core::saveVote()
{
    out_.vote = vote_record {term_, votedFor_, disk_, rejoining_};
    dirty_ = true;
    voteToken_ = currentWrite();
}

void core::send(message value)
{
    value.from = options_.node.self;
    out_.messages.push_back(std::move(value));
}

// Sends the message once everything written so far, including in this step, is synced.
void core::sendDurable(message value)
{
    if (currentWrite() <= synced_) {
        send(std::move(value));
    } else {
        held_.emplace_back(currentWrite(), std::move(value));
    }
}

message core::reply(message_kind kind, const message &to) const
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

// A voter that is being removed stands for election until the removal is committed. It may hold the
// only log that the remaining voters accept, and they could not elect anyone else.
bool core::mayStand() const
{
    if (!canVote() || isVoter())
        return canVote();
    const auto count = memberships_.size();
    return count > 1 && memberships_.back().first > committed_
            && contains(memberships_[count - 2].second, options_.node.self);
}

log_index core::appendOwn(entry_kind kind, byte_buffer payload)
{
    log_entry entry {log_.last() + 1, term_, kind, std::move(payload)};
    const auto index = entry.index;
    uncommittedBytes_ += entry.payload.size();
    if (kind == entry_kind::Membership)
        memberships_.emplace_back(index, decodeVoters(entry.payload));
    out_.append.push_back(entry);
    log_.append(std::move(entry));
    dirty_ = true;
    return index;
}

// SplitMix64; the standard distributions differ between libraries, which would break fixed seeds.
std::uint64_t core::nextRandom()
{
    random_ += 0x9e3779b97f4a7c15ULL;
    auto value = random_;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

bool core::wantsSnapshot() const
{
    const auto from = snapshot_ ? snapshot_->index : 0;
    const bool large = log_.bytes() > options_.logBytes + uncommittedBytes_;
    return applied_ >= from + options_.node.snapshotEntries || (large && applied_ > from);
}

bool core::canServeReads(time_point now) const
{
    // The lease is shorter than the time for which followers refuse to vote, because clocks of two
    // machines may run at rates that differ; an eighth is far above the drift of real clocks.
    const auto timeout = options_.node.electionTimeout;
    const auto lease = timeout - timeout / 8;
    return role_ == node_role::Leader && !transferSent_ && applied_ >= barrier_
            && now < quorumContact() + lease;
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
        const bool heard = found != peers_.end();
        value.peers.push_back({id, true, own ? durable_ : (heard ? found->second.matched : 0),
                               heard ? found->second.acked : time_point::min()});
    }
    for (const auto &[id, other] : peers_) {
        if (!contains(voters(), id))
            value.peers.push_back({id, false, other.matched, other.acked});
    }
    return value;
}

} // namespace persimmon::consensus::detail
