#pragma once

#include "entry_program.h"
#include "socket_peer.h"

#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace persimmon::entry::test {

// State of a fake control leader; shared by the test and the loop's thread.
struct fake_control
{
    struct intent
    {
        std::uint64_t digest = 0;
        std::uint64_t attempt = 0;
        bool open = true;
        request_outcome outcome = request_outcome::Unknown;
        answer stored;
    };

    std::mutex mutex;
    tables current;
    std::vector<announcement> upstreams;
    std::vector<upstream_orders> orders;
    milliseconds lease {2000};
    std::uint64_t epoch = 1;
    bool reachable = true;
    bool drain = false;
    std::vector<sync_request> syncs;
    std::vector<job_spec> jobs;
    std::map<std::string, intent> intents; // by key
};

// Runs an entry on its own loop and thread with a fake control leader.
class entry_fixture
{
public:
    explicit entry_fixture(std::function<void(settings &)> configureSettings = {});
    ~entry_fixture();
    entry_fixture(const entry_fixture &) = delete;
    entry_fixture &operator=(const entry_fixture &) = delete;

    int port() const { return port_; }
    std::string call(const std::string &method, const std::string &target,
                     const std::string &headers = {}, const std::string &body = {}) const;
    // Waits up to 5 s until the entry is ready.
    bool waitReady() const;
    // Waits up to 5 s for a condition.
    static bool waitFor(const std::function<bool()> &condition);
    // Starts the shutdown and waits up to 5 s for its end.
    bool shutDown();

    fake_control control;

private:
    void run(const std::function<void(settings &)> &configureSettings);

    int port_ = freePort();
    std::atomic<bool> started_ = false;
    std::atomic<bool> shutDown_ = false;
    wire::event_loop *loop_ = nullptr;
    entry_server *server_ = nullptr;
    std::thread thread_;
};

// Sets tables with one workspace "boards", a repeatable route /r, a route /once that is not
// repeatable and a route /host for one host; announces upstreams at the given addresses in pool
// "p".
void configure(fake_control &control, const std::vector<std::string> &addresses);

announcement upstreamAt(const std::string &id, const std::string &address);

} // namespace persimmon::entry::test
