#include "batch/report_router.h"
#include "fixture.h"

using namespace persimmon;
using namespace persimmon::batch;

TEST_GROUP(ReportRouter)
{
    leader_fixture leader;
    manual_timer_service timers;
    std::vector<std::string> batches;
    bool connected = true;

    router_options optionsOf(const std::string &address)
    {
        router_options options;
        options.address = address;
        options.directWorkers = 2;
        options.batchSize = 3;
        return options;
    }

    report_router leaderRouter {optionsOf("leader:1"), leader.workers, timers,
                                [](const std::string &, const report_router::batch_completion &) {},
                                [] {
                                    return std::vector<std::string> {"a:1", "b:1"};
                                }};

    report_router followerRouter {
            optionsOf("follower:1"), leader.workers, timers,
            [this](std::string batch, const report_router::batch_completion &done) {
                batches.push_back(std::move(batch));
                if (connected)
                    leaderRouter.takeBatch(leader.now, leader.wallMs, batches.back(), done);
                else
                    done(error {result_code::NotReady, "no leader", {}, {}});
            },
            [] { return std::vector<std::string> {}; }};

    result<routed_orders> pass(const std::string &id)
    {
        result<routed_orders> outcome = error {};
        followerRouter.pass(leader.report(id),
                            [&](const result<routed_orders> &done) { outcome = done; });
        timers.advance(milliseconds {20});
        return outcome;
    }

    std::string directAddress(const std::string &id)
    {
        std::string address;
        leaderRouter.take(
                leader.now, leader.wallMs, leader.report(id),
                [&](const result<routed_orders> &done) { address = valueOf(done).reportTo; });
        return address;
    }
};

// Guards against reports and orders that are altered when another node forwards them.
TEST(ReportRouter, ordersComeBackThroughAnotherNode)
{
    leader.configure(1);
    pass("w1");
    leader.submit("/q1/a", leader_fixture::tasks(1, 8));
    leader.advance(100);
    const auto answer = pass("w1");
    CHECK_FALSE(failed(answer));
    CHECK_EQUAL(1, valueOf(answer).orders.starts.size());
    STRCMP_EQUAL("a", valueOf(answer).orders.starts.front().task.job.c_str());
    STRCMP_EQUAL("work", valueOf(answer).orders.starts.front().payload.c_str());
    auto ended = leader.report("w1");
    ended.ended.push_back({1, {"a", 0, 0, 0}, 1, end_kind::Done, ""});
    std::optional<std::uint64_t> seen;
    followerRouter.pass(ended, [&](const result<routed_orders> &done) {
        seen = valueOf(done).orders.seenUpTo;
    });
    timers.advance(milliseconds {20});
    CHECK_EQUAL(1, seen.value_or(0));
    CHECK_TRUE(leader.stateOf("a") == job_state::Done);
}

// Guards against a separate call to the leader for each report.
TEST(ReportRouter, passesReportsInBatches)
{
    int answers = 0;
    for (const auto *id : {"w1", "w2", "w3", "w4"})
        followerRouter.pass(leader.report(id), [&](const result<routed_orders> &) { ++answers; });
    CHECK_EQUAL(1, batches.size());
    CHECK_EQUAL(3, answers);
    timers.advance(milliseconds {20});
    CHECK_EQUAL(2, batches.size());
    CHECK_EQUAL(4, answers);
}

// Guards against a successful answer when the leader could not be reached.
TEST(ReportRouter, failsWithoutLeader)
{
    connected = false;
    const auto answer = pass("w1");
    CHECK_TRUE(failed(answer));
    CHECK_TRUE(errorOf(answer).code == result_code::NotReady);
}

// Guards against a batch that is accepted by a node that no longer leads.
TEST(ReportRouter, refusesBatchWhenNotLeading)
{
    leader.workers.endTerm();
    const auto answer = pass("w1");
    CHECK_TRUE(failed(answer));
    CHECK_TRUE(errorOf(answer).code == result_code::NotLeader);
}

// Guards against a leader that keeps the connections of a large fleet, and against workers of a
// small fleet that are referred to other nodes.
TEST(ReportRouter, distributesLargeFleetsOverOtherNodes)
{
    STRCMP_EQUAL("leader:1", directAddress("w1").c_str());
    STRCMP_EQUAL("leader:1", valueOf(pass("w2")).reportTo.c_str());
    STRCMP_EQUAL("follower:1", valueOf(pass("w3")).reportTo.c_str());
    const auto address = directAddress("w4");
    CHECK_TRUE(address == "a:1" || address == "b:1");
    STRCMP_EQUAL(address.c_str(), directAddress("w4").c_str());
}

// Guards against a malformed batch that is answered as if it had been accepted.
TEST(ReportRouter, refusesUnreadableBatch)
{
    bool refused = false;
    leaderRouter.takeBatch(
            leader.now, leader.wallMs, "no batch", [&](const result<std::string> &done) {
                refused = failed(done) && errorOf(done).code == result_code::MalformedRequest;
            });
    CHECK_TRUE(refused);
}
