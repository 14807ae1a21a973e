#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "base/settings.h"
#include "wire/event_loop.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon::http {

struct header
{
    std::string name;
    std::string value;
};

// What is known of the client of a request at some moment.
struct client_state
{
    bool isConnected = false;
    time_point newestArrival {}; // of the bytes that it has sent, where the system tells; or now
};

// A received request with its complete body.
struct request
{
    std::string method;
    std::string path; // decoded, without the query
    std::string rawPath; // as received, without the query
    std::string query; // as received
    std::vector<header> headers;
    std::string body;

    // The client had closed the connection when the request was read, so it gets no response. The
    // request may be old then, where this process stood still.
    bool isAbandoned = false;

    // No part of the request arrived before this time; much later if the process has read it in
    // time. Empty if the listener doesn't watch arrivals.
    std::optional<time_point> arrivedAfter;

    // Looks after the client again, and calls back on the thread of the loop.
    std::function<void(std::function<void(const client_state &)>)> checkClient;

    // Returns the value of a header field (names are case-insensitive), or an empty string.
    std::string_view find(std::string_view name) const;
};

struct response
{
    int status = 200;
    std::string contentType = "application/json"; // empty: no Content-Type field
    std::vector<header> headers;
    std::string body;
};

// Returns the JSON response of a refusal: code number, name, detail, field and, for retryable
// codes, Retry-After.
response refusal(const error &reason);

// Parses "name=value&..." and returns the decoded value of a name, or an empty string.
std::string queryValue(std::string_view query, std::string_view name);

// Starts the threads of the HTTP library. Must be called before the first client or listener of the
// process is created; later calls have no effect.
void startThreads(std::size_t count);

// Limits for the clients of all listeners of a process together.
struct client_limits
{
    // Connections that may be open; 0: three quarters of the descriptors that the process may open.
    std::size_t maxConnections = 0;
    // Memory that unfinished requests and responses may hold, in bytes. Beyond it, requests that
    // have been arriving for longest are refused.
    std::uint64_t maxHeldBytes = std::uint64_t {32} * 1024 * 1024;
};

struct server_options
{
    std::string address; // IP:port
    std::size_t threads = 4;
    std::uint64_t maxHeaderBytes = 16384;
    std::uint64_t maxBodyBytes = 1048576;
    milliseconds timeout {30000}; // for receiving one request, and for sending one response
    milliseconds idleTimeout {120000}; // between two requests of a connection
    client_limits clients; // those of the first listener of a process hold
    bool watchesArrivals = false; // whether requests tell since when they may have waited
    std::vector<header> refusalHeaders; // added to refusals by the listener itself
};

// Returns the listener options for the settings of a process.
server_options serverOptions(const settings &values);

// HTTP/1.1 listener. Requests that exceed the limits, have ambiguous framing or a truncated body
// are not passed to the handler.
class server
{
public:
    // Answers one request; must be called exactly once, on any thread.
    using reply = std::function<void(response)>;

    // Handles one request on the loop's thread.
    using handler = std::function<void(request, reply)>;

    // Starts listening. Fails with StorageFailed when the address can't be bound.
    static result<std::unique_ptr<server>> listen(wire::event_loop &loop,
                                                  const server_options &options, handler onRequest);

    virtual ~server() = default;

    // Stops listening after the requests in progress have been answered. Blocks; call it from a
    // thread other than the loop's, or when no request is in progress.
    virtual void close() = 0;
};

} // namespace persimmon::http
