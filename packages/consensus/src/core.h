#pragma once

#include "consensus/node.h"
#include "memory-log.h"
#include "message.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <variant>

namespace persimmon::consensus::detail {

// Input events of the core.
struct tick_event
{
};

struct message_event
{
    message value;
};

struct synced_event
{
    std::uint64_t token = 0; // token of the completed sync; covers all earlier syncs
    bool ok = false;
};

struct propose_event
{
    byte_buffer command;
};

struct transfer_event
{
};

struct membership_change_event
{
    voter_id id = 0;
    bool add = false;
};

// State of the state machine at an applied index, for log compaction.
struct compact_event
{
    log_index index = 0;
    byte_buffer state;
};

using event = std::variant<tick_event, message_event, synced_event, propose_event, transfer_event,
                           membership_change_event, compact_event>;

using snapshot_ptr = std::shared_ptr<const snapshot_record>;

// Output of a step. The caller executes it in this order: restore, writes, sync, messages, apply.
struct actions
{
    snapshot_ptr restore; // new state of the state machine
    snapshot_ptr snapshot; // snapshot to write
    std::vector<log_entry> append; // entries to write
    std::optional<vote_record> vote; // vote to write
    std::uint64_t syncToken = 0; // if not 0: sync, then pass a synced_event with this token
    std::vector<message> messages;
    log_index applyUpTo = 0; // last committed entry to apply
    log_index proposed = 0; // index of the proposed command; 0: rejected
    result_code rejection = result_code::Ok;
    bool lostLeadership = false; // unapplied proposals may or may not be committed
    std::optional<result_code> changeOutcome; // outcome of the membership change
};

struct core_options
{
    node_options node;
    std::uint64_t disk = 0; // identity of a disk without a usable log; must differ for each loss
    std::uint64_t batchBytes = std::uint64_t {256} << 10U; // limit of an Append or snapshot chunk
    std::uint64_t uncommittedBytes = std::uint64_t {32} << 20U; // limit of proposals in flight
    std::uint64_t logBytes = std::uint64_t {16} << 20U; // log size that triggers a snapshot
};

// Raft state machine without I/O, clocks or threads: Raft with pre-vote, quorum check, leader
// lease, learners and single-step membership changes.
//
// Rejoining after a lost disk: a node whose disk may have lost votes or acknowledged entries
// neither votes nor counts in any quorum (`rejoining`, stored durably). After the first message
// from the new disk, the leader commits a new entry E that repeats the membership. E is committed
// by a majority that excludes the rejoining node. Once that node has synced all entries up to E,
// the leader admits it (Admit). This is safe because every majority that stored E intersects every
// majority that elected a leader or committed an entry in a node other than the rejoining one.
// Hence the leader of E holds all entries that the rejoining node ever helped to commit, that node
// holds them again when it is admitted, and no older candidate, which lacks E, can still win with a
// vote from before the loss. A second disk lost afterwards is therefore an ordinary single loss.
//
// A fresh disk is handled in the same way, with one exception: if every initial voter reports
// neither a term nor an entry, the group is new and the node may vote. Therefore the first start of
// a group requires all its voters.
class core
{
public:
    core(core_options options, const stored_state &stored, time_point now);

    actions step(time_point now, event input);

    // To be called after the caller has applied the entries up to the index.
    void markApplied(log_index index) { applied_ = index; }

    const log_entry &entryAt(log_index index) const { return log_.at(index); }
    bool canServeReads(time_point now) const;
    bool needsSnapshot() const;
    node_status currentStatus() const;
    bool failed() const { return failed_; }
    bool rejoining() const { return rejoining_ || syncedToken_ < admitToken_; }
    const snapshot_ptr &snapshot() const { return snapshot_; }
    const std::vector<voter_id> &voters() const { return memberships_.back().second; }
    log_index applied() const { return applied_; }

private:
    struct peer
    {
        log_index next = 1;
        log_index matched = 0; // last matching entry that is durable on the peer
        // Send time of the newest message acknowledged in this term.
        time_point acked = time_point::min();
        bool probing = true; // matching index unknown: one Append at a time
        std::deque<log_index> inFlight; // last index of each unacknowledged Append
        time_point sent {}; // send time of the newest snapshot chunk
        bool rejoining = false;
        std::uint64_t disk = 0;
        log_index admitIndex = 0; // entry to commit without the peer before admission; 0: none yet
        snapshot_ptr snapshot; // snapshot being sent
        std::uint64_t offset = 0; // of the next chunk
    };

    struct pending_membership_change
    {
        voter_id id = 0;
        bool add = false;
        log_index index = 0; // index of the Membership entry; 0: the learner is catching up
        time_point deadline {};
    };

