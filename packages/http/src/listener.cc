#include "listener.h"

#include "base/log.h"
#include "client_registry.h"
#include "connection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <future>
#include <set>

namespace persimmon::http {

namespace {

namespace net = boost::asio;
using error_code = boost::system::error_code;

// Period in which slow clients are looked for.
constexpr milliseconds checkPeriod {500};

// Pause after a connection could not be accepted.
constexpr milliseconds acceptPause {100};

// Time for the requests in progress to be answered when a listener closes.
constexpr milliseconds closeTimeout {500};

// Size of the system's buffers of a connection, which count towards the memory of the process.
constexpr int socketBufferBytes = 65536;

net::ip::tcp::endpoint endpointOf(const std::string &address)
{
    const auto colon = address.rfind(':');
    auto host = address.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']'))
        host = host.substr(1, host.size() - 2);
    const auto port = static_cast<unsigned short>(std::stoul(address.substr(colon + 1)));
    return {net::ip::make_address(host), port};
}

// Accepts connections. Apart from open(), all members run on the strand of the connections.
class acceptor : public std::enable_shared_from_this<acceptor>
{
public:
    acceptor(wire::event_loop &loop, server_options options, server::handler onRequest)
        : loop_(loop)
        , options_(std::move(options))
        , onRequest_(std::move(onRequest))
        , registry_(client_registry::instance(options_.clients))
        , socket_(registry_.strand())
        , checkTimer_(registry_.strand())
        , pauseTimer_(registry_.strand())
    {
    }

    const net::any_io_executor &strand() const { return registry_.strand(); }

    // Throws if the address can't be bound.
    void open()
    {
        const auto endpoint = endpointOf(options_.address);
        socket_.open(endpoint.protocol());
        socket_.set_option(net::socket_base::reuse_address(true));
        error_code ignored; // connections inherit the sizes, where the system supports them
        socket_.set_option(net::socket_base::receive_buffer_size(socketBufferBytes), ignored);
        socket_.set_option(net::socket_base::send_buffer_size(socketBufferBytes), ignored);
        socket_.bind(endpoint);
        socket_.listen(net::socket_base::max_listen_connections);
        net::post(strand(), [self = shared_from_this()] {
            if (self->options_.watchesArrivals)
                self->registry_.watchArrivals();
            self->accept();
        });
    }

    // Stops listening. The promise is fulfilled once all requests in progress are answered.
    void close(const std::shared_ptr<std::promise<void>> &done)
    {
        stopListening();
        closed_ = done;
        for (const auto id : std::set(clients_)) {
            if (const auto client = registry_.find(id))
                client->finish();
        }
        reportClosed();
    }

    // Closes the connections that are still open.
    void abort()
    {
        for (const auto id : std::set(clients_)) {
            if (const auto client = registry_.find(id))
                client->close();
        }
    }

private:
    void accept()
    {
        if (!socket_.is_open())
            return;
        socket_.async_accept(
                strand(),
                [self = shared_from_this()](const error_code &failure, connection::socket opened) {
                    self->handleAccepted(failure, std::move(opened));
                });
    }

    void handleAccepted(const error_code &failure, connection::socket opened)
    {
        if (!socket_.is_open())
            return;
        if (failure) {
            if (!std::exchange(failing_, true))
                logFor("http")->warn("accepting connections fails: {}", failure.message());
            pauseTimer_.expires_after(acceptPause);
            pauseTimer_.async_wait(
                    [self = shared_from_this()](const error_code &) { self->accept(); });
            return;
        }
        failing_ = false;
        serve(std::move(opened));
        accept();
    }

    void serve(connection::socket opened)
    {
        const auto id = registry_.nextId();
        connection_hooks hooks;
        hooks.onRequest = [self = shared_from_this()](request value, server::reply reply) {
            self->pass(std::move(value), std::move(reply));
        };
        hooks.onClosed = [self = shared_from_this()](client_id closed) {
            self->clients_.erase(closed);
            self->reportClosed();
        };
        const auto client = std::make_shared<connection>(std::move(opened), id, options_, registry_,
                                                         std::move(hooks));
        const bool isFirst = clients_.empty();
        clients_.insert(id);
        client->start();
        registry_.add(id, client);
        if (isFirst)
            checkLater();
    }

    // Passes a request to the handler on the thread of the loop.
    void pass(request value, server::reply reply)
    {
        value.checkClient
                = [self = shared_from_this(), check = std::move(value.checkClient)](auto callback) {
                      check([self, callback = std::move(callback)](const client_state &state) {
                          self->loop_.post([callback, state] { callback(state); });
                      });
                  };
        auto shared = std::make_shared<request>(std::move(value));
        loop_.post([self = shared_from_this(), shared, reply = std::move(reply)] {
            try {
                self->onRequest_(std::move(*shared), reply);
            } catch (const std::exception &failure) {
                logFor("http")->error("a request failed: {}", failure.what());
                reply(refusal({result_code::Internal, failure.what(), {}, {}}));
            }
        });
    }

    void checkLater()
    {
        checkTimer_.expires_after(checkPeriod);
        checkTimer_.async_wait([self = shared_from_this()](const error_code &failure) {
            if (!failure)
                self->checkClients();
        });
    }

    void checkClients()
    {
        const auto now = client_registry::now();
        for (const auto id : std::set(clients_)) {
            if (const auto client = registry_.find(id))
                client->closeIfOverdue(now);
        }
        if (!clients_.empty())
            checkLater();
    }

    void stopListening()
    {
        error_code ignored;
        socket_.close(ignored);
        pauseTimer_.cancel();
    }

    void reportClosed()
    {
        if (!closed_ || !clients_.empty())
            return;
        checkTimer_.cancel();
        std::exchange(closed_, nullptr)->set_value();
    }

    wire::event_loop &loop_;
    server_options options_;
    server::handler onRequest_;
    client_registry &registry_;
    net::basic_socket_acceptor<net::ip::tcp> socket_;
    net::steady_timer checkTimer_;
    net::steady_timer pauseTimer_;
    std::set<client_id> clients_;
    bool failing_ = false; // the last connection could not be accepted
    std::shared_ptr<std::promise<void>> closed_;
};

class listener : public server
{
public:
    explicit listener(std::shared_ptr<acceptor> opened)
        : acceptor_(std::move(opened))
    {
    }
    listener(const listener &) = delete;
    listener &operator=(const listener &) = delete;

    ~listener() override { listener::close(); }

    void close() override
    {
        if (!acceptor_)
            return;
        const auto done = std::make_shared<std::promise<void>>();
        auto closed = done->get_future();
        net::post(acceptor_->strand(), [item = acceptor_, done] { item->close(done); });
        if (closed.wait_for(closeTimeout) != std::future_status::ready) {
            net::post(acceptor_->strand(), [item = acceptor_] { item->abort(); });
            closed.wait_for(closeTimeout);
        }
        acceptor_.reset();
    }

private:
    std::shared_ptr<acceptor> acceptor_;
};

} // namespace

result<std::unique_ptr<server>> openListener(wire::event_loop &loop, const server_options &options,
                                             server::handler onRequest)
{
    auto opened = std::make_shared<acceptor>(loop, options, std::move(onRequest));
    try {
        opened->open();
    } catch (const std::exception &failure) {
        return error {result_code::StorageFailed,
                      "can't listen on " + options.address + ": " + failure.what(),
                      {},
                      {}};
    }
    return std::unique_ptr<server>(std::make_unique<listener>(std::move(opened)));
}

} // namespace persimmon::http
