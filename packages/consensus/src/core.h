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

// Events of the core.
struct tick_event
{
};

struct message_event
{
    message value;
};

struct synced_event
{
    std::uint64_t token = 0; // of the sync that completed; covers all earlier ones
    bool ok = false;
};

struct propose_event
{
    byte_buffer command;
};

struct transfer_event
{
};

struct change_event
{
    voter_id id = 0;
    bool add = false;
};

// The state machine's state at an applied index, for compaction.
struct compact_event
{
    log_index index = 0;
    byte_buffer state;
};

using event = std::variant<tick_event, message_event, synced_event, propose_event, transfer_event,
                           change_event, compact_event>;

using snapshot_ptr = std::shared_ptr<const snapshot_record>;

// What the caller has to do after a step, in this order: restore, writes, sync, messages, apply.
struct actions
{
    snapshot_ptr restore; // replaces the state of the state machine
    snapshot_ptr snapshot; // to be written
    std::vector<log_entry> append; // to be written
    std::optional<vote_record> vote; // to be written
    std::uint64_t syncToken = 0; // not 0: sync, then pass a synced_event with this token
    std::vector<message> messages;
    log_index applyUpTo = 0; // committed entries up to here are to be applied
    log_index proposed = 0; // index of the proposed command; 0: refused
    result_code refusal = result_code::Ok;
    bool lostLeadership = false; // proposals that are not applied yet may or may not commit
    std::optional<result_code> change; // outcome of the membership change
};

struct core_options
{
    node_options node;
    std::uint64_t disk = 0; // identity for a disk without a usable log; must differ per loss
    std::uint64_t batchBytes = std::uint64_t {256} << 10U; // of one Append and one snapshot chunk
    std::uint64_t uncommittedBytes = std::uint64_t {32} << 20U; // limit of proposals in flight
    std::uint64_t logBytes = std::uint64_t {16} << 20U; // log size that asks for a snapshot
};

// Replicated log without I/O, clocks or threads: Raft with pre-vote, quorum check, leader lease,
// learners and one membership change at a time.
//
// Rejoining after a lost disk. A node whose disk may have lost votes or acknowledged entries
// neither votes nor counts in any quorum ("rejoining"; stored durably). Its leader commits a new
// entry E that repeats the membership after it first hears from the new disk. E is committed by a
// majority that excludes the rejoiner. Once the rejoiner has synced everything up to E, the leader
// admits it (Admit). This is safe because every majority M that stored E intersects every majority
// that elected a leader or committed an entry in a node other than the rejoiner. Hence the leader
// of E holds all entries that the rejoiner ever helped commit, the rejoiner holds them again when
// it is admitted, and no older candidate, which lacks E, can still win with a vote from before the
// loss. A second disk lost afterwards is therefore an ordinary single loss. A fresh disk is treated
// alike, with one exception: if every initial voter answers that it has neither a term nor an
// entry, the group is new and the node starts to vote. The first start of a group hence needs all
// its voters.
class core
{
public:
    core(core_options options, const stored_state &stored, time_point now);

    actions step(time_point now, event input);

    // Tells that the caller has applied the entries up to the index.
    void markApplied(log_index index) { applied_ = index; }

    const log_entry &entryAt(log_index index) const { return log_.at(index); }
    bool canServeReads(time_point now) const;
    bool wantsSnapshot() const;
    node_status currentStatus() const;
    bool failed() const { return failed_; }
    bool rejoining() const { return rejoining_ || synced_ < admitToken_; }
    const snapshot_ptr &snapshot() const { return snapshot_; }
    const std::vector<voter_id> &voters() const { return memberships_.back().second; }
    log_index applied() const { return applied_; }

private:
    struct peer
    {
        log_index next = 1;
        log_index matched = 0; // durable on the peer
        time_point acked
                = time_point::min(); // send time of the newest message it answered in this term
        bool probing = true; // position unknown: one Append at a time
        std::deque<log_index> inFlight; // last index of each unanswered Append
        time_point sent {};
        bool rejoining = false;
        std::uint64_t disk = 0;
        log_index admitIndex = 0; // entry that must be committed without the peer; 0: none yet
        snapshot_ptr snapshot; // being sent
        std::uint64_t offset = 0;
    };

