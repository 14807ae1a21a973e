#pragma once

#include "http/server.h"
#include "request_core.h"
#include "wire/event_loop.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace persimmon::entry {

// Request to an upstream.
struct outgoing_request
{
    std::string method;
    std::string target; // path and query as received from the caller
    std::vector<http::header> headers; // end-to-end fields only
    std::string body;
};

// Result of an attempt, with the answer if it is complete.
struct attempt_answer
{
    attempt_end end = attempt_end::Lost;
    int status = 0;
    std::string contentType;
    std::vector<http::header> headers; // end-to-end fields only
    std::string body;
    std::string detail; // of a failure
};

// Returns the end-to-end fields: without hop-by-hop fields (RFC 9110, 7.6.1), those named by
// Connection, and those that describe the framing of the body.
std::vector<http::header> endToEnd(const std::vector<http::header> &headers);

// Sends requests to upstreams. Repeatable requests share one client with keep-alive connections per
// upstream. Each single-use dispatch gets its own client, because the library silently resends a
// request of a shared client when the upstream closes a keep-alive connection.
class upstream_client
{
public:
    using completion = std::function<void(attempt_answer)>;

    static std::unique_ptr<upstream_client> create(wire::event_loop &loop,
                                                   std::uint64_t maxBodyBytes);

    upstream_client() = default;
    upstream_client(const upstream_client &) = delete;
    upstream_client &operator=(const upstream_client &) = delete;
    // Cancels all attempts and blocks until they have ended; their completions are not called.
    virtual ~upstream_client() = default;

    // Sends a request; the completion runs on the loop's thread.
    virtual void send(attempt_ref ref, const std::string &address, bool singleUse,
                      const outgoing_request &request, completion done)
            = 0;

    // Closes the connection of an attempt. Unknown attempts are ignored.
    virtual void cancel(attempt_ref ref) = 0;

    // Closes the keep-alive connections of clients that were last used before the given time.
    virtual void closeIdle(time_point usedBefore) = 0;
};

} // namespace persimmon::entry
