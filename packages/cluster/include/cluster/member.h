#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "cluster/relay_client.h"
#include "consensus/node.h"
#include "wire/event_loop.h"

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
    std::vector<consensus::voter_id> seeds; // nodes that may be asked for the group
    bool bootstrap = false; // true: the seeds found the group if it doesn't exist yet
    milliseconds electionTimeout {500};
    milliseconds heartbeat {100};
    std::size_t voters = 3; // wanted; a voter that is gone leaves once a successor has joined
    milliseconds goneAfter {4000}; // silence after which a voter counts as gone
};

// One node of the control group: the replicated log with its files, its connections and its
// membership. A node that is not a voter asks to join until it is one. All calls belong to the
// loop's thread.
class member
{
public:
    using relay_handler = std::function<void(std::string request, relay_client::completion done)>;

    // Opens the files and listens. Fails with StorageFailed or CorruptFile.
    static result<std::unique_ptr<member>> open(wire::event_loop &loop,
                                                const member_options &options,
                                                consensus::state_machine &machine);

    virtual ~member() = default;

    // Sets what executes relayed requests on the leader.
    virtual void onRelay(relay_handler handler) = 0;

    // Sets what happens when this node begins (term) or ends (0) to lead.
    virtual void onLeading(std::function<void(std::uint64_t term)> callback) = 0;

    // Sets what happens when a write to the data folder has failed.
    virtual void onStorageFailure(std::function<void()> callback) = 0;

    // Proposes a command; see consensus::node::propose().
    virtual void propose(consensus::byte_buffer command, std::function<void(status)> done) = 0;

    // True while this node leads and may answer from its state.
    virtual bool serving() const = 0;

    // Id of the leader as far as known, 0: nobody.
    virtual consensus::voter_id leader() const = 0;

    virtual consensus::node_status currentStatus() const = 0;

    // Hands leadership over and calls back when another node leads or the limit has passed.
    virtual void handOver(milliseconds limit, std::function<void()> done) = 0;
};

} // namespace persimmon::cluster
