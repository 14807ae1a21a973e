#pragma once

#include "base/result.h"
#include "wire/event_loop.h"

#include <capnp/capability.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace persimmon::wire {

// Limits of the port between processes. Sizes are in bytes.
struct rpc_limits
{
    // Connections that may be open; 0: an eighth of the descriptors that the process may open.
    std::size_t maxConnections = 0;
    std::uint64_t maxMessageBytes = std::uint64_t {24} * 1024 * 1024;
    // Memory that messages may hold that haven't arrived completely, all connections together.
    std::uint64_t maxHeldBytes = std::uint64_t {32} * 1024 * 1024;
    std::uint64_t maxQueuedBytes = std::uint64_t {16} * 1024 * 1024; // unread by one peer
    milliseconds timeout {30000}; // for one message to arrive, or to be read by the peer
};

// Serves a Cap'n Proto interface on one address. Bounds what peers can hold: connections that sent
// nothing for longest are closed when there are too many, and those whose message has been arriving
// for longest when unfinished messages hold too much memory.
class rpc_listener
{
public:
    // Starts listening; must not be called from a callback of the loop. Fails with StorageFailed if
    // the address can't be bound.
    static result<std::unique_ptr<rpc_listener>> listen(event_loop &loop,
                                                        const std::string &address,
                                                        capnp::Capability::Client interface,
                                                        const rpc_limits &limits = {});

    virtual ~rpc_listener() = default;

    virtual std::size_t connectionCount() const = 0;
};

} // namespace persimmon::wire
