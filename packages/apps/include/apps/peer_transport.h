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
    peer_transport(wire::event_loop &loop, const settings &values);
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
