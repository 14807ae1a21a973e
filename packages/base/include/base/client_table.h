#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace persimmon {

using client_id = std::uint64_t;

// What a connection does. Clients may be closed for others, except those that are answering.
enum class client_phase : std::uint8_t {
    Idle, // between two requests, or before the first byte of one
    Receiving, // a part of a request has arrived
    Answering, // the request is complete and its response is being made
    Sending, // the response waits for the client to read it
};

struct client_table_limits
{
    std::size_t maxClients = 1024;
    std::uint64_t maxHeldBytes = 0; // of all clients together
};

// Decides which connections of a process are closed so that their number and the memory that they
// hold stay within limits, whatever the clients do. Idle clients go first, then those whose request
// has been arriving for longest, then those that have taken longest to read their response. So a
// client that sends a request without pause and reads the response is served also beside many that
// don't. Clients whose response is being made are never chosen. Does no I/O; the caller closes the
// chosen clients and removes them.
class client_table
{
public:
    explicit client_table(client_table_limits limits)
        : limits_(limits)
    {
    }

    // Adds an idle client. Returns the clients to close; the new one is among them only if all
    // others are answering.
    std::vector<client_id> add(client_id client, time_point now);

    void remove(client_id client);

    // Records the begin of a phase. No effect if the client is in that phase already.
    void setPhase(client_id client, client_phase phase, time_point now);

    // Records the memory that a client's request and response hold. Returns the clients to close:
    // of those that are receiving and then of those that are sending, the oldest that hold at least
    // an equal share of the limit; if that isn't enough, this one if it is receiving.
    std::vector<client_id> setHeldBytes(client_id client, std::uint64_t bytes);

    std::size_t size() const { return clients_.size(); }
    std::uint64_t heldBytes() const { return heldBytes_; }

private:
    struct entry
    {
        client_phase phase = client_phase::Idle;
        time_point since {};
        std::uint64_t heldBytes = 0;
    };

    using order_key = std::pair<time_point, client_id>;

    client_table_limits limits_;
    std::map<client_id, entry> clients_;
    // The clients in each phase, ordered by its begin.
    std::map<client_phase, std::set<order_key>> order_;
    std::uint64_t heldBytes_ = 0;
};

} // namespace persimmon
