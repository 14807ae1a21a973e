#pragma once

#include "base/settings.h"
#include "wire/event_loop.h"

#include <functional>
#include <memory>

namespace persimmon::apps {

// The control role of persimmond: one voter with its RPC server, its connections to the other
// voters and the operator API. Must be used on the event loop's thread.
class control_program
{
public:
    // Opens the data folder and starts listening. Fails with StorageFailed.
    static result<std::unique_ptr<control_program>> start(wire::event_loop &loop,
                                                          const settings &values);

    virtual ~control_program() = default;

    // Shuts down gracefully: transfers leadership, then closes the listeners. Calls the callback
    // when the shutdown is complete; later calls are ignored.
    virtual void beginShutdown(std::function<void()> done) = 0;

    // Sets the callback for an operator's request to drain this voter.
    virtual void onDrain(std::function<void()> drain) = 0;

    // Sets the callback for a failed write to the data folder. The voter stops participating in the
    // group after such a failure.
    virtual void onStorageFailure(std::function<void(const error &)> callback) = 0;
};

} // namespace persimmon::apps
