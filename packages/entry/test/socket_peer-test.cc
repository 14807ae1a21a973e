#include "socket_peer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>

namespace persimmon::entry::test {

namespace {

constexpr int pollMs = 20;

sockaddr_in localAddress(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool isReadable(int socket)
{
    pollfd item {socket, POLLIN, 0};
    return ::poll(&item, 1, pollMs) > 0;
}

// Returns the length of the first complete message in the text, or 0. A request without a length
// ends with its header.
std::size_t messageLength(const std::string &text, bool isRequest)
{
    const auto end = text.find("\r\n\r\n");
    if (end == std::string::npos)
        return 0;
    const auto field = text.find("Content-Length:");
    if (field == std::string::npos || field > end)
        return isRequest ? end + 4 : 0;
    const auto length = end + 4 + std::stoul(text.substr(field + 15));
    return text.size() >= length ? length : 0;
}

bool receive(int socket, std::string &text)
{
    char buffer[4096];
    const auto count = ::recv(socket, buffer, sizeof buffer, 0);
    if (count <= 0)
        return false;
    text.append(buffer, static_cast<std::size_t>(count));
    return true;
}

} // namespace

scripted_peer::scripted_peer(script onRequest)
    : onRequest_(std::move(onRequest))
    , listener_(::socket(AF_INET, SOCK_STREAM, 0))
{
    auto address = localAddress(0);
    socklen_t size = sizeof address;
    if (::bind(listener_, reinterpret_cast<sockaddr *>(&address), size) != 0
        || ::listen(listener_, 64) != 0
        || ::getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size) != 0)
        throw std::runtime_error("scripted peer can't listen");
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { acceptConnections(); });
}

scripted_peer::~scripted_peer()
{
    stopping_ = true;
    acceptor_.join();
    for (auto &server : servers_)
        server.join();
    ::close(listener_);
}

std::string scripted_peer::address() const
{
    return "127.0.0.1:" + std::to_string(port_);
}

std::vector<std::string> scripted_peer::requests() const
{
    const std::scoped_lock lock(mutex_);
    return requests_;
}

void scripted_peer::acceptConnections()
{
    while (!stopping_) {
        if (!isReadable(listener_))
            continue;
        const int connection = ::accept(listener_, nullptr, nullptr);
        servers_.emplace_back([this, connection] { serve(connection); });
    }
}

void scripted_peer::serve(int connection)
{
    std::string text;
    while (!stopping_) {
        const auto length = messageLength(text, true);
        if (length == 0) {
            if (isReadable(connection) && !receive(connection, text))
                break;
            continue;
        }
        const auto request = text.substr(0, length);
        text.erase(0, length);
        std::size_t number = 0;
        {
            const std::scoped_lock lock(mutex_);
            number = requests_.size();
            requests_.push_back(request);
        }
        const auto step = onRequest_(number, request);
        std::this_thread::sleep_for(std::chrono::milliseconds(step.delayMs));
        ::send(connection, step.bytes.data(), step.bytes.size(), MSG_NOSIGNAL);
        if (!step.trailingBytes.empty()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            ::send(connection, step.trailingBytes.data(), step.trailingBytes.size(), MSG_NOSIGNAL);
        }
        if (step.closeAfterwards)
            break;
    }
    ::close(connection);
}

std::string completeAnswer(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status)
            + " X\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
}

int freePort()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    auto address = localAddress(0);
    socklen_t size = sizeof address;
    if (::bind(socket, reinterpret_cast<sockaddr *>(&address), size) != 0
        || ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size) != 0)
        address.sin_port = 0;
    ::close(socket);
    return ntohs(address.sin_port);
}

std::string sendAndReceive(int port, const std::string &bytes, int timeoutMs)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto address = localAddress(port);
    std::string text;
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0) {
        ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        for (int waited = 0; waited < timeoutMs && messageLength(text, false) == 0;) {
            if (!isReadable(socket))
                waited += pollMs;
            else if (!receive(socket, text))
                break;
        }
    }
    ::close(socket);
    return text;
}

std::string requestText(const std::string &method, const std::string &target,
                        const std::string &headers, const std::string &body)
{
    return method + " " + target + " HTTP/1.1\r\nHost: boards.example\r\n" + headers
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace persimmon::entry::test
