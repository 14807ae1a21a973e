#pragma once

#include "base/settings.h"
#include "consensus/node.h"
#include "wire/event_loop.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace persimmon::apps {

// Sends messages to the other voters over one outgoing connection each. Sending never blocks the
// event loop: messages to a slow or unreachable voter are dropped, and the replicated log resends.
class peer_transport final : public consensus::transport
{
public:
    // Maps a voter id to its address.
    using address_resolver = std::function<voter_address(consensus::voter_id)>;

    peer_transport(wire::event_loop &loop, const settings &values);

    // Connects on demand to any voter that a message is sent to; the address is derived from the
    // id. A connection without an acknowledgement within the timeout is closed.
    peer_transport(wire::event_loop &loop, address_resolver resolveAddress,
                   milliseconds ackTimeout);
    ~peer_transport() override;

    void send(consensus::voter_id to, consensus::byte_view message) override;

    // Requests another voter to shut down. Fails with NotFound or RpcFailed.
    void requestDrain(consensus::voter_id id, const std::function<void(status)> &done);

    // Returns the number of messages dropped since the start.
    std::uint64_t dropped() const;

private:
    class implementation;

    std::unique_ptr<implementation> implementation_;
};

} // namespace persimmon::apps
