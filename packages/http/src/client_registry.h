#pragma once

#include "base/client_counts.h"
#include "base/client_table.h"
#include "connection.h"

#include <boost/asio/any_io_executor.hpp>

#include <array>
#include <map>
#include <memory>

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

    // Returns the time by which deadlines and phases are kept.
    static time_point now();

    // Returns the buffer into which all connections read.
    std::array<char, 16384> &buffer() { return buffer_; }

private:
    explicit client_registry(const client_limits &limits);

    void close(const std::vector<client_id> &chosen, client_cause cause);

    boost::asio::any_io_executor strand_;
    client_table table_;
    std::map<client_id, std::shared_ptr<connection>> connections_;
    client_id lastId_ = 0;
    std::array<char, 16384> buffer_ {};
};

} // namespace persimmon::http
