#include "entry_fixture.h"
#include "upstream_client.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::entry;
using namespace persimmon::entry::test;

namespace {

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

void checkContains(const std::string &part, const std::string &text, std::size_t line)
{
    const auto message = part + " is not in: " + text;
    CHECK_TRUE_LOCATION(contains(text, part), "CHECK_CONTAINS", part.c_str(), message.c_str(),
                        __FILE__, line);
}

} // namespace

#define CHECK_CONTAINS(part, text) checkContains(part, text, __LINE__)

TEST_GROUP(entry_program) {};

// Guards against losing the method, path, query, body or end-to-end fields, and against forwarding
// hop-by-hop fields.
TEST(entry_program, forwardsRequestsAndAnswers)
{
    scripted_peer peer([](std::size_t, const std::string &) {
        return peer_step {"HTTP/1.1 201 X\r\nX-Back: b\r\nConnection: X-Hop2\r\nX-Hop2: h\r\n"
                          "Content-Type: text/x\r\nContent-Length: 4\r\n\r\ndone"};
    });
    entry_fixture entry;
    configure(entry.control, {peer.address()});
    CHECK(entry.waitReady());
    const auto answer = entry.call("POST", "/r/a%2Fb?x=%20y",
                                   "X-End: e\r\nX-Hop: h\r\nConnection: X-Hop\r\n", "body");
    CHECK_CONTAINS(" 201 ", answer);
    CHECK_CONTAINS("Persimmon-Outcome: ran", answer);
    CHECK_CONTAINS("X-Back: b", answer);
    CHECK_CONTAINS("Content-Type: text/x\r\n", answer);
    CHECK_FALSE(contains(answer, "X-Hop2"));
    CHECK_CONTAINS("\r\n\r\ndone", answer);
    const auto received = peer.requests().at(0);
    CHECK_CONTAINS("POST /r/a%2Fb?x=%20y HTTP/1.1\r\n", received);
    CHECK_CONTAINS("X-End:e", received);
    CHECK_CONTAINS("Host:boards.example", received);
    CHECK_FALSE(contains(received, "X-Hop"));
    CHECK_CONTAINS("\r\n\r\nbody", received);
}

namespace {

// Answers the first request, and on the next one closes the connection after reading it, as an
// upstream does that stops while a keep-alive connection is reused.
scripted_peer::script closeOnReuse()
{
    return [](std::size_t number, const std::string &) {
        return number == 1 ? peer_step {"", true} : peer_step {completeAnswer(200, "fine")};
    };
}

// Sends a request and, 100 ms later, a second one; by then the library has returned the connection
// to its pool. Returns the result of the second one.
attempt_end sendTwice(const std::string &address, bool singleUse)
{
    wire::event_loop loop;
    const auto client = upstream_client::create(loop, 1000);
    attempt_end last = attempt_end::TooLarge;
    const outgoing_request request {"POST", "/dial", {}, "call"};
    const auto sendSecond = [&](time_point /*now*/) {
        client->send({static_cast<request_id>(2), 1}, address, singleUse, request,
                     [&](const attempt_answer &answer) {
                         last = answer.end;
                         loop.stop();
                     });
    };
    client->send(
            {static_cast<request_id>(1), 1}, address, singleUse, request,
            [&](const attempt_answer &) { loop.timers().after(milliseconds {100}, sendSecond); });
    loop.run();
    return last;
}

} // namespace

// Documents why single-use dispatches exist: on a shared client the library silently resends the
// second POST, so the peer receives three requests.
TEST(entry_program, sharedClientResendsRequests)
{
    scripted_peer peer(closeOnReuse());
    LONGS_EQUAL(attempt_end::Answered, sendTwice(peer.address(), false));
    LONGS_EQUAL(3, peer.requests().size());
}

// Guards against delivering a request twice that is not repeatable.
TEST(entry_program, singleUseDispatchSendsOnce)
{
    scripted_peer peer(closeOnReuse());
    LONGS_EQUAL(attempt_end::Lost, sendTwice(peer.address(), true));
    LONGS_EQUAL(2, peer.requests().size());
}

// Guards against the library following a redirect, which would send the request a second time.
TEST(entry_program, relaysRedirects)
{
    scripted_peer peer([](std::size_t, const std::string &) {
        return peer_step {"HTTP/1.1 307 X\r\nLocation: /r/other\r\nContent-Length: 0\r\n\r\n"};
    });
    entry_fixture entry;
    configure(entry.control, {peer.address()});
    CHECK(entry.waitReady());
    CHECK_CONTAINS(" 307 ", entry.call("POST", "/once/x", "Idempotency-Key: k\r\n", "b"));
    CHECK_CONTAINS(" 307 ", entry.call("GET", "/r/x"));
    LONGS_EQUAL(2, peer.requests().size());
}

