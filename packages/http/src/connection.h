#pragma once

#include "base/client_table.h"
#include "http/server.h"
#include "request_reader.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace persimmon::http {

// Clients of all listeners of a process. Used on one strand only.
class client_registry;

// What a connection needs of its listener. Called on the strand of the connections.
struct connection_hooks
{
    // Passes on a complete request. The reply may be called on any thread.
    std::function<void(request, server::reply)> onRequest;
    std::function<void(client_id)> onClosed;
};

// One connection of a client: reads one request after the other, and sends the responses. All
// members must be called on the strand of the connections.
class connection : public std::enable_shared_from_this<connection>
{
public:
    using socket = boost::asio::ip::tcp::socket;

    connection(socket opened, client_id id, const server_options &options,
               client_registry &registry, connection_hooks hooks);

    void start();

    // Makes room for other clients: refuses a request that is being received, or closes the
    // connection. Has no effect while a response is being made.
    void yield(client_cause cause);

    // Closes the connection after the request that is being answered, or at once if there is none.
    void finish();

    // Closes the connection at once.
    void close();

    // Closes the connection if its client was too slow.
    void closeIfOverdue(time_point now);

private:
    enum class stage : std::uint8_t { Reading, Answering, Sending, Lingering, Closed };

    class pending_reply;

    void awaitBytes();
    void receive();
    void refuse(const error &reason);
    void count(client_cause cause) const;
    void discard();
    void noteArrival();
    void noteUnread();
    void process(std::string_view bytes);
    bool isClosedByClient();
    client_state currentState();
    void dispatch();
    void answer(const response &value);
    void send(const response &value, bool closeAfter);
    void afterSend(bool closeAfter);
    void linger();
    void sendInterimResponse();
    void setStage(stage next, client_phase phase);
    bool hold(std::uint64_t bytes);
    void setDeadline(milliseconds time);

    socket socket_;
    client_id id_;
    const server_options &options_;
    client_registry &registry_;
    connection_hooks hooks_;
    request_reader reader_;
    stage stage_ = stage::Reading;
    bool finishing_ = false;
    bool isHead_ = false; // the request that is being answered has the method HEAD
    bool receiving_ = false; // the first byte of a request has arrived
    std::optional<time_point> arrivedAfter_; // bound for the bytes of the request
    bool leftUnread_ = false; // bytes that arrived before the last response was sent
    std::string output_;
    std::size_t discarded_ = 0;
    bool waiting_ = false; // for bytes of the client
    time_point deadline_ {};
};

} // namespace persimmon::http
