#include "faulty_link.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace persimmon::system_test {

namespace {

constexpr std::int64_t slowDelayMs = 400;
constexpr std::chrono::milliseconds pollPeriod {2};

std::int64_t nowMs()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

sockaddr_in addressOf(const std::string &text)
{
    const auto colon = text.rfind(':');
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

void setNonBlocking(int socket)
{
    fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) | O_NONBLOCK);
}

} // namespace

faulty_link::faulty_link(const std::string &listen, std::string target)
    : target_(std::move(target))
    , listener_(socket(AF_INET, SOCK_STREAM, 0))
{
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = addressOf(listen);
    if (bind(listener_, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || ::listen(listener_, SOMAXCONN) != 0)
        throw std::runtime_error("can't listen on " + listen);
    setNonBlocking(listener_);
    thread_ = std::thread([this] { run(); });
}

faulty_link::~faulty_link()
{
    stopRequested_ = true;
    thread_.join();
    for (auto &item : connections_)
        close(item, true);
    ::close(listener_);
}

void faulty_link::run()
{
    while (!stopRequested_) {
        accept();
        const bool reset = resetRequested_.exchange(false);
        const link_condition now = condition_;
        const bool silent = now == link_condition::Silent;
        for (auto item = connections_.begin(); item != connections_.end();) {
            const bool open = !reset
                    && pass(item->requests, silent || now == link_condition::NoRequests)
                    && pass(item->answers, silent || now == link_condition::NoAnswers);
            if (open && !(item->requests.closed && item->answers.closed)) {
                ++item;
                continue;
            }
            close(*item, reset);
            item = connections_.erase(item);
        }
        std::this_thread::sleep_for(pollPeriod);
    }
}

void faulty_link::accept()
{
    for (;;) {
        const int client = ::accept(listener_, nullptr, nullptr);
        if (client < 0)
            return;
        const int server = socket(AF_INET, SOCK_STREAM, 0);
        const auto address = addressOf(target_);
        if (connect(server, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
            ::close(client);
            ::close(server);
            continue;
        }
        setNonBlocking(client);
        setNonBlocking(server);
        auto &added = connections_.emplace_back();
        added.requests.from = added.answers.to = client;
        added.requests.to = added.answers.from = server;
    }
}

// Returns false if the connection has broken.
bool faulty_link::pass(stream &item, bool blocked)
{
    read(item, condition_ == link_condition::Slow ? slowDelayMs : 0);
    return blocked || write(item);
}

void faulty_link::read(stream &item, std::int64_t delayMs)
{
    std::array<char, 65536> buffer {};
    while (!item.ended) {
        const auto count = recv(item.from, buffer.data(), buffer.size(), 0);
        if (count < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        item.ended = count <= 0;
        item.waiting.push_back(
                {nowMs() + delayMs,
                 std::string(buffer.data(), static_cast<std::size_t>(count > 0 ? count : 0))});
    }
}

bool faulty_link::write(stream &item)
{
    while (!item.waiting.empty() && item.waiting.front().dueMs <= nowMs()) {
        auto &bytes = item.waiting.front().bytes;
        if (bytes.empty()) {
            shutdown(item.to, SHUT_WR);
            item.closed = true;
            item.waiting.pop_front();
            continue;
        }
        const auto count = send(item.to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0)
            return errno == EAGAIN || errno == EINTR;
        bytes.erase(0, static_cast<std::size_t>(count));
        if (!bytes.empty())
            return true;
        item.waiting.pop_front();
    }
    return true;
}

void faulty_link::close(connection &item, bool reset)
{
    const linger atOnce {1, 0};
    for (const int socket : {item.requests.from, item.requests.to}) {
        if (reset)
            setsockopt(socket, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
        ::close(socket);
    }
}

} // namespace persimmon::system_test
