#pragma once

#include "entry_program.h"
#include "socket_peer.h"

#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace persimmon::entry::test {

// Stand-in for the control leader; its state is shared by the test and the loop's thread.
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

// An entry on its own loop and thread, over a stand-in for the leader.
class entry_fixture
{
public:
    explicit entry_fixture(std::function<void(settings &)> change = {});
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
    // Starts the shutdown and waits up to 10 s for its end.
    bool shutDown();

    fake_control control;

private:
    void run(const std::function<void(settings &)> &change);

    int port_ = freePort();
    std::atomic<bool> started_ = false;
    std::atomic<bool> shutDown_ = false;
    wire::event_loop *loop_ = nullptr;
    entry_server *server_ = nullptr;
    std::thread thread_;
};

// Tables with one workspace "boards", a repeatable route /r, a route /once that is not repeatable,
// and the given upstream addresses announced in pool "p".
void configure(fake_control &control, const std::vector<std::string> &addresses);

announcement upstreamAt(const std::string &id, const std::string &address);

} // namespace persimmon::entry::test
