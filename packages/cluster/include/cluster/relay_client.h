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
    std::uint16_t port = 0; // of all nodes, for calls between processes
    milliseconds attemptTimeout {900};
    milliseconds connectTimeout {400};
    milliseconds locatePeriod {500};
    milliseconds refuseAfter {1000}; // a request that could not be sent fails after this time
    milliseconds contactLimit {2500}; // after this time without a leader there is no contact
};

// Passes requests to the leader of a group, wherever it is. Requests must be safe to repeat: after
// a lost answer they are sent again until their deadline. All calls belong to the loop's thread.
class relay_client
{
public:
    // Fails with NotReady when no leader can have seen the request, and with OutcomeUnknown or the
    // leader's own error otherwise.
    using completion = std::function<void(result<std::string>)>;

    relay_client(wire::event_loop &loop, relay_options options,
                 std::span<const consensus::voter_id> seeds);
    ~relay_client();
    relay_client(const relay_client &) = delete;
    relay_client &operator=(const relay_client &) = delete;

    void call(std::string request, milliseconds deadline, completion done);

    // Asks each known node where the leader is, now and then; keeps the list of nodes fresh.
    void startLocating();

    // Adds nodes to try.
    void addSeeds(std::span<const consensus::voter_id> seeds);

    // True if a leader was heard of recently.
    bool inContact() const;

    // Asks the leader to make a node a voter.
    void join(consensus::voter_id id);

private:
    class implementation;

    std::unique_ptr<implementation> implementation_;
};

} // namespace persimmon::cluster