    // core.cc
    void handle(const tick_event &);
    void handle(message_event &input);
    void handle(const synced_event &input);
    void handle(propose_event &input);
    void handle(const transfer_event &);
    void handle(const membership_change_event &input);
    void handle(compact_event &input);
    void dispatch(message &input);
    void tickLeader();
    void finishStep();
    void saveVote();
    std::uint64_t currentToken() const { return requestedToken_ + (wroteInStep_ ? 1 : 0); }
    void send(message value);
    void sendAfterSync(message value);
    message makeReply(message_kind kind, const message &to) const;
    bool isVoter() const;
    bool canCampaign() const;
    bool canVote() const { return !rejoining() && !failed_; }
    log_index appendAsLeader(entry_kind kind, byte_buffer payload);
    std::uint64_t nextRandom();

    // core-election.cc
    void becomeFollower(term_number term, voter_id leader);
    void stepDown();
    void resetElectionDeadline();
    bool hasLeaderContact() const;
    bool upToDate(const message &input) const;
    void startElection(bool preVote, bool transfer);
    void countVotes();
    void becomeLeader();
    void onVoteRequest(const message &input);
    void onVoteReply(const message &input);
    void onTimeoutNow(const message &input);
    void startTransfer();
    void continueTransfer();
    void sendTimeoutNow(voter_id to);
    time_point quorumAckTime() const;

    // core-follower.cc
    void onAppend(message &input);
    bool storeEntries(message &input);
    void acknowledge(const message &input, log_index verified);
    void onSnapshot(message &input);
    void installSnapshot();
    void commitTo(log_index index);
    void truncateFrom(log_index index);

    // core-leader.cc
    void onAppendReply(const message &input);
    void onSnapshotReply(const message &input);
    bool recordReply(const message &input);
    void sendAppend(voter_id id, peer &to, bool heartbeat);
    message nextAppend(voter_id id, const peer &to) const;
    void sendEntries(voter_id id, peer &to);
    void sendChunk(voter_id id, peer &to);
    void replicate();
    void maybeCommit();

    // core-members.cc
    void onProbe(const message &input);
    void onProbeReply(const message &input);
    void onAdmit(const message &input);
    void sendProbes();
    bool isUninitialized() const;
    void continueAdmission(voter_id id, peer &from);
    void updatePeers();
    void continueChange();
    void proposeMembership();
    void finishChange(result_code code);
    void afterCommit();

    core_options options_;
    time_point now_ {};
    actions actions_;
    bool failed_ = false;

    // Durable state
    term_number term_ = 0;
    voter_id votedFor_ = 0;
    std::uint64_t disk_ = 0;
    bool rejoining_ = false;
    bool fresh_ = false; // the folder held no log before this start
    memory_log log_;
    snapshot_ptr snapshot_;
    std::vector<std::pair<log_index, std::vector<voter_id>>> memberships_; // newest last

    // Syncs
    bool wroteInStep_ = false; // the current step needs a sync
    std::uint64_t requestedToken_ = 0; // token of the newest requested sync
    std::uint64_t syncedToken_ = 0; // token of the newest completed sync
    std::uint64_t voteToken_ = 0; // token of the sync that covers the newest vote
    std::uint64_t admitToken_ = 0; // token of the sync that covers the end of rejoining
    log_index durableIndex_ = 0; // last synced entry
    std::deque<std::pair<std::uint64_t, log_index>> unsynced_; // token, last covered index
    std::deque<std::pair<std::uint64_t, message>> deferredMessages_; // token to wait for

    node_role role_ = node_role::Follower;
    bool preVote_ = false; // the candidate has not incremented its term yet
    bool transferElection_ = false;
    voter_id leader_ = 0;
    log_index committed_ = 0;
    log_index applied_ = 0;
    // Time of the last message from a leader, initially the start time; see hasLeaderContact().
    time_point leaderContact_ {};
    time_point electionDeadline_ {};
    std::set<voter_id> votes_;
    std::set<voter_id> uninitializedVoters_;
    time_point lastProbe_ {};
    std::uint64_t randomState_ = 0;

    // Leader
    std::map<voter_id, peer> peers_;
    time_point leaderSince_ {};
    time_point nextHeartbeat_ {};
    log_index barrierIndex_ = 0; // first entry of the current term
    std::uint64_t uncommittedBytes_ = 0;
    voter_id transferTarget_ = 0;
    bool timeoutNowSent_ = false;
    time_point transferDeadline_ {};
    std::optional<pending_membership_change> membershipChange_;

    // Follower: incoming snapshot
    snapshot_record incoming_;
    std::uint64_t incomingTotal_ = 0;
    term_number incomingTerm_ = 0; // term of the sending leader
};

} // namespace persimmon::consensus::detail
