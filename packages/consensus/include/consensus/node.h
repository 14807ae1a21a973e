#pragma once

#include "base/clock.h"
#include "consensus/state_machine.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace persimmon::consensus {

class storage;

enum class node_role : std::uint8_t { Learner, Follower, Candidate, Leader };

struct node_options
{
    voter_id self = 0;
    std::vector<voter_id> voters; // initial membership; later ones are read from the log
    milliseconds electionTimeout {300}; // must be equal on all nodes; the lease depends on it
    milliseconds heartbeat {60};
    // Log entries between snapshots; a log of more than 16 MiB also triggers a snapshot.
    std::uint64_t snapshotEntries = 10000;
    std::uint64_t seed = 1; // seed of the randomized election time-out
};

struct peer_status
{
    voter_id id = 0;
    bool voter = false;
    log_index matched = 0;
    // Send time of the newest message acknowledged in this term; min() if none and for this node.
    time_point acked = time_point::min();
};

struct node_status
{
    node_role role = node_role::Follower;
    voter_id leader = 0; // 0: unknown
    term_number term = 0;
    log_index committed = 0;
    log_index applied = 0;
    log_index lastIndex = 0;
    log_index snapshotIndex = 0;
    // Only the leader lists learners and the progress of other nodes.
    std::vector<peer_status> peers;
};

// Sends encoded messages to other nodes. Messages may be lost, reordered or duplicated.
class transport
{
public:
    virtual ~transport() = default;
    virtual void send(voter_id to, byte_view message) = 0;
};

// One member of a consensus group: replicates a state machine through a log with leader election
// and snapshots. Not thread-safe: all calls must come from one thread. The caller provides the
// time.
class node
{
public:
    // Receives the reply of state_machine::apply(), or NotLeader, NoQuorum or StorageFailed. After
    // NoQuorum and StorageFailed the command may still be committed later; after NotLeader it is
    // never committed. Proposals fail with NoQuorum after five election time-outs.
    using completion = std::function<void(result<byte_buffer>)>;

    // Opens a node on its storage: loads the snapshot and the log and restores the state machine.
    // A node with a lost or damaged log is a learner until a leader admits it again. A new folder
    // is treated as a lost log unless all initial voters report an uninitialized log as well;
    // therefore the first start of a group requires all its voters. Fails with StorageFailed.
    static result<std::unique_ptr<node>> open(const node_options &options, storage &files,
                                              transport &network, state_machine &machine,
                                              time_point now);

    virtual ~node() = default;

    // Drives elections, heartbeats and time-outs; to be called about every 10 ms.
    virtual void tick(time_point now) = 0;

    // Handles one message from another node. Malformed messages are ignored.
    virtual void receive(time_point now, byte_view message) = 0;

    // Proposes a command. The completion runs once, after the command was applied or has failed.
    virtual void propose(time_point now, byte_buffer command, completion done) = 0;

    // Returns whether reads of the state machine are linearizable: this node is the leader, its
    // lease is valid and it has applied an entry of its own term.
    virtual bool canServeReads(time_point now) const = 0;

    // Transfers leadership to the reachable voter with the most complete log. Has no effect unless
    // this node is the leader. During the transfer, proposals fail with NotLeader. If the transfer
    // does not finish within an election time-out, this node stays leader or steps down.
    virtual void transferLeadership(time_point now) = 0;

    // Adds a learner that becomes a voter once it has caught up and synced, or removes a voter.
    // Changes are made one at a time. Fails with InProgress, NotLeader, InvalidValue (removal of
    // the last voter, or ID 0) or NoQuorum. After NoQuorum the change may still be committed later,
    // unless it failed because the learner did not catch up within ten election time-outs.
    virtual void addVoter(time_point now, voter_id id, completion done) = 0;
    virtual void removeVoter(time_point now, voter_id id, completion done) = 0;

    virtual node_status currentStatus() const = 0;
};

} // namespace persimmon::consensus
