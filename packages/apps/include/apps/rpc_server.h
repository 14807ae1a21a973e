#pragma once

#include "apps/voter.h"
#include "wire/event_loop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace persimmon::apps {

struct rpc_hooks
{
    std::function<void()> drain = [] {}; // drain request forwarded by another voter
    std::function<void(std::string_view method, double seconds)> observe
            = [](std::string_view, double) {};
};

// Serves entries and other voters over Cap'n Proto RPC on one address.
class rpc_server
{
public:
    // Starts listening; must not be called from a callback of the loop. Fails with StorageFailed if
    // the address can't be bound.
    static result<std::unique_ptr<rpc_server>> listen(wire::event_loop &loop,
                                                      const std::string &address, voter &target,
                                                      rpc_hooks hooks);

    virtual ~rpc_server() = default;
};

} // namespace persimmon::apps
