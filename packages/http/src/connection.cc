#include "connection.h"

#include "base/client_counts.h"
#include "client_registry.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>

#include <algorithm>

namespace persimmon::http {

namespace {

namespace net = boost::asio;
using error_code = boost::system::error_code;

// Time for which a refused client may go on sending, so that it can read the refusal, and the bytes
// that are read meanwhile.
constexpr milliseconds lingerTime {2000};
constexpr std::size_t maxDiscardedBytes = std::size_t {8} * 1024 * 1024;

// Copies of a request's body that exist while it is handled: received, encoded and relayed.
constexpr std::uint64_t copiesOfBody = 4;

constexpr std::string_view interimResponse = "HTTP/1.1 100 Continue\r\n\r\n";

bool hasLineBreak(std::string_view text)
{
    return text.find_first_of("\r\n") != std::string_view::npos;
}

bool isNamed(const header &field, std::string_view name)
{
    return boost::beast::iequals(field.name, boost::beast::string_view(name.data(), name.size()));
}

bool asksToClose(const response &value)
{
    return std::ranges::any_of(value.headers, [](const header &field) {
        return isNamed(field, "Connection") && boost::beast::iequals(field.value, "close");
    });
}

bool hasLength(int status)
{
    return status >= 200 && status != 204;
}

void append(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

std::string serialize(const response &value, bool isHead, bool closeAfter)
{
    const auto reason = boost::beast::http::obsolete_reason(
            static_cast<boost::beast::http::status>(value.status));
    std::string text = "HTTP/1.1 " + std::to_string(value.status) + " "
            + std::string(reason.data(), reason.size()) + "\r\n";
    if (!value.contentType.empty())
        append(text, "Content-Type", value.contentType);
    for (const auto &field : value.headers) {
        const bool isOwn = isNamed(field, "Connection") || isNamed(field, "Content-Length")
                || isNamed(field, "Transfer-Encoding");
        if (!isOwn && !hasLineBreak(field.name) && !hasLineBreak(field.value))
            append(text, field.name, field.value);
    }
    if (hasLength(value.status))
        append(text, "Content-Length", std::to_string(value.body.size()));
    if (closeAfter)
        append(text, "Connection", "close");
    text += "\r\n";
    if (!isHead && hasLength(value.status) && value.status != 304)
        text += value.body;
    return text;
}

// Returns the time since the last bytes of the peer arrived, or zero if the system doesn't tell.
milliseconds sinceLastBytes(int socket)
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return milliseconds {0};
    return milliseconds {info.tcpi_last_data_recv};
}

request_limits limitsOf(const server_options &options)
{
    request_limits limits;
    limits.maxHeaderBytes = options.maxHeaderBytes;
    limits.maxBodyBytes = options.maxBodyBytes;
    return limits;
}

} // namespace

// The reply to one request. A request whose reply is dropped closes its connection.
class connection::pending_reply
{
public:
    explicit pending_reply(const std::shared_ptr<connection> &owner)
        : owner_(owner)
    {
    }
    pending_reply(const pending_reply &) = delete;
    pending_reply &operator=(const pending_reply &) = delete;

    ~pending_reply()
    {
        if (owner_)
            net::post(owner_->registry_.strand(), [owner = owner_] { owner->close(); });
    }

