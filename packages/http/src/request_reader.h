#pragma once

#include "base/client_counts.h"
#include "http/server.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace persimmon::http {

// Limits of one request. Sizes are in bytes.
struct request_limits
{
    std::uint64_t maxHeaderBytes = 16384; // names and values of all header fields
    std::uint64_t maxBodyBytes = 1048576;
    std::size_t maxTargetBytes = 16384;
    std::size_t maxFields = 4096;
    std::size_t maxTrailerBytes = 16384; // also the limit of the line before a chunk
    std::size_t maxEmptyLines = 16; // before a request
};

// Reads requests from the bytes of a connection. Holds no more than the limits allow, whatever
// arrives and however it is cut. Does no I/O.
class request_reader
{
public:
    enum class state : std::uint8_t { Idle, Receiving, Complete, Refused };

    explicit request_reader(const request_limits &limits);
    ~request_reader();

    // Takes the next bytes, and reads on with those that are left of earlier ones. Must not be
    // called after Refused, nor after Complete until take() was.
    state feed(std::string_view bytes);

    // Returns the complete request and begins with the next one; its first bytes may have been
    // received. Call feed() with no bytes to read them.
    request take();

    // Drops what was received.
    void clear();

    // Returns why the request was refused.
    const error &reason() const { return reason_; }
    client_cause cause() const { return cause_; }

    // Returns, once for each request, whether the client waits for an interim response before it
    // sends the body.
    bool takeExpectation();

    // Returns whether the connection can be used again after the request that was taken last.
    bool keepAlive() const { return keepAlive_; }

    // Returns the memory that the request holds so far.
    std::size_t heldBytes() const;

private:
    class parser;

    bool skipEmptyLines();
    std::optional<error> scanHead();
    std::optional<error> parse();
    state refuse(error reason);

    request_limits limits_;
    std::string pending_; // received and not parsed yet
    std::size_t emptyLines_ = 0;
    std::size_t scanned_ = 0; // bytes of pending_ in which the end of the head was looked for
    bool headComplete_ = false;
    std::unique_ptr<parser> parser_; // of the request that is being received
    error reason_;
    client_cause cause_ = client_cause::Malformed;
    bool keepAlive_ = true;
};

} // namespace persimmon::http
