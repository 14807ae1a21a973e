#include "sync_state.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::entry;

namespace {

constexpr milliseconds lease {2000};

time_point at(int ms)
{
    return time_point {milliseconds {ms}};
}

announcement serving(const std::string &id)
{
    announcement announced;
    announced.id = id;
    announced.incarnation = 1;
    announced.address = "127.0.0.1:1";
    announced.pool = "p";
    return announced;
}

sync_response answerOf(std::uint64_t epoch, std::uint64_t sequence, bool fullView,
                       std::vector<announcement> upstreams = {})
{
    sync_response answer;
    answer.lease = lease;
    answer.viewEpoch = epoch;
    answer.viewSequence = sequence;
    answer.fullView = fullView;
    answer.upstreams = std::move(upstreams);
    return answer;
}

task_report reportOf(task_state state)
{
    task_report report;
    report.upstream = "u";
    report.incarnation = 1;
    report.task = {job_id {3}, 1, 0, 7};
    report.state = state;
    return report;
}

const error unreachable {result_code::RpcFailed, "unreachable", {}, {}};

} // namespace

TEST_GROUP(sync_state)
{
    sync_state state {{"e", 1, "127.0.0.1:2", {}}};

    sync_effects complete(const result<sync_response> &answer, int sentMs = 0)
    {
        const auto call = state.begin(at(sentMs), milliseconds {0}).first;
        return state.complete(at(sentMs + 100), call, answer);
    }

    sync_request next()
    {
        return state.begin(at(0), milliseconds {0}).second;
    }
};

// Guards against measuring the lease from the answer, which would outlast the lease at the leader.
TEST(sync_state, measuresTheLeaseFromTheTimeOfSending)
{
    const auto effects = complete(answerOf(1, 1, true), 500);
    CHECK(effects.leaseUntil == at(500) + lease);
}

// Guards against applying the view or lease of a leader that has been replaced.
TEST(sync_state, ignoresAnswersOfAnOlderTerm)
{
    complete(answerOf(5, 1, true, {serving("new")}));
    const auto effects = complete(answerOf(4, 9, true, {serving("old")}));
    CHECK_TRUE(effects.outdated);
    CHECK_FALSE(effects.leaseUntil.has_value());
    CHECK_FALSE(effects.viewChanged);
    CHECK_TRUE(state.ordersOf("new", 1).has_value());
    CHECK_FALSE(state.ordersOf("old", 1).has_value());
}

// Guards against a late long poll that restores an older view, or shares that the leader has since
// granted to another entry.
TEST(sync_state, ignoresReorderedAnswers)
{
    complete(answerOf(1, 1, true));
    const auto first = state.begin(at(0), milliseconds {500}).first;
    const auto second = state.begin(at(0), milliseconds {0}).first;
    auto newer = answerOf(1, 7, false, {serving("u")});
    newer.hasShares = true;
    newer.shares = {{"u", 1}};
    CHECK_TRUE(state.complete(at(1), second, newer).shares.has_value());
    auto gone = serving("u");
    gone.state = upstream_state::Gone;
    auto older = answerOf(1, 6, false, {gone});
    older.hasShares = true;
    older.shares = {{"u", 4}};
    const auto effects = state.complete(at(2), first, older);
    CHECK_FALSE(effects.viewChanged);
    CHECK_FALSE(effects.shares.has_value());
    CHECK_TRUE(state.ordersOf("u", 1).has_value());
}

// Guards against applying a delta of a new term to the view of an older one.
TEST(sync_state, requestsTheFullViewAfterATermChange)
{
    complete(answerOf(1, 9, true, {serving("u")}));
    complete(answerOf(2, 3, false));
    const auto request = next();
    LONGS_EQUAL(0, request.viewEpoch);
    LONGS_EQUAL(0, request.viewSequence);
}

// Guards against acknowledging a leaving upstream whose announcement was lost with its call, and
// against a later announcement of the same incarnation that reverts it.
TEST(sync_state, acknowledgesLeavingOnlyAfterTheCallIsAnswered)
{
    complete(answerOf(1, 1, true, {serving("u")}));
    auto leaving = serving("u");
    leaving.state = upstream_state::Leaving;
    const auto outcome = valueOf(state.announce(at(0), leaving, {}));
    CHECK_TRUE(outcome.urgent);
    CHECK_TRUE(outcome.ticket.has_value());
    CHECK_TRUE(complete(unreachable).acknowledged.empty());
    CHECK_TRUE(state.hasUrgent());
    state.announce(at(1), serving("u"), {});
    const auto [call, request] = state.begin(at(2), milliseconds {0});
    LONGS_EQUAL(1, request.announcements.size());
    CHECK(request.announcements[0].state == upstream_state::Leaving);
    const auto effects = state.complete(at(3), call, answerOf(1, 2, false, {leaving}));
    LONGS_EQUAL(2, effects.acknowledged.size());
}

// Guards against control traffic that grows with the announcements, and against a new leader that
// never receives an unchanged upstream.
TEST(sync_state, sendsUnchangedUpstreamsInFullOnlyToANewLeader)
{
    state.announce(at(0), serving("u"), {});
    complete(answerOf(1, 1, true, {serving("u")}));
    CHECK_FALSE(valueOf(state.announce(at(1), serving("u"), {})).urgent);
    auto request = next();
    LONGS_EQUAL(0, request.announcements.size());
    LONGS_EQUAL(1, request.alive.size());
    complete(answerOf(2, 1, true, {serving("u")}));
    state.announce(at(2), serving("u"), {});
    LONGS_EQUAL(1, next().announcements.size());
}

// Guards against duplicate reports, and against a failed call that overwrites a newer task state
// with an older one.
TEST(sync_state, reportsEachTaskStateOnce)
{
    state.announce(at(0), serving("u"), {reportOf(task_state::Running)});
    const auto first = state.begin(at(0), milliseconds {0}).first;
    CHECK_TRUE(valueOf(state.announce(at(1), serving("u"), {reportOf(task_state::Done)})).urgent);
    const auto [second, request] = state.begin(at(1), milliseconds {0});
    CHECK(request.reports.at(0).state == task_state::Done);
    state.complete(at(2), second, answerOf(1, 1, true, {serving("u")}));
    state.complete(at(2), first, unreachable);
    CHECK_TRUE(next().reports.empty());
    state.announce(at(3), serving("u"), {reportOf(task_state::Done)});
    // Reported again, because the first answer came from a new leader.
    LONGS_EQUAL(1, next().reports.size());
    state.announce(at(4), serving("u"), {reportOf(task_state::Done)});
    CHECK_TRUE(next().reports.empty());
}

// Guards against announcements of a process that has been replaced.
TEST(sync_state, refusesAnOlderIncarnation)
{
    auto newer = serving("u");
    newer.incarnation = 2;
    state.announce(at(0), newer, {});
    CHECK_TRUE(failed(state.announce(at(1), serving("u"), {})));
}
