#pragma once

#include "base/clock.h"

#include <capnp/rpc-twoparty.h>

// For the few sources that make Cap'n Proto RPC calls.
namespace persimmon::wire {

// Open connection to a process that offers an interface, which is the remote object of the calls.
// Calls on a broken connection fail.
template <typename Interface>
struct rpc_connection
{
    explicit rpc_connection(kj::Own<kj::AsyncIoStream> socket)
        : stream(kj::mv(socket))
        , client(*stream)
        , remote(client.bootstrap().castAs<Interface>())
    {
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient client;
    typename Interface::Client remote;
};

inline kj::Duration toKj(milliseconds duration)
{
    return duration.count() * kj::MILLISECONDS;
}

} // namespace persimmon::wire