    struct pending_change
    {
        voter_id id = 0;
        bool add = false;
        log_index index = 0; // of the Membership entry; 0: the learner is catching up
        time_point deadline {};
    };

    // core.cc
    void handle(const tick_event &);
    void handle(message_event &input);
    void handle(const synced_event &input);
    void handle(propose_event &input);
    void handle(const transfer_event &);
    void handle(const change_event &input);
    void handle(compact_event &input);
    void dispatch(message &input);
    void tickLeader();
    void finishStep();
    void saveVote();
    std::uint64_t currentWrite() const { return written_ + (dirty_ ? 1 : 0); }
    void send(message value);
    void sendDurable(message value);
    message reply(message_kind kind, const message &to) const;
    bool isVoter() const;
    bool mayStand() const;
    bool canVote() const { return !rejoining() && !failed_; }
    log_index appendOwn(entry_kind kind, byte_buffer payload);
    std::uint64_t nextRandom();

    // core-election.cc
    void becomeFollower(term_number term, voter_id leader);
    void stepDown();
    void resetElectionDeadline();
    bool hearsLeader() const;
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
    time_point quorumContact() const;

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
    bool noteReply(const message &input);
    void sendAppend(voter_id id, peer &to, bool heartbeat);
    void sendEntries(voter_id id, peer &to);
    void sendChunk(voter_id id, peer &to);
    void replicate();
    void maybeCommit();

    // core-members.cc
    void onProbe(const message &input);
    void onProbeReply(const message &input);
    void onAdmit(const message &input);
    void sendProbes();
    bool blank() const;
    void continueAdmission(voter_id id, peer &from);
    void updatePeers();
    void continueChange();
    void proposeMembership();
    void finishChange(result_code code);
    void afterCommit();

    core_options options_;
    time_point now_ {};
    actions out_;
    bool failed_ = false;

    // Durable state
    term_number term_ = 0;
    voter_id votedFor_ = 0;
    std::uint64_t disk_ = 0;
    bool rejoining_ = false;
    bool fresh_ = false; // the folder never held a log before this start
    memory_log log_;
    snapshot_ptr snapshot_;
    std::vector<std::pair<log_index, std::vector<voter_id>>> memberships_; // newest last

    // Syncs
    bool dirty_ = false; // this step wrote something
    std::uint64_t written_ = 0; // token of the newest sync asked for
    std::uint64_t synced_ = 0;
    std::uint64_t voteToken_ = 0; // covers the newest vote
    std::uint64_t admitToken_ = 0; // covers the end of rejoining
    log_index durable_ = 0; // entries up to here are synced
    std::deque<std::pair<std::uint64_t, log_index>> unsynced_; // token, last index it covers
    std::deque<std::pair<std::uint64_t, message>> held_; // wait for a token

    node_role role_ = node_role::Follower;
    bool preVote_ = false; // the candidate has not raised its term yet
    bool transferElection_ = false;
    voter_id leader_ = 0;
    log_index committed_ = 0;
    log_index applied_ = 0;
    time_point heard_ {}; // from the leader; at the start: the start, see hearsLeader()
    time_point electionDeadline_ {};
    std::set<voter_id> votes_;
    std::set<voter_id> blankVoters_;
    time_point probed_ {};
    std::uint64_t random_ = 0;

    // Leader
    std::map<voter_id, peer> peers_;
    time_point leaderSince_ {};
    time_point heartbeatAt_ {};
    log_index barrier_ = 0; // first entry of the own term
    std::uint64_t uncommittedBytes_ = 0;
    voter_id transferTo_ = 0;
    bool transferSent_ = false;
    time_point transferDeadline_ {};
    std::optional<pending_change> change_;

    // Follower: snapshot being received
    snapshot_record incoming_;
    std::uint64_t incomingTotal_ = 0;
    term_number incomingFrom_ = 0; // term of the sending leader
};

} // namespace persimmon::consensus::detail
