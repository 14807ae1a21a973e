#pragma once

#include "base/settings.h"
#include "consensus/node.h"
#include "wire/event_loop.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace persimmon::apps {

// Sends messages to the other voters over one outgoing connection each. Nothing blocks the loop:
// messages that a slow or lost voter can't take are dropped, and the replicated log sends again.
class peer_transport final : public consensus::transport
{
public:
    // Returns the address for calls between processes of a node.
    using address_of = std::function<voter_address(consensus::voter_id)>;

    peer_transport(wire::event_loop &loop, const settings &values);

    // Connects to any node that is sent to; addresses follow from the ids. A connection without an
    // acknowledgement for the silence limit counts as cut.
    peer_transport(wire::event_loop &loop, address_of addresses, milliseconds silenceLimit);
    ~peer_transport() override;

    void send(consensus::voter_id to, consensus::byte_view message) override;

    // Asks another voter to shut down. Fails with NotFound, RpcFailed or Timeout.
    void requestDrain(consensus::voter_id id, const std::function<void(status)> &done);

    // Messages dropped since the start.
    std::uint64_t dropped() const;

private:
    class implementation;

    std::unique_ptr<implementation> implementation_;
};

} // namespace persimmon::apps
