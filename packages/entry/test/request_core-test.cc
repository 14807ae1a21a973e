#include "request_core.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>

using namespace persimmon;
using namespace persimmon::entry;

namespace {

time_point at(int ms)
{
    return time_point {milliseconds {ms}};
}

tables sampleTables()
{
    tables values;
    values.version = 1;
    values.pools = {{"p", 8, 64, 3, "buddy"}};
    values.workspaces = {{"heavy", 3, 0, {}}, {"light", 1, 0, {}}};
    const milliseconds timeout {10000};
    for (const std::string name : {"heavy", "light"}) {
        values.routes.push_back(
                {name, name, "", "/" + name, "p", priority_class::Standard, true, timeout});
        values.routes.push_back({name + "-urgent", name, "", "/" + name + "/urgent", "p",
                                 priority_class::Urgent, true, timeout});
        values.routes.push_back({name + "-once", name, "", "/" + name + "/once", "p",
                                 priority_class::Standard, false, timeout});
    }
    return values;
}

std::vector<announcement> upstreamsOf(std::size_t count)
{
    std::vector<announcement> list(count);
    for (std::size_t index = 0; index < count; ++index) {
        list[index].id = "u" + std::to_string(index);
        list[index].incarnation = 1;
        list[index].pool = "p";
        list[index].slots = 8;
        list[index].connections = 64;
    }
    return list;
}

// Returns the first action of a type, or nullptr.
template <typename Item>
const Item *first(const actions &list)
{
    for (const auto &item : list) {
        if (const auto *found = std::get_if<Item>(&item))
            return found;
    }
    return nullptr;
}

// Returns the answer among the actions; the test fails without one.
const answer_caller &answerIn(const actions &list)
{
    const auto *found = first<answer_caller>(list);
    CHECK_TRUE(found != nullptr);
    return *found;
}

} // namespace

TEST_GROUP(request_core)
{
    request_core core {{8, 10, 1}};
    std::uint64_t lastId = 0;

    void prepare(std::size_t upstreams)
    {
        core.applyTables(at(0), sampleTables());
        core.applyView(at(0), upstreamsOf(upstreams), true);
        core.setLease(at(0), at(1000000));
    }

    actions receive(const std::string &path, const std::string &key = {}, int ms = 1)
    {
        request_info info;
        info.id = static_cast<request_id>(++lastId);
        info.path = path;
        info.key = key;
        return core.requestReceived(at(ms), info);
    }

    // Completes an attempt and returns the request that is sent next, or 0.
    std::uint64_t completeAndGetNext(attempt_ref & running)
    {
        const auto list = core.attemptEnded(at(2), {running, attempt_end::Answered, 200});
        const auto *sent = first<send_attempt>(list);
        if (sent == nullptr)
            return 0;
        running = sent->ref;
        return static_cast<std::uint64_t>(running.id);
    }
};

// Guards against a workspace that exceeds its share under contention, and against urgent requests
// that wait behind other requests of their workspace.
TEST(request_core, sharesServiceByWeightAndClass)
{
    prepare(1);
    auto running = first<send_attempt>(receive("/light"))->ref; // 1
    for (int count = 0; count < 5; ++count)
        receive("/heavy"); // 2 to 6
    receive("/light"); // 7
    receive("/light"); // 8
    receive("/heavy/urgent"); // 9
    std::array<std::uint64_t, 5> order {};
    for (auto &id : order)
        id = completeAndGetNext(running);
    LONGS_EQUAL(9, order[0]);
    LONGS_EQUAL(1, std::ranges::count_if(order, [](auto id) { return id == 7 || id == 8; }));
}

// Guards against an overload by one workspace that starves the others.
TEST(request_core, protectsTheShareOfAWorkspaceUnderOverload)
{
    prepare(1);
    for (int count = 0; count < 9; ++count)
        receive("/light");
    const auto refused = answerIn(receive("/light")).refusal;
    CHECK(refused->code == result_code::Overloaded);
    for (int count = 0; count < 6; ++count)
        CHECK_TRUE(receive("/heavy").empty());
    CHECK(answerIn(receive("/heavy")).refusal->code == result_code::Overloaded);
}

// Guards against queueing requests that can't be served before their deadline.
TEST(request_core, rejectsRequestsThatWouldExpire)
{
    prepare(1);
    const auto running = first<send_attempt>(receive("/heavy"))->ref;
    core.attemptEnded(at(4000), {running, attempt_end::Answered, 200});
    receive("/heavy", {}, 4000);
    for (int count = 0; count < 3; ++count)
        CHECK_TRUE(receive("/heavy", {}, 4000).empty());
    const auto list = receive("/heavy", {}, 4000);
    CHECK(answerIn(list).outcome == request_outcome::NotRun);
    CHECK(answerIn(list).refusal->code == result_code::Overloaded);
}

// Guards against requests that expire in the queue without an answer.
TEST(request_core, answersDeadlineExceededFromTheQueue)
{
    prepare(0);
    CHECK_TRUE(receive("/light").empty());
    CHECK_TRUE(core.tick(at(10000)).empty());
    const auto list = core.tick(at(10001));
    CHECK(answerIn(list).outcome == request_outcome::NotRun);
    CHECK(answerIn(list).refusal->code == result_code::DeadlineExceeded);
}

