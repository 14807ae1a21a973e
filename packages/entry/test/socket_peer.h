#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace persimmon::entry::test {

// Scripted reaction to one received request.
struct peer_step
{
    std::string bytes; // sent unchanged
    bool closeAfterwards = false; // closes the connection after the bytes
    int delayMs = 0; // before the bytes
    std::string trailingBytes {}; // sent 100 ms after the bytes
};

// TCP server that reads HTTP requests and answers with scripted bytes. Records every complete
// request.
class scripted_peer
{
public:
    // Called with the number of the request (from 0) and its complete text.
    using script = std::function<peer_step(std::size_t number, const std::string &request)>;

    explicit scripted_peer(script onRequest);
    ~scripted_peer();
    scripted_peer(const scripted_peer &) = delete;
    scripted_peer &operator=(const scripted_peer &) = delete;

    std::string address() const;
    std::vector<std::string> requests() const;

private:
    void acceptConnections();
    void serve(int connection);

    script onRequest_;
    int listener_ = -1;
    int port_ = 0;
    std::atomic<bool> stopping_ = false;
    mutable std::mutex mutex_;
    std::vector<std::string> requests_;
    std::vector<int> connections_;
    std::vector<std::thread> servers_;
    std::thread acceptor_;
};

// Returns a complete answer with a Content-Length.
std::string completeAnswer(int status, const std::string &body);

// Returns a port of 127.0.0.1 that was free at the time of the call.
int freePort();

// Sends bytes to a port and returns the bytes received until the peer closes the connection, an
// answer with a length is complete, or the time-out expires.
std::string sendAndReceive(int port, const std::string &bytes, int timeoutMs = 5000);

// Returns a request with a Host and a Content-Length.
std::string requestText(const std::string &method, const std::string &target,
                        const std::string &headers = {}, const std::string &body = {});

} // namespace persimmon::entry::test
