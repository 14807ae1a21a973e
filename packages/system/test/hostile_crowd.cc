#include "hostile_crowd.h"

#include "base/clock.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace persimmon::system_test {

namespace {

constexpr std::size_t mebibyte = std::size_t {1024} * 1024;
constexpr std::size_t fewConnections = 8;
constexpr std::size_t endlessBytes = 16 * mebibyte; // of one connection
constexpr std::size_t manyConnections = 192;

// Just below the smallest limit for bodies of a listener.
constexpr std::size_t unfinishedBodyBytes = mebibyte - 16384;

// A peer that takes nothing for this time is taken to have stopped reading.
constexpr milliseconds stuckTime {1500};

constexpr std::size_t writeBytes = 65536;

std::string padded(std::size_t bytes)
{
    return "X-Pad: " + std::string(bytes, 'a') + "\r\n";
}

std::string postHead(const std::string &fields)
{
    return "POST /q/a HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n" + fields + "\r\n";
}

std::string chunkOf(std::size_t bytes)
{
    static constexpr std::array<char, 17> digits {"0123456789abcdef"};
    std::string size;
    for (auto rest = bytes; rest > 0; rest /= 16)
        size.insert(size.begin(), digits.at(rest % 16));
    return size + "\r\n" + std::string(bytes, 'a') + "\r\n";
}

int connectTo(const std::string &address)
{
    const auto colon = address.rfind(':');
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (handle < 0)
        return -1;
    if (::connect(handle, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        ::close(handle);
        return -1;
    }
    return handle;
}

} // namespace

std::vector<hostile_plan> hostileRequests()
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    return {
            {"head without end", "GET /q/ HTTP/1.1\r\nHost: h\r\n", padded(1000), endlessBytes,
             fewConnections},
            {"field without end", "GET /q/ HTTP/1.1\r\nHost: h\r\nX-Pad: ",
             std::string(writeBytes, 'a'), endlessBytes, fewConnections},
            {"request line without end", "GET /q/", std::string(writeBytes, 'a'), endlessBytes,
             fewConnections},
            {"empty lines without end", "", "\r\n\r\n\r\n\r\n", endlessBytes / 4, fewConnections},
            {"trailers without end", postHead(chunked) + chunkOf(1) + "0\r\n", padded(1000),
             endlessBytes, fewConnections},
            {"chunk extension without end", postHead(chunked) + "1;x=",
             std::string(writeBytes, 'a'), endlessBytes, fewConnections},
            {"unfinished bodies in large chunks", postHead(chunked), chunkOf(60000),
             unfinishedBodyBytes, manyConnections},
            {"unfinished bodies in chunks of one byte", postHead(chunked), chunkOf(1), mebibyte / 8,
             manyConnections},
            {"unfinished bodies of a declared length",
             postHead("Content-Length: " + std::to_string(unfinishedBodyBytes + 1) + "\r\n"),
             std::string(1000, 'a'), unfinishedBodyBytes, manyConnections},
            {"answers that aren't read", "", "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n",
             endlessBytes / 4, fewConnections},
    };
}

hostile_plan silentConnections()
{
    return {"silent connections", "", "", 0, 300};
}

hostile_plan unfinishedMessages()
{
    // A message of one segment of 32 MiB, by its number of segments less one and its size in words.
    std::string head(8, '\0');
    head[6] = 0x40;
    return {"unfinished messages", head, std::string(writeBytes, '\0'), endlessBytes,
            fewConnections};
}

hostile_crowd::hostile_crowd(const std::string &address, const hostile_plan &plan)
{
    for (std::size_t i = 0; i < plan.connections; ++i) {
        connection item;
        item.socket = connectTo(address);
        item.finished = item.socket < 0;
        connections_.push_back(item);
    }
    press(plan);
}

hostile_crowd::~hostile_crowd()
{
    for (const auto &item : connections_) {
        if (item.socket >= 0)
            ::close(item.socket);
    }
}

void hostile_crowd::press(const hostile_plan &plan)
{
    auto lastProgress = std::chrono::steady_clock::now();
    const auto isFinished = [](const connection &item) { return item.finished; };
    while (!std::ranges::all_of(connections_, isFinished)) {
        bool progress = false;
        for (auto &item : connections_)
            progress |= !item.finished && advance(item, plan);
        const auto now = std::chrono::steady_clock::now();
        if (progress)
            lastProgress = now;
        else if (now - lastProgress > stuckTime)
            return;
        else
            std::this_thread::sleep_for(milliseconds {5});
    }
}

// Sends a part of the plan. Returns whether the peer has taken anything or closed the connection.
bool hostile_crowd::advance(connection &item, const hostile_plan &plan)
{
    std::string next;
    if (item.sent < plan.head.size()) {
        next = plan.head.substr(item.sent);
    } else if (!plan.repeated.empty()) {
        next = plan.repeated.substr((item.sent - plan.head.size()) % plan.repeated.size());
        while (next.size() < writeBytes)
            next += plan.repeated;
    }
    const auto total = plan.head.size() + plan.bytes;
    next.resize(std::min(next.size(), total - item.sent));
    if (next.empty()) {
        item.finished = true;
        return true;
    }
    const auto count = ::send(item.socket, next.data(), next.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0) {
        item.finished = errno != EAGAIN && errno != EWOULDBLOCK;
        return item.finished;
    }
    item.sent += static_cast<std::size_t>(count);
    return count > 0;
}

} // namespace persimmon::system_test
