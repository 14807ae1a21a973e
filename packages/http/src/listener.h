#pragma once

#include "http/server.h"

namespace persimmon::http {

// Opens a listener for HTTP/1.1. Fails with StorageFailed when the address can't be bound.
result<std::unique_ptr<server>> openListener(wire::event_loop &loop, const server_options &options,
                                             server::handler onRequest);

} // namespace persimmon::http
