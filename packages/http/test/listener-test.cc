// Connections of the listener: what arrives, in which order, and what a planned stop does.
#include "client_registry.h"
#include "http/server.h"
#include "raw_client.h"

#include <boost/asio/post.hpp>

#include <functional>
#include <future>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::http::testing;

namespace {

std::string get(const std::string &path, const std::string &fields = {})
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace

TEST_GROUP(http_listener)
{
    int port = freePort();
    wire::event_loop loop;
    std::unique_ptr<http::server> opened;
    std::vector<http::server::reply> kept; // replies to /keep
    std::size_t handled = 0;
    std::size_t abandoned = 0; // of them, those whose client was gone
    http::request newest;

    void setup() override
    {
        http::server_options options;
        options.address = "127.0.0.1:" + std::to_string(port);
        options.refusalHeaders = {{"Outcome", "not_run"}};
        options.watchesArrivals = true;
        auto outcome = http::server::listen(
                loop, options, [this](const http::request &request, http::server::reply reply) {
                    handle(request, std::move(reply));
                });
        CHECK_FALSE(failed(outcome));
        opened = std::move(valueOf(outcome));
    }

    void teardown() override
    {
        kept.clear();
        newest = {};
    }

    void handle(const http::request &request, http::server::reply reply)
    {
        ++handled;
        abandoned += request.isAbandoned ? 1 : 0;
        newest = request;
        if (request.path == "/keep")
            kept.push_back(std::move(reply));
        else if (request.path == "/twice")
            reply({200, "", {}, "first"}), reply({200, "", {}, "second"});
        else if (request.path == "/throw")
            throw std::runtime_error("broken");
        else if (request.path != "/drop")
            reply({200, "", {}, request.path + std::to_string(request.body.size())});
    }

    // Runs the loop while a client works on a thread of its own.
    void runBeside(const std::function<void()> &work)
    {
        std::thread caller([&] {
            work();
            loop.stop();
        });
        loop.run();
        caller.join();
    }

    std::string exchangeBeside(const std::string &bytes) const
    {
        const raw_client client(port);
        client.send(bytes);
        return client.receiveAll();
    }

    std::string exchange(const std::string &bytes)
    {
        std::string received;
        runBeside([&] { received = exchangeBeside(bytes); });
        return received;
    }

    // Waits until the loop has handled a number of requests.
    void waitForRequests(std::size_t count)
    {
        for (int i = 0; i < 500; ++i) {
            std::promise<bool> reached;
            loop.post([&] { reached.set_value(handled >= count); });
            if (reached.get_future().get())
                return;
            std::this_thread::sleep_for(milliseconds {10});
        }
    }

    // Returns what is known of the client of the newest request. Must not be called on the loop.
    http::client_state checkClient()
    {
        std::promise<http::client_state> checked;
        loop.post([&] {
            newest.checkClient([&](const http::client_state &state) { checked.set_value(state); });
        });
        return checked.get_future().get();
    }

    // Returns for how long the newest request may have waited.
    milliseconds waitedFor()
    {
        std::promise<milliseconds> known;
        loop.post([&] {
            known.set_value(std::chrono::duration_cast<milliseconds>(
                    wire::monotonicNow() - newest.arrivedAfter.value_or(time_point {})));
        });
        return known.get_future().get();
    }

    // Keeps the connections from being read for a while, like a pause of the process.
    static void blockConnections(milliseconds time)
    {
        boost::asio::post(http::client_registry::instance({}).strand(),
                          [time] { std::this_thread::sleep_for(time); });
    }
};

// Guards against requests that are lost, or answered out of order, because they came together.
TEST(http_listener, answersRequestsThatCameTogetherInTurn)
{
    const auto answer
            = exchange(get("/a") + get("/b") + get("/c", "Connection: close\r\n") + get("/d"));
    LONGS_EQUAL(3, countOf(answer, "HTTP/1.1 200"));
    CHECK_TRUE(answer.find("/a0") < answer.find("/b0") && answer.find("/b0") < answer.find("/c0"));
    LONGS_EQUAL(3, handled);
}

// Guards against a request that is carried out although its client has left meanwhile, and against
// one that is taken for abandoned because the next one has arrived with it.
TEST(http_listener, tellsWhetherTheClientIsGone)
{
    runBeside([&] {
        raw_client client(port);
        client.sendAndClose(get("/a"));
        waitForRequests(1);
        exchangeBeside(get("/b") + get("/c", "Connection: close\r\n"));
    });
    LONGS_EQUAL(3, handled);
    LONGS_EQUAL(1, abandoned);
}

// Guards against a client that is taken for waiting because its next request hides that it has
// left.
TEST(http_listener, tellsThatTheClientIsGoneBehindItsNextRequest)
{
    bool isConnected = true;
    runBeside([&] {
        blockConnections(milliseconds {100});
        raw_client client(port);
        client.sendAndClose(get("/keep") + get("/b"));
        waitForRequests(1);
        isConnected = checkClient().isConnected;
    });
    LONGS_EQUAL(1, abandoned);
    CHECK_FALSE(isConnected);
}

// Guards against a request that is carried out although its client has left after it was read, and
// against one whose client is taken for gone while it waits.
TEST(http_listener, tellsThatTheClientLeavesBeforeItsResponse)
{
    std::optional<http::client_state> waiting;
    std::optional<http::client_state> left;
    runBeside([&] {
        {
            const raw_client client(port);
            client.send(get("/keep"));
            waitForRequests(1);
            waiting = checkClient();
        }
        left = checkClient();
    });
    CHECK_TRUE(waiting->isConnected);
    CHECK_FALSE(left->isConnected);
    LONGS_EQUAL(0, abandoned);
}

// Guards against a request that is taken for new because it is read now, although it arrived while
// the process stood still, and against one that is taken for old without a pause.
TEST(http_listener, tellsSinceWhenARequestMayHaveWaited)
{
    constexpr milliseconds pause {600};
    milliseconds withPause {};
    milliseconds withoutPause {};
    runBeside([&] {
        std::this_thread::sleep_for(milliseconds {200});
        blockConnections(pause);
        exchangeBeside(get("/a", "Connection: close\r\n"));
        withPause = waitedFor();
        std::this_thread::sleep_for(milliseconds {300});
        exchangeBeside(get("/b", "Connection: close\r\n"));
        withoutPause = waitedFor();
    });
    CHECK_TRUE(withPause >= pause);
    CHECK_TRUE(withoutPause < pause);
}

// Guards against a request that waits behind another one of its connection, and is taken for new
// because it is read only after the response to that one.
TEST(http_listener, requestBehindAnotherOneMayHaveWaitedAsLong)
{
    constexpr milliseconds timeOfFirst {700};
    milliseconds waited {};
    runBeside([&] {
        std::this_thread::sleep_for(milliseconds {200});
        const raw_client client(port);
        client.send(get("/keep") + get("/b", "Connection: close\r\n"));
        waitForRequests(1);
        std::this_thread::sleep_for(timeOfFirst);
        loop.post([&] { kept.back()({200, "", {}, "kept"}); });
        client.receiveAll();
        waited = waitedFor();
    });
    CHECK_TRUE(waited >= timeOfFirst);
}

// Guards against requests that are taken for old because the first one of their connection is, or
// because they follow each other closely.
TEST(http_listener, requestAfterAResponseIsNew)
{
    constexpr milliseconds limit {600};
    milliseconds waited {};
    runBeside([&] {
        const raw_client client(port);
        const auto end = std::chrono::steady_clock::now() + limit * 2;
        while (std::chrono::steady_clock::now() < end) {
            client.send(get("/a"));
            client.receiveUntil("/a0");
        }
        waited = waitedFor();
    });
    CHECK_TRUE(waited < limit);
}

// Guards against a body in the response to HEAD, which the client takes for the next response.
TEST(http_listener, sendsNoBodyToHead)
{
    const auto answer
            = exchange("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n" + get("/b", "Connection: close\r\n"));
    LONGS_EQUAL(2, countOf(answer, "Content-Length: 3\r\n"));
    LONGS_EQUAL(0, countOf(answer, "/a0"));
    LONGS_EQUAL(1, countOf(answer, "/b0"));
}

// Guards against clients that wait for leave to send the body.
TEST(http_listener, asksForTheBodyThatAClientHoldsBack)
{
    std::string interim;
    std::string answer;
    runBeside([&] {
        const raw_client client(port);
        client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                    "Expect: 100-continue\r\nConnection: close\r\n\r\n");
        interim = client.receiveUntil("\r\n\r\n");
        client.send("body");
        answer = client.receiveAll();
    });
    STRCMP_EQUAL("HTTP/1.1 100 Continue\r\n\r\n", interim.c_str());
    CHECK_TRUE(answer.starts_with("HTTP/1.1 200"));
}