// Guards against relaying truncated answers, or answers whose end can't be determined, as complete.
TEST(entry_program, reportsIncompleteAnswers)
{
    const std::vector<std::string> answers {
            "HTTP/1.1 200 X\r\n\r\nno length", "HTTP/1.1 200 X\r\nContent-Length: 50\r\n\r\ncut",
            "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ncu",
            "HTTP/1.1 200 X\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nboth",
            "HTTP/1.1 200 X\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'x')};
    scripted_peer peer([&](std::size_t number, const std::string &) {
        return peer_step {answers.at(number), true};
    });
    entry_fixture entry([](settings &values) { values.maxBodyBytes = 1000; });
    configure(entry.control, {peer.address()});
    CHECK(entry.waitReady());
    for (std::size_t index = 0; index < answers.size(); ++index) {
        const auto key = "Idempotency-Key: k" + std::to_string(index) + "\r\n";
        const auto answer = entry.call("POST", "/once/x", key, "b");
        CHECK_CONTAINS(" 502 ", answer);
        CHECK_CONTAINS("answer_incomplete", answer);
        CHECK_CONTAINS("Persimmon-Outcome: unknown", answer);
        CHECK_CONTAINS("outcome_unknown", entry.call("POST", "/once/x", key, "b"));
    }
    LONGS_EQUAL(answers.size(), peer.requests().size());
}

// Guards against failing a repeatable request after one truncated answer although the budget allows
// a retry, and against retries beyond the budget of 10 percent.
TEST(entry_program, retriesRepeatableRequestsWithinTheBudget)
{
    scripted_peer peer([](std::size_t number, const std::string &) {
        return number < 10 ? peer_step {completeAnswer(200, "fine")}
                           : peer_step {"HTTP/1.1 200 X\r\nContent-Length: 50\r\n\r\ncut", true};
    });
    entry_fixture entry;
    configure(entry.control, {peer.address()});
    CHECK(entry.waitReady());
    for (int count = 0; count < 10; ++count)
        CHECK_CONTAINS("fine", entry.call("GET", "/r/x"));
    CHECK_CONTAINS("answer_incomplete", entry.call("GET", "/r/x"));
    LONGS_EQUAL(12, peer.requests().size());
    CHECK_CONTAINS("answer_incomplete", entry.call("GET", "/r/x"));
    LONGS_EQUAL(13, peer.requests().size());
}

// Guards against a replayed answer that differs from the first one, a second dispatch for a known
// key, and a dispatch without a key.
TEST(entry_program, replaysStoredAnswers)
{
    scripted_peer peer([](std::size_t number, const std::string &) {
        return peer_step {completeAnswer(201, "dialled " + std::to_string(number))};
    });
    entry_fixture entry;
    configure(entry.control, {peer.address()});
    CHECK(entry.waitReady());
    CHECK_CONTAINS("key_required", entry.call("POST", "/once/x", "", "b"));
    const auto first = entry.call("POST", "/once/x", "Idempotency-Key: k\r\n", "b");
    CHECK_CONTAINS("dialled 0", first);
    CHECK(entry_fixture::waitFor([&] {
        const std::scoped_lock lock(entry.control.mutex);
        return !entry.control.intents.at("k").open;
    }));
    const auto again = entry.call("POST", "/once/x", "Idempotency-Key: k\r\n", "b");
    CHECK_CONTAINS(" 201 ", again);
    CHECK_CONTAINS("dialled 0", again);
    CHECK_CONTAINS("Persimmon-Outcome: ran", again);
    LONGS_EQUAL(1, peer.requests().size());
}

// Guards against two dispatches for one key, waiting beyond the time-out, and delivering a late
// answer to the next caller.
TEST(entry_program, answersUnknownWhenAnUpstreamTimesOut)
{
    scripted_peer peer([](std::size_t number, const std::string &) {
        return peer_step {completeAnswer(200, "answer " + std::to_string(number)), false,
                          number == 0 ? 600 : 0};
    });
    entry_fixture entry;
    configure(entry.control, {peer.address()});
    CHECK(entry.waitReady());
    const std::string fields = "Idempotency-Key: k\r\nPersimmon-Timeout-Ms: 300\r\n";
    std::string first;
    std::thread caller([&] { first = entry.call("POST", "/once/x", fields, "b"); });
    CHECK(entry_fixture::waitFor([&] { return !peer.requests().empty(); }));
    const auto second = entry.call("POST", "/once/x", fields, "b");
    caller.join();
    CHECK_CONTAINS(" 409 ", second);
    CHECK_CONTAINS("in_progress", second);
    CHECK_CONTAINS("Persimmon-Outcome: unknown", first);
    CHECK_CONTAINS("\"timeout\"", first);
    CHECK_CONTAINS("answer 1", entry.call("GET", "/r/x"));
}

// Guards against delivering the late remainder of an answer to the next caller on the same
// connection.
TEST(entry_program, discardsConnectionsWithIncompleteAnswers)
{
    const std::vector<std::string> starts {"HTTP/1.1 100 X\r\n\r\n",
                                           "HTTP/1.1 204 X\r\nContent-Length: 4\r\n\r\n",
                                           "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"};
    scripted_peer peer([&](std::size_t number, const std::string &) {
        return number % 2 == 0
                ? peer_step {starts.at(number / 2), false, 0, completeAnswer(200, "late")}
                : peer_step {completeAnswer(200, "own")};
    });
    entry_fixture entry;
    configure(entry.control, {peer.address()});
    CHECK(entry.waitReady());
    for (std::size_t index = 0; index < starts.size(); ++index) {
        const auto start = entry.call(index == 2 ? "HEAD" : "GET", "/r/x");
        CHECK_CONTAINS(index == 2 ? " 200 " : "answer_incomplete", start);
        std::this_thread::sleep_for(milliseconds {200});
        CHECK_CONTAINS("\r\n\r\nown", entry.call("GET", "/r/x"));
    }
}

// Guards against a false `unknown` when nothing was written, and a false `not_run` otherwise: the
// message of the library's connect failure is the only proof that nothing was written.
TEST(entry_program, answersNotRunWhenNoUpstreamAccepts)
{
    entry_fixture entry;
    configure(entry.control, {"127.0.0.1:" + std::to_string(freePort())});
    CHECK(entry.waitReady());
    const auto answer = entry.call("POST", "/once/x", "Idempotency-Key: k\r\n", "b");
    CHECK_CONTAINS("upstream_unreachable", answer);
    CHECK_CONTAINS("Persimmon-Outcome: not_run", answer);
    CHECK_CONTAINS("host_required",
                   sendAndReceive(entry.port(), "GET /host/x HTTP/1.1\r\nHost:\r\n\r\n"));
    CHECK_CONTAINS("no_route", entry.call("GET", "/host/x"));
}

// Guards against serving without a configuration lease, and against losing requests that wait for
// it.
TEST(entry_program, defersRequestsWithoutTheLease)
{
    scripted_peer peer([](std::size_t, const std::string &) {
        return peer_step {completeAnswer(200, "fine")};
    });
    entry_fixture entry;
    configure(entry.control, {peer.address()});
    entry.control.lease = milliseconds {200};
    CHECK(entry.waitReady());
    const auto setReachable = [&](bool reachable) {
        const std::scoped_lock lock(entry.control.mutex);
        entry.control.reachable = reachable;
    };
    setReachable(false);
    CHECK(entry_fixture::waitFor(
            [&] { return contains(entry.call("GET", "/readyz"), "not_ready"); }));
    CHECK_CONTAINS("deadline_exceeded", entry.call("GET", "/r/x"));
    LONGS_EQUAL(0, peer.requests().size());
    std::string held;
    std::thread caller([&] { held = entry.call("GET", "/r/x"); });
    std::this_thread::sleep_for(milliseconds {100});
    setReachable(true);
    caller.join();
    CHECK_CONTAINS("fine", held);
}

// Guards against a planned stop that interrupts requests or keeps accepting new ones.
TEST(entry_program, finishesRequestsBeforeItStops)
{
    scripted_peer peer([](std::size_t, const std::string &) {
        return peer_step {completeAnswer(200, "fine"), false, 400};
    });
    entry_fixture entry;
    configure(entry.control, {peer.address()});
    CHECK(entry.waitReady());
    std::string running;
    std::string queued;
    std::thread first([&] { running = entry.call("GET", "/r/1"); });
    std::thread second([&] { queued = entry.call("GET", "/r/2"); });
    CHECK(entry_fixture::waitFor([&] { return !peer.requests().empty(); }));
    CHECK(entry.shutDown());
    LONGS_EQUAL(2, peer.requests().size()); // one slot: the second is sent after the first ends
    first.join();
    second.join();
    CHECK_CONTAINS("fine", running);
    CHECK_CONTAINS("fine", queued);
    CHECK_CONTAINS("stopping", entry.call("GET", "/readyz"));
    CHECK_CONTAINS("stopping", entry.call("GET", "/r/3"));
    const std::scoped_lock lock(entry.control.mutex);
    CHECK(entry.control.syncs.back().stopping);
}

// Guards against silently accepting invalid or unknown input to the job interface.
TEST(entry_program, checksJobsStrictly)
{
    entry_fixture entry;
    configure(entry.control, {});
    CHECK(entry.waitReady());
    const auto submit
            = [&](const std::string &body) { return entry.call("POST", "/v1/jobs", "", body); };
    const auto accepted = submit(R"({"workspace":"boards","tasks":64,"cores":2,"payload":"x"})");
    CHECK_CONTAINS(" 202 ", accepted);
    CHECK_CONTAINS("{\"id\":1}", accepted);
    CHECK_CONTAINS("Persimmon-Outcome: ran", accepted);
    CHECK_CONTAINS("made", entry.call("GET", "/v1/jobs/1/result"));
    CHECK_CONTAINS("not_found", entry.call("GET", "/v1/jobs/7"));
    const std::vector<std::pair<std::string, std::string>> refused {
            {R"({"workspace":"boards","cores":1,"task":1})", "unknown_field"},
            {R"({"workspace":"boards","cores":0})", "\"cores\""},
            {R"({"workspace":"boards","cores":-1})", "\"cores\""},
            {R"({"workspace":"boards","cores":1.5})", "\"cores\""},
            {R"({"workspace":"boards","cores":1,"tasks":65})", "\"tasks\""},
            {R"({"workspace":"boards","cores":1,"cores":2})", "duplicate field"},
            {R"({"workspace":"boards"})", "missing_field"},
            {R"({"cores":1})", "\"workspace\""},
            {R"({"workspace":"none","cores":1})", "unknown_workspace"},
            {R"({"workspace":"boards")", "malformed_request"}};
    for (const auto &[body, part] : refused) {
        const auto answer = submit(body);
        CHECK_CONTAINS("HTTP/1.1 4", answer);
        CHECK_CONTAINS("Persimmon-Outcome: not_run", answer);
        CHECK_CONTAINS(part, answer);
    }
    const auto large = submit(std::string(1048577, ' '));
    CHECK_CONTAINS("body_too_large", large);
    CHECK_CONTAINS("Persimmon-Outcome: not_run", large);
}

// Guards against orders from an entry without the leader's view, which would stop tasks, and
// against acknowledging a leaving upstream before the leader has.
TEST(entry_program, answersAnnouncementsFromTheLeadersView)
{
    entry_fixture entry;
    configure(entry.control, {});
    entry.control.lease = milliseconds {200};
    CHECK(entry.waitReady());
    {
        const std::scoped_lock lock(entry.control.mutex);
        entry.control.orders
                = {{"u", {{"u", {job_id {5}, 1, 0, 9}, task_action::Prepare, {1, 2, 3}, "x"}}}};
    }
    const auto announce = [&](const std::string &state) {
        return entry.call("POST", "/v1/announce", "",
                          R"({"id":"u","incarnation":1,"address":"127.0.0.1:1","pool":"p",)"
                          R"("state":")"
                                  + state + R"(","tasks":[]})");
    };
    const auto answer = announce("serving");
    CHECK_CONTAINS(" 200 ", answer);
    CHECK_CONTAINS("\"action\":\"prepare\"", answer);
    CHECK_CONTAINS("\"next_ms\":200", answer);
    CHECK_CONTAINS("unknown_field", entry.call("POST", "/v1/announce", "", R"({"name":"u"})"));
    {
        const std::scoped_lock lock(entry.control.mutex);
        entry.control.reachable = false;
    }
    std::this_thread::sleep_for(milliseconds {300});
    CHECK_CONTAINS("not_ready", announce("serving"));
    CHECK_CONTAINS("not_ready", announce("leaving"));
    {
        const std::scoped_lock lock(entry.control.mutex);
        entry.control.reachable = true;
    }
    CHECK(entry_fixture::waitFor([&] { return contains(announce("leaving"), " 200 "); }));
    const std::scoped_lock lock(entry.control.mutex);
    CHECK(entry.control.upstreams.at(0).state == upstream_state::Leaving);
}

// Guards against metrics without their labels, and against a missing readiness metric.
TEST(entry_program, exportsMetrics)
{
    scripted_peer peer([](std::size_t, const std::string &) {
        return peer_step {completeAnswer(200, "fine")};
    });
    entry_fixture entry;
    configure(entry.control, {peer.address()});
    CHECK(entry.waitReady());
    CHECK_CONTAINS("fine", entry.call("GET", "/r/x"));
    const auto text = entry.call("GET", "/metrics");
    CHECK_CONTAINS("persimmon_request_seconds_count{class=\"standard\",workspace=\"boards\"} 1",
                   text);
    CHECK_CONTAINS("persimmon_requests_total{code=\"ok\",outcome=\"ran\"} 1", text);
    CHECK_CONTAINS("persimmon_entry_state{name=\"ready\"} 1", text);
}