// Guards against a rollback of the tables to an older version.
TEST(request_core, neverAppliesALowerVersion)
{
    auto newer = sampleTables();
    newer.version = 3;
    core.applyTables(at(0), newer);
    core.applyTables(at(0), sampleTables());
    LONGS_EQUAL(3, core.version());
}

// Guards against sending a request that was deferred or queued under old tables by a route that the
// tables in force no longer contain (seen at an entry that was frozen during a change).
TEST(request_core, reroutesWaitingRequests)
{
    prepare(0);
    CHECK_TRUE(receive("/light").empty());
    CHECK_TRUE(receive("/heavy").empty());
    auto newer = sampleTables();
    newer.version = 2;
    std::erase_if(newer.routes, [](const route &row) { return row.name == "light"; });
    const auto list = core.applyTables(at(2), newer);
    LONGS_EQUAL(1, list.size());
    CHECK(first<answer_caller>(list)->refusal->code == result_code::NoRoute);
    CHECK(first<answer_caller>(list)->outcome == request_outcome::NotRun);
    const auto sent = core.applyView(at(3), upstreamsOf(1), true);
    LONGS_EQUAL(1, sent.size());
    LONGS_EQUAL(2, static_cast<int>(first<send_attempt>(sent)->ref.id));
}

// Guards against a key that stays in progress forever after the ledger's first reply was lost, and
// against a second dispatch of an attempt whose outcome could not be recorded.
TEST(request_core, dispatchesItsOpenIntentOnce)
{
    prepare(2);
    const intent_reply mine {intent_decision::InProgress, 42, request_outcome::Unknown, {}};
    CHECK(first<query_ledger>(receive("/light/once", "k")) != nullptr);
    const auto list = core.ledgerReplied(at(2), request_id {1}, mine);
    const auto *sent = first<send_attempt>(list);
    CHECK(sent != nullptr);
    core.attemptEnded(at(3), {sent->ref, attempt_end::Lost, 0});
    core.outcomeStored(request_id {1}, false);
    CHECK(first<query_ledger>(receive("/light/once", "k")) != nullptr);
    const auto again = core.ledgerReplied(at(4), request_id {2}, mine);
    CHECK(first<send_attempt>(again) == nullptr);
    CHECK(answerIn(again).outcome == request_outcome::Unknown);
}

TEST_GROUP(upstream_table)
{
    upstream_table table;
    random_source random {1};

    void fail(const std::string &id, int ms, int count = 3)
    {
        for (int index = 0; index < count; ++index) {
            table.attemptStarted({id, 1});
            table.attemptEnded({id, 1}, attempt_health::Bad, at(ms));
        }
    }
};

// Guards against ejecting the whole pool, against an upstream that stays ejected, and against
// constant probing of an upstream that keeps failing.
TEST(upstream_table, limitsEjectionsAndBacksOff)
{
    table.applyView(upstreamsOf(4), true, at(0));
    for (const auto *id : {"u0", "u1", "u2", "u3"})
        fail(id, 0);
    LONGS_EQUAL(2, table.ejections());
    LONGS_EQUAL(2, table.capacity("p", at(999)));
    LONGS_EQUAL(4, table.capacity("p", at(1000)));
    fail("u0", 1000, 1);
    LONGS_EQUAL(3, table.capacity("p", at(2999)));
    LONGS_EQUAL(4, table.capacity("p", at(3000)));
}

// Guards against loading a busy upstream while another is idle.
TEST(upstream_table, choosesTheLessLoadedUpstream)
{
    table.applyView(upstreamsOf(2), true, at(0));
    table.setShares(std::vector<slot_share> {{"u0", 4}, {"u1", 4}});
    table.attemptStarted({"u0", 1});
    table.attemptStarted({"u0", 1});
    int idle = 0;
    for (int count = 0; count < 100; ++count)
        idle += table.choose("p", {}, at(0), random)->key.id == "u1" ? 1 : 0;
    CHECK_TRUE(idle > 60);
}

// Guards against counting slots as free while requests of the same incarnation are still running.
TEST(upstream_table, keepsCountingWhenAnUpstreamReturns)
{
    table.applyView(upstreamsOf(1), true, at(0));
    table.attemptStarted({"u0", 1});
    table.applyView({}, true, at(1));
    table.applyView(upstreamsOf(1), true, at(2));
    CHECK_FALSE(table.choose("p", {}, at(2), random).has_value());
}

TEST_GROUP(route_table) {};

// Guards against routing requests to the wrong workspace.
TEST(route_table, prefersHostAndLongestPrefix)
{
    tables values;
    const auto add = [&](const char *name, const char *host, const char *path) {
        values.routes.push_back(
                {name, "w", host, path, "p", priority_class::Standard, true, milliseconds {1}});
    };
    add("all", "", "/");
    add("long", "", "/boards/live");
    add("short", "", "/boards");
    add("host", "Sign.Example", "/boards");
    const route_table table(values);
    const auto nameOf = [&](const char *host, const char *path) {
        return valueOf(table.find(host, path))->name;
    };
    STRCMP_EQUAL("long", nameOf("x", "/boards/live/7").c_str());
    STRCMP_EQUAL("short", nameOf("", "/boards").c_str());
    STRCMP_EQUAL("all", nameOf("x", "/boardsmith").c_str());
    STRCMP_EQUAL("host", nameOf("SIGN.example:8080", "/boards/live/7").c_str());
}