// Guards against a refusal that the client can't read, because the connection was reset while it
// was sending.
TEST(http_listener, refusalOfALargeBodyCanBeRead)
{
    const std::string body(4000000, 'a');
    const auto answer
            = exchange("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n" + body);
    CHECK_TRUE(answer.starts_with("HTTP/1.1 413"));
    CHECK_TRUE(answer.find("Outcome: not_run") != std::string::npos);
    LONGS_EQUAL(0, handled);
}

// Guards against a connection that stays open, or a second response, by a handler's mistake.
TEST(http_listener, bearsMistakesOfTheHandler)
{
    std::string dropped;
    std::string twice;
    std::string thrown;
    runBeside([&] {
        dropped = exchangeBeside(get("/drop"));
        twice = exchangeBeside(get("/twice") + get("/b", "Connection: close\r\n"));
        thrown = exchangeBeside(get("/throw", "Connection: close\r\n"));
    });
    LONGS_EQUAL(0, dropped.size());
    LONGS_EQUAL(2, countOf(twice, "HTTP/1.1 200"));
    LONGS_EQUAL(0, countOf(twice, "second"));
    CHECK_TRUE(thrown.starts_with("HTTP/1.1 500"));
}

// Guards against a planned stop that cuts a request which is being answered.
TEST(http_listener, closingWaitsForResponses)
{
    std::string answer;
    runBeside([&] {
        const raw_client client(port);
        client.send(get("/keep"));
        waitForRequests(1);
        std::thread closing([&] { opened->close(); });
        std::this_thread::sleep_for(milliseconds {50});
        loop.post([&] { kept.at(0)({200, "", {}, "kept"}); });
        answer = client.receiveAll();
        closing.join();
    });
    CHECK_TRUE(answer.starts_with("HTTP/1.1 200"));
    CHECK_TRUE(answer.find("Connection: close") != std::string::npos);
}

// Guards against a planned stop that drops a request without an answer when a part of it has come.
TEST(http_listener, closingRefusesUnfinishedRequests)
{
    std::string answer;
    runBeside([&] {
        const raw_client client(port);
        client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo");
        std::this_thread::sleep_for(milliseconds {50});
        std::thread closing([&] { opened->close(); });
        answer = client.receiveAll();
        closing.join();
    });
    CHECK_TRUE(answer.starts_with("HTTP/1.1 503"));
    CHECK_TRUE(answer.find("Outcome: not_run") != std::string::npos);
}

// Guards against a stop that never ends, and a crash by a reply that comes after it.
TEST(http_listener, closingEndsAlsoWithoutTheReply)
{
    runBeside([&] {
        const raw_client client(port);
        client.send(get("/keep"));
        waitForRequests(1);
        opened->close();
        opened.reset();
        kept.at(0)({200, "", {}, "late"});
        LONGS_EQUAL(0, client.receiveAll().size());
    });
}
