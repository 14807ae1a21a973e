#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace persimmon {

// Why a client was refused, or its connection closed, by a limit.
enum class client_cause : std::uint8_t {
    Head,
    Body,
    Trailer,
    Framing,
    Malformed,
    Timeout, // a request took too long
    Connections, // too many clients
    Memory, // unfinished requests hold too much memory
    Idle, // sent no request for too long
    SlowReader, // doesn't read a response
    PeerConnections, // the others: the port between processes
    PeerMemory,
    PeerSlow,
};

constexpr std::size_t clientCauseCount = 13;

std::string_view toName(client_cause cause);

// Counts a refused or closed client, and logs it: one line for a cause and an address in ten
// seconds, with the number of those since the line before. Callable from any thread.
void countClient(client_cause cause, std::string_view address);

// Returns how many were counted since the process started.
std::uint64_t clientCount(client_cause cause);

// Returns the counts in the Prometheus text format.
std::string clientMetrics();

} // namespace persimmon
