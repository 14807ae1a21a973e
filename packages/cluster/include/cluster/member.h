#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "cluster/relay_client.h"
#include "consensus/node.h"
#include "wire/event_loop.h"
#include "wire/rpc_listener.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace persimmon::cluster {

struct member_options
{
    std::string ip; // of this node; its id follows from it
    std::uint16_t rpcPort = 0; // the same on all nodes
    std::string dataFolder;
    std::vector<consensus::voter_id> seeds; // nodes to contact in order to find the group
    bool bootstrap = false; // true: the seeds create the group if it doesn't exist yet
    milliseconds electionTimeout {500};
    milliseconds heartbeat {100};
    // Target number of voters. A voter that has timed out is removed only while the group has more
    // voters than this, that is, after a replacement has joined.
    std::size_t voters = 3;
    milliseconds voterTimeout {4000}; // a voter without an answer for this time may be removed
    wire::rpc_limits limits; // for the connections of peers
};

// A node of the control group: the replicated log with its files, connections and membership. A
// node that is not a voter requests to join until it is one. Not thread-safe: all calls must come
// from the thread of the event loop.
class member
{
public:
    using relay_handler = std::function<void(std::string request, relay_client::completion done)>;

    // Opens the files and starts to listen. Fails with StorageFailed or CorruptFile.
    static result<std::unique_ptr<member>> open(wire::event_loop &loop,
                                                const member_options &options,
                                                consensus::state_machine &machine);

    virtual ~member() = default;

    // Sets the handler that executes relayed requests on the leader.
    virtual void onRelay(relay_handler handler) = 0;

    // Sets the callback for changes of leadership. It is called with the term when this node
    // becomes the leader, and with 0 when it no longer leads.
    virtual void onLeadershipChange(std::function<void(std::uint64_t term)> callback) = 0;

    // Sets the callback for failed writes to the data folder.
    virtual void onStorageFailure(std::function<void()> callback) = 0;

    // Proposes a command. Once it is committed, the callback gets the state machine's reply; see
    // consensus::node::propose().
    virtual void propose(consensus::byte_buffer command,
                         std::function<void(result<consensus::byte_buffer>)> done)
            = 0;

    // Returns whether this node is the leader and may answer reads from its state.
    virtual bool canServeReads() const = 0;

    // Returns the id of the last known leader, or 0 if there is none.
    virtual consensus::voter_id leader() const = 0;

    virtual consensus::node_status currentStatus() const = 0;

    // Transfers leadership to another node. The callback runs when this node no longer leads or the
    // limit has expired.
    virtual void transferLeadership(milliseconds limit, std::function<void()> done) = 0;
};

} // namespace persimmon::cluster
