#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "consensus/state_machine.h"
#include "wire/event_loop.h"

#include <functional>
#include <memory>
#include <span>
#include <string>

namespace persimmon::cluster {

struct relay_options
{
    std::uint16_t port = 0; // RPC port, the same on all nodes
    milliseconds attemptTimeout {900};
    milliseconds connectTimeout {400};
    milliseconds locatePeriod {500};
    milliseconds unsentTimeout {1000}; // a request that could not be sent fails after this time
    milliseconds contactTimeout {2500}; // contact is lost after this time without a leader's answer
};

// What a request does at the leader.
enum class call_effect : std::uint8_t { Reads, Changes };

// Sends requests to the current leader of a group. Requests must be idempotent: after a lost answer
// they are sent again until their deadline. Not thread-safe: all calls must come from the thread of
// the event loop.
class relay_client
{
public:
    // Fails with NotReady if the request can't have reached a leader, otherwise with OutcomeUnknown
    // or the error of the leader. An earlier attempt of a request that changes something may have
    // been carried out, so an error of a later attempt doesn't end it unless it is about the
    // content of the request.
    using completion = std::function<void(result<std::string>)>;

    relay_client(wire::event_loop &loop, relay_options options,
                 std::span<const consensus::voter_id> seeds);
    ~relay_client();
    relay_client(const relay_client &) = delete;
    relay_client &operator=(const relay_client &) = delete;

    void call(std::string request, milliseconds deadline, completion done,
              call_effect effect = call_effect::Reads);

    // Starts to locate the leader periodically, by asking the last known leader or else the known
    // nodes in turn. This also updates the list of nodes.
    void startLocating();

    // Adds nodes to the list of nodes that are tried.
    void addSeeds(std::span<const consensus::voter_id> seeds);

    // Returns whether a leader has answered within the contact timeout.
    bool hasLeaderContact() const;

    // Requests from all known nodes that a node be made a voter. Nodes other than the leader ignore
    // the request.
    void join(consensus::voter_id id);

private:
    class implementation;

    std::unique_ptr<implementation> implementation_;
};

} // namespace persimmon::cluster
