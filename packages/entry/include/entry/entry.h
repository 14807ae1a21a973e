#pragma once

#include "base/settings.h"
#include "wire/event_loop.h"

#include <functional>
#include <memory>

namespace persimmon::entry {

// The entry role of persimmond: serves callers and upstreams over HTTP and synchronizes with the
// control leader. All functions must be called on the loop's thread.
class entry_server
{
public:
    // Starts the listener and the synchronization with the leader. Fails with StorageFailed when
    // the address can't be bound.
    static result<std::unique_ptr<entry_server>> start(wire::event_loop &loop,
                                                       const settings &values);

    virtual ~entry_server() = default;

    // Shuts down gracefully: reports not ready, waits drainDelay for the load balancer, refuses new
    // requests and completes the queued and running ones. The callback runs when all are complete.
    virtual void beginShutdown(std::function<void()> done) = 0;

    // Sets the callback for a drain by an operator. Without one, the entry refuses new requests and
    // completes the others, but the process keeps running.
    virtual void onDrain(std::function<void()> drain) = 0;
};

} // namespace persimmon::entry
