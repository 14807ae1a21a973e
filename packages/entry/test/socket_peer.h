#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace persimmon::entry::test {

// What a scripted peer does with one received request.
struct peer_step
{
    std::string bytes; // sent as they are
    bool close = false; // after the bytes
    int delayMs = 0; // before the bytes
    std::string late {}; // sent 100 ms after the bytes
};

// TCP server that reads HTTP requests and answers with scripted bytes. Counts every request that
// arrived whole.
class scripted_peer
{
public:
    // Called with the number of the request (from 0) and its whole text.
    using script = std::function<peer_step(std::size_t number, const std::string &request)>;

    explicit scripted_peer(script behaviour);
    ~scripted_peer();
    scripted_peer(const scripted_peer &) = delete;
    scripted_peer &operator=(const scripted_peer &) = delete;

    std::string address() const;
    std::vector<std::string> requests() const;

private:
    void acceptConnections();
    void serve(int connection);

    script behaviour_;
    int listener_ = -1;
    int port_ = 0;
    std::atomic<bool> stopping_ = false;
    mutable std::mutex mutex_;
    std::vector<std::string> requests_;
    std::vector<int> connections_;
    std::vector<std::thread> servers_;
    std::thread acceptor_;
};

// Whole answer with a length.
std::string wholeAnswer(int status, const std::string &body);

// Returns a port of 127.0.0.1 that was free a moment ago.
int freePort();

// Sends bytes to a port and returns what arrives until the peer closes, an answer with a length is
// complete, or the time is over.
std::string exchangeBytes(int port, const std::string &bytes, int timeoutMs = 5000);

// Request with the usual fields and a length.
std::string requestText(const std::string &method, const std::string &target,
                        const std::string &headers = {}, const std::string &body = {});

} // namespace persimmon::entry::test
