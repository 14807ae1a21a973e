#pragma once

#include "base/arrival_watch.h"
#include "base/client_counts.h"
#include "base/client_table.h"
#include "connection.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <map>
#include <memory>
#include <optional>

namespace persimmon::http {

// The connections of all listeners of a process, and the strand on which they run. The limits of
// the table hold for all of them together. All members but instance() and strand() must be called
// on the strand.
class client_registry
{
public:
    // Returns the registry of the process. The limits are those of the first call.
    static client_registry &instance(const client_limits &limits);

    const boost::asio::any_io_executor &strand() const { return strand_; }

    client_id nextId() { return ++lastId_; }
    void add(client_id id, const std::shared_ptr<connection> &item);
    void remove(client_id id);
    void setPhase(client_id id, client_phase phase);
    void setHeldBytes(client_id id, std::uint64_t bytes);
    std::shared_ptr<connection> find(client_id id) const;

    // Returns the time by which deadlines, phases and arrivals are kept.
    static time_point now();

    // Starts to watch when requests arrive. Later calls have no effect.
    void watchArrivals();

    // Returns a time before which nothing has arrived of what is read now, or nothing while
    // arrivals aren't watched.
    std::optional<time_point> arrivedAfter() const;

    // Returns the buffer into which all connections read.
    std::array<char, 16384> &buffer() { return buffer_; }

private:
    explicit client_registry(const client_limits &limits);

    void close(const std::vector<client_id> &chosen, client_cause cause);
    void tickLater();

    boost::asio::any_io_executor strand_;
    client_table table_;
    std::map<client_id, std::shared_ptr<connection>> connections_;
    client_id lastId_ = 0;
    std::array<char, 16384> buffer_ {};
    std::optional<arrival_watch> arrivals_;
    boost::asio::steady_timer arrivalTimer_;
};

} // namespace persimmon::http
