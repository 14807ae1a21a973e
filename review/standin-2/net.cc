#include "net.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace standin {

namespace {

const auto began = std::chrono::steady_clock::now();

int connectTo(const std::string &address, std::int64_t timeoutMs)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos || !address.starts_with("127."))
        return -1; // loopback only
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    if (::inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr) != 1)
        return -1;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0)
        return -1;
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(fd, reinterpret_cast<sockaddr *>(&target), sizeof(target)) == 0)
        return fd;
    pollfd item {fd, POLLOUT, 0};
    int failure = 0;
    socklen_t size = sizeof(failure);
    if (errno != EINPROGRESS || ::poll(&item, 1, static_cast<int>(timeoutMs)) != 1
        || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

std::string textOf(const std::string &method, const std::string &path, const headers &fields,
                   const std::string &body, const std::string &address)
{
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    if (!fields.contains("Host"))
        text += "Host: " + address + "\r\n";
    for (const auto &[name, value] : fields)
        text += name + ": " + value + "\r\n";
    if (!body.empty())
        text += "Content-Type: application/json\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    return text;
}

bool sendAll(int fd, const std::string &text, std::int64_t deadline)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto count = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
            continue;
        }
        if (count < 0 && errno != EAGAIN && errno != EINTR)
            return false;
        pollfd item {fd, POLLOUT, 0};
        const auto left = deadline - nowMs();
        if (left <= 0 || ::poll(&item, 1, static_cast<int>(left)) <= 0)
            return false;
    }
    return true;
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - began)
            .count();
}

std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

void sleepMs(std::int64_t ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::optional<answer> call(const std::string &address, const std::string &method,
                           const std::string &path, const headers &fields, const std::string &body,
                           std::int64_t timeoutMs)
{
    const auto deadline = nowMs() + timeoutMs;
    const int fd = connectTo(address, timeoutMs);
    if (fd < 0)
        return std::nullopt;
    std::optional<answer> found;
    if (sendAll(fd, textOf(method, path, fields, body, address), deadline)) {
        std::string received;
        std::size_t headEnd = std::string::npos;
        std::size_t length = 0;
        while (true) {
            if (headEnd == std::string::npos) {
                headEnd = received.find("\r\n\r\n");
                if (headEnd != std::string::npos) {
                    const auto at = received.find("Content-Length: ");
                    length = at < headEnd
                            ? static_cast<std::size_t>(std::atoll(received.c_str() + at + 16))
                            : 0;
                }
            }
            if (headEnd != std::string::npos && received.size() >= headEnd + 4 + length) {
                found = answer {std::atoi(received.c_str() + 9),
                                received.substr(headEnd + 4, length)};
                break;
            }
            pollfd item {fd, POLLIN, 0};
            const auto left = deadline - nowMs();
            if (left <= 0 || ::poll(&item, 1, static_cast<int>(left)) <= 0)
                break;
            char buffer[65536];
            const auto count = ::recv(fd, buffer, sizeof(buffer), 0);
            if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR))
                break;
            if (count > 0)
                received.append(buffer, static_cast<std::size_t>(count));
        }
    }
    ::close(fd);
    return found;
}

int sendOnly(const std::string &address, const std::string &method, const std::string &path,
             const headers &fields, const std::string &body)
{
    const int fd = connectTo(address, 1000);
    if (fd >= 0 && !sendAll(fd, textOf(method, path, fields, body, address), nowMs() + 1000)) {
        ::close(fd);
        return -1;
    }
    return fd;
}

bool isListening(const std::string &address)
{
    const int fd = connectTo(address, 200);
    if (fd >= 0)
        ::close(fd);
    return fd >= 0;
}

} // namespace standin
