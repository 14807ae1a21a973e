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
    std::vector<voter_id> voters; // first membership; a later one comes from the log
    milliseconds electionTimeout {300}; // must be equal on all nodes; the lease relies on it
    milliseconds heartbeat {60};
    // Log entries between snapshots; more than 16 MiB of log also cause one.
    std::uint64_t snapshotEntries = 10000;
    std::uint64_t seed = 1; // of the randomized election time-out
};

struct peer_status
{
    voter_id id = 0;
    bool voter = false;
    log_index matched = 0;
    time_point acked = time_point::min(); // last answer in this term; of itself: min
};

struct node_status
{
    node_role role = node_role::Follower;
    voter_id leader = 0; // 0: not known
    term_number term = 0;
    log_index committed = 0;
    log_index applied = 0;
    log_index lastIndex = 0;
    log_index snapshotIndex = 0;
    std::vector<peer_status> peers; // complete on the leader only
};

// Sends encoded messages to other nodes. Messages may be lost, reordered or repeated.
class transport
{
public:
    virtual ~transport() = default;
    virtual void send(voter_id to, byte_view message) = 0;
};

// One member of the control group: replicated log, election and snapshots around a state machine.
// All calls belong to one thread; time comes from the caller.
class node
{
public:
    // Receives the reply of state_machine::apply(), or NotLeader, NoQuorum or StorageFailed. After
    // NoQuorum and StorageFailed the command may still be committed later; after NotLeader it is
    // not. Proposals fail with NoQuorum after five election time-outs.
    using completion = std::function<void(result<byte_buffer>)>;

    // Opens a node on its storage: loads the snapshot and the log and restores the state machine.
    // A lost or damaged log makes the node a learner until a leader readmits it. A new folder
    // counts as lost, unless all voters of the options answer that theirs are new too: the first
    // start of a group needs all its voters. Fails with StorageFailed.
    static result<std::unique_ptr<node>> open(const node_options &options, storage &files,
                                              transport &network, state_machine &machine,
                                              time_point now);

    virtual ~node() = default;

    // Runs elections, heartbeats and time-outs; call about every 10 ms.
    virtual void tick(time_point now) = 0;

    // Handles one message of another node. Malformed messages are ignored.
    virtual void receive(time_point now, byte_view message) = 0;

    // Proposes a command; the completion runs once, after the command is applied or has failed.
    virtual void propose(time_point now, byte_buffer command, completion done) = 0;

    // True while this node is leader, holds its lease and has applied an entry of its own term, so
    // that reads of the state machine are linearizable.
    virtual bool canServeReads(time_point now) const = 0;

    // Hands leadership to the most advanced voter that answers; no effect on other roles. Proposals
    // fail with NotLeader meanwhile. If the voter does not take over within an election time-out,
    // this node stays leader or steps down.
    virtual void transferLeadership(time_point now) = 0;

    // Adds a learner that becomes a voter once it has caught up and synced, or removes a voter.
    // One change at a time: fails with InProgress, NotLeader, InvalidValue for the last voter, or
    // NoQuorum, after which the change may still be committed later unless the learner never
    // caught up within ten election time-outs.
    virtual void addVoter(time_point now, voter_id id, completion done) = 0;
    virtual void removeVoter(time_point now, voter_id id, completion done) = 0;

    virtual node_status currentStatus() const = 0;
};

} // namespace persimmon::consensus
