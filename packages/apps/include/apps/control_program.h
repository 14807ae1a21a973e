#pragma once

#include "base/settings.h"
#include "wire/event_loop.h"

#include <functional>
#include <memory>

namespace persimmon::apps {

// The control role of persimmond: one voter with its RPC server, its connections to the other
// voters and the operators' API. All calls belong to the loop's thread.
class control_program
{
public:
    // Opens the data folder and starts to listen. Fails with StorageFailed.
    static result<std::unique_ptr<control_program>> start(wire::event_loop &loop,
                                                          const settings &values);

    virtual ~control_program() = default;

    // Shuts down gracefully: hands leadership over, then closes the listeners. Calls the callback
    // when nothing is left; later calls are ignored.
    virtual void beginShutdown(std::function<void()> done) = 0;

    // Sets what happens when an operator drains this voter.
    virtual void onDrain(std::function<void()> drain) = 0;

    // Sets what happens when a write to the data folder has failed. The voter takes no part in the
    // group after that.
    virtual void onStorageFailure(std::function<void(const error &)> callback) = 0;
};

} // namespace persimmon::apps
