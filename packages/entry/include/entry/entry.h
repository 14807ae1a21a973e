#pragma once

#include "base/settings.h"
#include "wire/event_loop.h"

#include <functional>
#include <memory>

namespace persimmon::entry {

// The entry role of persimmond: serves callers and upstreams over HTTP and follows the control
// leader. All calls belong to the loop's thread.
class entry_server
{
public:
    // Starts to listen and to follow the leader. Fails with StorageFailed when the address can't be
    // bound.
    static result<std::unique_ptr<entry_server>> start(wire::event_loop &loop,
                                                       const settings &values);

    virtual ~entry_server() = default;

    // Shuts down gracefully: readiness off, wait of drainDelay for the balancer, then all queued
    // and running requests are finished. Calls the callback when nothing is left.
    virtual void beginShutdown(std::function<void()> done) = 0;

    // Sets what happens when an operator drains this entry. Without it, the entry refuses new
    // requests and finishes the others, but the process keeps running.
    virtual void onDrain(std::function<void()> drain) = 0;
};

} // namespace persimmon::entry