    void send(response value)
    {
        const auto owner = std::exchange(owner_, nullptr);
        if (!owner)
            return;
        net::post(owner->registry_.strand(),
                  [owner, value = std::move(value)] { owner->answer(value); });
    }

private:
    std::shared_ptr<connection> owner_;
};

connection::connection(socket opened, client_id id, const server_options &options,
                       client_registry &registry, connection_hooks hooks)
    : socket_(std::move(opened))
    , id_(id)
    , options_(options)
    , registry_(registry)
    , hooks_(std::move(hooks))
    , reader_(limitsOf(options))
{
}

void connection::start()
{
    error_code ignored;
    socket_.set_option(net::ip::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    setDeadline(options_.idleTimeout);
    awaitBytes();
}

void connection::setDeadline(milliseconds time)
{
    deadline_ = client_registry::now() + time;
}

void connection::setStage(stage next, client_phase phase)
{
    stage_ = next;
    registry_.setPhase(id_, phase);
}

// Records the memory that is held. Returns false if the connection was closed for it.
bool connection::hold(std::uint64_t bytes)
{
    registry_.setHeldBytes(id_, bytes);
    return stage_ == stage::Reading;
}

void connection::awaitBytes()
{
    if (std::exchange(waiting_, true))
        return;
    socket_.async_wait(socket::wait_read, [self = shared_from_this()](const error_code &failure) {
        self->waiting_ = false;
        if (failure)
            return self->close();
        if (self->stage_ == stage::Lingering)
            return self->discard();
        if (self->stage_ == stage::Reading)
            self->receive();
    });
}

void connection::receive()
{
    auto &buffer = registry_.buffer();
    error_code failure;
    const auto count = socket_.read_some(net::buffer(buffer), failure);
    if (failure == net::error::would_block)
        return awaitBytes();
    if (failure)
        return close();
    noteArrival();
    process({buffer.data(), count});
}

// Bytes that were left unread while a request was answered may have come along with it.
void connection::noteArrival()
{
    const auto bound = registry_.arrivedAfter();
    const bool mayBeEarlier = std::exchange(leftUnread_, false);
    if (bound && !receiving_ && !mayBeEarlier)
        arrivedAfter_ = std::max(arrivedAfter_.value_or(*bound), *bound);
}

// What is read later arrives later, if nothing is left unread after a response.
void connection::noteUnread()
{
    if (!arrivedAfter_ || stage_ != stage::Reading || receiving_)
        return;
    const auto now = client_registry::now();
    error_code failure;
    leftUnread_ = socket_.available(failure) > 0 || failure.failed();
    if (!leftUnread_)
        arrivedAfter_ = now;
}

void connection::process(std::string_view bytes)
{
    const auto outcome = reader_.feed(bytes);
    if (outcome == request_reader::state::Refused) {
        count(reader_.cause());
        return refuse(reader_.reason());
    }
    if (outcome == request_reader::state::Complete)
        return dispatch();
    if (outcome == request_reader::state::Receiving) {
        if (!std::exchange(receiving_, true))
            setDeadline(options_.timeout);
        registry_.setPhase(id_, client_phase::Receiving);
        if (!hold(reader_.heldBytes()))
            return;
        if (reader_.takeExpectation())
            sendInterimResponse();
    }
    awaitBytes();
}

// A client that can't take these few bytes sends the body after a while on its own.
void connection::sendInterimResponse()
{
    error_code ignored;
    socket_.write_some(net::buffer(interimResponse), ignored);
}

// Returns whether the client has closed the connection, also behind bytes that weren't read. A
// client that closes only its own direction is taken for gone as well.
bool connection::isClosedByClient()
{
    pollfd item {socket_.native_handle(), POLLIN | POLLRDHUP, 0};
    if (::poll(&item, 1, 0) == 0)
        return false;
    if ((item.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0)
        return true;
    char next = 0;
    error_code failure;
    socket_.receive(net::buffer(&next, sizeof(next)), socket::message_peek, failure);
    return failure == net::error::eof || failure == net::error::connection_reset;
}

client_state connection::currentState()
{
    const auto now = client_registry::now();
    return {stage_ == stage::Answering && !isClosedByClient(),
            now - sinceLastBytes(socket_.native_handle())};
}

void connection::dispatch()
{
    auto complete = reader_.take();
    complete.isAbandoned = isClosedByClient();
    complete.arrivedAfter = arrivedAfter_;
    complete.checkClient = [weak = weak_from_this(), strand = registry_.strand()](auto callback) {
        net::post(strand, [weak, callback = std::move(callback)] {
            const auto client = weak.lock();
            callback(client ? client->currentState() : client_state {});
        });
    };
    isHead_ = complete.method == "HEAD";
    receiving_ = true;
    registry_.setPhase(id_, client_phase::Receiving);
    if (!hold(reader_.heldBytes() + copiesOfBody * complete.body.capacity()))
        return;
    receiving_ = false;
    setStage(stage::Answering, client_phase::Answering);
    const auto pending = std::make_shared<pending_reply>(shared_from_this());
    hooks_.onRequest(std::move(complete),
                     [pending](response value) { pending->send(std::move(value)); });
}

void connection::answer(const response &value)
{
    if (stage_ != stage::Answering)
        return;
    send(value, finishing_ || !reader_.keepAlive() || asksToClose(value));
}

void connection::send(const response &value, bool closeAfter)
{
    setStage(stage::Sending, client_phase::Sending);
    setDeadline(options_.timeout);
    output_ = serialize(value, isHead_, closeAfter);
    registry_.setHeldBytes(id_, reader_.heldBytes() + output_.capacity());
    net::async_write(
            socket_, net::buffer(output_),
            [self = shared_from_this(), closeAfter](const error_code &failure, std::size_t) {
                if (failure)
                    return self->close();
                self->afterSend(closeAfter);
            });
}

void connection::afterSend(bool closeAfter)
{
    output_ = {};
    if (stage_ != stage::Sending)
        return;
    if (closeAfter || finishing_)
        return close();
    setStage(stage::Reading, client_phase::Idle);
    setDeadline(options_.idleTimeout);
    registry_.setHeldBytes(id_, reader_.heldBytes());
    process({});
    noteUnread();
}

void connection::count(client_cause cause) const
{
    error_code ignored;
    countClient(cause, socket_.remote_endpoint(ignored).address().to_string(ignored));
}

void connection::yield(client_cause cause)
{
    const bool isIdle = stage_ == stage::Reading && !receiving_;
    if (isIdle)
        receive(); // its next request may have arrived
    if (stage_ == stage::Answering || (isIdle && stage_ == stage::Lingering))
        return;
    if (stage_ != stage::Closed)
        count(cause);
    if (stage_ == stage::Reading && receiving_)
        return refuse({result_code::Overloaded, "too many unfinished requests", {}, {}});
    close();
}

void connection::refuse(const error &reason)
{
    auto value = refusal(reason);
    value.headers.insert(value.headers.end(), options_.refusalHeaders.begin(),
                         options_.refusalHeaders.end());
    const auto output = serialize(value, false, true);
    stage_ = stage::Lingering;
    reader_.clear();
    registry_.setPhase(id_, client_phase::Idle);
    registry_.setHeldBytes(id_, 0);
    setDeadline(lingerTime);
    error_code ignored;
    socket_.write_some(net::buffer(output), ignored);
    linger();
}

// Lets the client read the refusal: closing a connection with unread bytes resets it.
void connection::linger()
{
    error_code ignored;
    socket_.shutdown(socket::shutdown_send, ignored);
    awaitBytes();
}

void connection::discard()
{
    auto &buffer = registry_.buffer();
    error_code failure;
    const auto count = socket_.read_some(net::buffer(buffer), failure);
    discarded_ += count;
    if ((failure && failure != net::error::would_block) || discarded_ > maxDiscardedBytes)
        return close();
    awaitBytes();
}

void connection::finish()
{
    finishing_ = true;
    if (stage_ == stage::Reading)
        receive(); // a request may have arrived
    if (stage_ != stage::Reading)
        return;
    if (receiving_)
        return refuse({result_code::Stopping, "this process is stopping", {}, {}});
    close();
}

void connection::close()
{
    if (std::exchange(stage_, stage::Closed) == stage::Closed)
        return;
    error_code ignored;
    socket_.close(ignored);
    registry_.remove(id_);
    hooks_.onClosed(id_);
}

void connection::closeIfOverdue(time_point now)
{
    if (now < deadline_ || stage_ == stage::Answering)
        return;
    if (stage_ == stage::Reading && !receiving_)
        receive(); // its next request may have arrived
    if (now < deadline_ || stage_ == stage::Answering)
        return;
    if (stage_ == stage::Reading && receiving_) {
        count(client_cause::Timeout);
        return refuse({result_code::RequestTimeout, "the request took too long", {}, {}});
    }
    if (stage_ != stage::Lingering)
        count(stage_ == stage::Sending ? client_cause::SlowReader : client_cause::Idle);
    close();
}

} // namespace persimmon::http
