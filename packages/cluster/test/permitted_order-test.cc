#include "cluster/permitted_order.h"

#include <deque>
#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::cluster;

// An order that a node gives to a leader of this test. Each call takes some time.
TEST_GROUP(PermittedOrder)
{
    time_point now {std::chrono::seconds {100}};
    milliseconds callTime {20};
    time_point callerWaitsUntil = time_point::max();
    std::deque<result<std::string>> permits;
    std::deque<result<std::string>> answers;
    std::size_t permitsRequested = 0;
    std::vector<std::string> sent; // permits of the orders
    std::optional<result<std::string>> outcome;

    result<std::string> take(std::deque<result<std::string>> & from)
    {
        now += callTime;
        auto next = from.front();
        if (from.size() > 1)
            from.pop_front();
        return next;
    }

    status checkCaller() const
    {
        if (now < callerWaitsUntil)
            return std::monostate {};
        return error {result_code::NotReady, "the caller may have stopped", {}, {}};
    }

    void pass(milliseconds timeout = milliseconds {1500})
    {
        passOrder({[this](const std::function<void(status)> &done) { done(checkCaller()); },
                   [this](milliseconds, const relay_client::completion &done) {
                       ++permitsRequested;
                       done(take(permits));
                   },
                   [this](const std::string &permit, milliseconds,
                          const relay_client::completion &done) {
                       sent.push_back(permit);
                       done(take(answers));
                   },
                   [this] { return now; }},
                  timeout, [this](const result<std::string> &done) { outcome = done; });
    }

    result_code code() const
    {
        return failed(*outcome) ? errorOf(*outcome).code : result_code::Ok;
    }
};

// Guards against an order that is given although its caller has stopped waiting while the leader
// was asked, and may have given a newer one before the permit was issued.
TEST(PermittedOrder, isNotSentIfItsCallerStopsWaitingForThePermit)
{
    permits = {std::string("1.0")};
    callerWaitsUntil = now + callTime / 2;
    pass();
    CHECK_EQUAL(1, permitsRequested);
    CHECK_TRUE(sent.empty());
    CHECK_TRUE(code() == result_code::NotReady);
}

// Guards against a leader that is kept busy by a node that has stood still and reads old orders.
TEST(PermittedOrder, asksForNoPermitIfItsCallerMayBeGone)
{
    callerWaitsUntil = now;
    pass();
    CHECK_EQUAL(0, permitsRequested);
    CHECK_TRUE(code() == result_code::NotReady);
}

// Guards against an order that fails because another one was taken in between, while its caller
// still waits: it is given again with a new permit.
TEST(PermittedOrder, isGivenAgainWhileItsCallerWaits)
{
    permits = {std::string("1.0"), std::string("1.1")};
    answers = {error {result_code::VersionConflict, "", {}, {}}, std::string("{}")};
    pass();
    CHECK_TRUE(code() == result_code::Ok);
    CHECK_TRUE(sent == (std::vector<std::string> {"1.0", "1.1"}));
}

// Guards against an order whose permit has ended and that is given with a new one after its caller
// has stopped waiting.
TEST(PermittedOrder, isNotGivenAgainAfterItsCallerHasStopped)
{
    permits = {std::string("1.0")};
    answers = {error {result_code::VersionConflict, "", {}, {}}};
    callerWaitsUntil = now + callTime * 2;
    pass();
    CHECK_TRUE(sent == (std::vector<std::string> {"1.0"}));
    CHECK_TRUE(code() == result_code::NotReady);
}

// Guards against an order that is given again for ever, and that is said not to have been carried
// out: an answer may have been lost.
TEST(PermittedOrder, endsAfterItsTime)
{
    permits = {std::string("1.0")};
    answers = {error {result_code::VersionConflict, "", {}, {}}};
    pass(milliseconds {200});
    CHECK_TRUE(code() == result_code::OutcomeUnknown);
    CHECK_EQUAL(5, sent.size());
}

// Guards against orders that no node can give during an upgrade: a leader of the version before
// issues no permits.
TEST(PermittedOrder, isSentWithoutAPermitToALeaderThatIssuesNone)
{
    permits = {error {result_code::MalformedRequest, "unknown kind of call", {}, {}}};
    answers = {std::string("{}")};
    pass();
    CHECK_TRUE(code() == result_code::Ok);
    CHECK_TRUE(sent == (std::vector<std::string> {""}));
}

// Guards against an order that is sent after its permit was refused.
TEST(PermittedOrder, failsIfThereIsNoLeader)
{
    permits = {error {result_code::NotReady, "no leader", {}, {}}};
    pass();
    CHECK_TRUE(code() == result_code::NotReady);
    CHECK_TRUE(sent.empty());
}
