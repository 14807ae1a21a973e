#include "batch/report_router.h"
#include "fixture.h"
#include "report_codec.h"

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
        options.maxDirectWorkers = 2;
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
                    leaderRouter.handleBatch(leader.now, leader.wallMs, batches.back(), done);
                else
                    done(error {result_code::NotReady, "no leader", {}, {}});
            },
            [] { return std::vector<std::string> {}; }};

    // The tests of this group are about reports that are answered at once.
    void setup() override
    {
        leaderRouter.stopHolding();
        followerRouter.stopHolding();
    }

    result<routed_orders> pass(const std::string &id)
    {
        result<routed_orders> outcome = error {};
        followerRouter.forward(leader.report(id),
                               [&](const result<routed_orders> &done) { outcome = done; });
        timers.advance(milliseconds {20});
        return outcome;
    }

    std::string directAddress(const std::string &id)
    {
        std::string address;
        leaderRouter.handleReport(
                leader.now, leader.wallMs, leader.report(id),
                [&](const result<routed_orders> &done) { address = valueOf(done).reportAddress; });
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
    followerRouter.forward(ended, [&](const result<routed_orders> &done) {
        seen = valueOf(done).orders.ackedUpTo;
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
        followerRouter.forward(leader.report(id),
                               [&](const result<routed_orders> &) { ++answers; });
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
    STRCMP_EQUAL("leader:1", valueOf(pass("w2")).reportAddress.c_str());
    STRCMP_EQUAL("follower:1", valueOf(pass("w3")).reportAddress.c_str());
    const auto address = directAddress("w4");
    CHECK_TRUE(address == "a:1" || address == "b:1");
    STRCMP_EQUAL(address.c_str(), directAddress("w4").c_str());
}

// Guards against traffic between zones: most heartbeats stay in the zone of their worker.
TEST(ReportRouter, prefersNodesInTheZoneOfTheWorker)
{
    for (const auto *id : {"w1", "w2", "w3"})
        directAddress(id);
    for (const auto &[address, zone] : {std::pair("a:1", "zone-a"), std::pair("b:1", "zone-b")})
        leaderRouter.handleBatch(leader.now, leader.wallMs,
                                 detail::encodeReports({{}, address, zone}),
                                 [](const result<std::string> &) {});
    for (const auto &[zone, address] : {std::pair("zone-a", "a:1"), std::pair("zone-b", "b:1")}) {
        for (int i = 0; i < 20; ++i) {
            auto report = leader.report("w" + std::to_string(i));
            report.zone = zone;
            std::string chosen;
            leaderRouter.handleReport(leader.now, leader.wallMs, report,
                                      [&](const result<routed_orders> &done) {
                                          chosen = valueOf(done).reportAddress;
                                      });
            STRCMP_EQUAL(address, chosen.c_str());
        }
    }
    auto elsewhere = leader.report("w5");
    elsewhere.zone = "zone-c";
    std::string chosen;
    leaderRouter.handleReport(
            leader.now, leader.wallMs, elsewhere,
            [&](const result<routed_orders> &done) { chosen = valueOf(done).reportAddress; });
    CHECK_TRUE(chosen == "a:1" || chosen == "b:1");
}

// Guards against a worker that reports to another zone for good because it found a node there
// first, and against one that is sent again and again to a node that it can't reach.
TEST(ReportRouter, sendsAWorkerToItsZoneOnceInAWhile)
{
    for (const auto *id : {"w1", "w2", "w3"})
        directAddress(id);
    leaderRouter.handleBatch(leader.now, leader.wallMs,
                             detail::encodeReports({{}, "a:1", "zone-a"}),
                             [](const result<std::string> &) {});
    const auto addressOf = [this](const std::string &zone) {
        auto report = leader.report("w1");
        report.zone = "zone-a";
        std::string address;
        leaderRouter.handleBatch(
                leader.now, leader.wallMs, detail::encodeReports({{report}, "f:1", zone}),
                [&](const result<std::string> &done) {
                    address = valueOf(detail::decodeAnswers(valueOf(done))).addresses.front();
                });
        return address;
    };
    STRCMP_EQUAL("", addressOf("zone-a").c_str());
    STRCMP_EQUAL("a:1", addressOf("zone-b").c_str());
    STRCMP_EQUAL("", addressOf("zone-b").c_str());
    leader.advance(16000);
    STRCMP_EQUAL("a:1", addressOf("zone-b").c_str());
}

// Guards against a malformed batch that is answered as if it had been accepted.
TEST(ReportRouter, refusesUnreadableBatch)
{
    bool refused = false;
    leaderRouter.handleBatch(
            leader.now, leader.wallMs, "no batch", [&](const result<std::string> &done) {
                refused = failed(done) && errorOf(done).code == result_code::MalformedRequest;
            });
    CHECK_TRUE(refused);
}

TEST_GROUP(HeldReports)
{
    leader_fixture leader;
    manual_timer_service timers;

    router_options optionsOf(const std::string &address)
    {
        router_options options;
        options.address = address;
        options.maxDirectWorkers = 1;
        return options;
    }

    report_router leaderRouter {optionsOf("leader:1"), leader.workers, timers,
                                [](const std::string &, const report_router::batch_completion &) {},
                                [] { return std::vector<std::string> {"follower:1"}; }};
    leader_fixture followerState;
    report_router followerRouter {
            optionsOf("follower:1"), followerState.workers, timers,
            [this](const std::string &batch, const report_router::batch_completion &done) {
                leaderRouter.handleBatch(leader.now, leader.wallMs, batch, done);
            },
            [] { return std::vector<std::string> {}; }};
    std::map<std::string, std::vector<worker_orders>> answers; // by worker

    void setup() override
    {
        leader.configure(1);
    }

    void advance(std::int64_t ms)
    {
        for (; ms > 0; ms -= 10) {
            leader.advance(10);
            timers.advance(milliseconds {10});
        }
    }

    void send(const worker_report &report)
    {
        followerRouter.forward(report, [this, id = report.id](const result<routed_orders> &done) {
            if (!failed(done))
                answers[id].push_back(valueOf(done).orders);
        });
        timers.advance(milliseconds {10});
    }

    // Sends a report of an idle worker whose answer is held by the follower.
    void sendIdle(const std::string &id)
    {
        send(leader.report(id)); // the follower learns that the leader accepts polls
        answers.clear();
        send(leader.report(id));
        CHECK_TRUE(answers.empty());
        CHECK_EQUAL(1, followerRouter.heldCount());
    }
};

// Guards against a start that waits for the next heartbeat of an idle worker.
TEST(HeldReports, idleWorkerIsStartedWithoutAnotherHeartbeat)
{
    sendIdle("w1");
    leader.submit("/q1/a", leader_fixture::tasks(1, 8));
    advance(60);
    CHECK_EQUAL(1, answers["w1"].size());
    CHECK_EQUAL(1, answers["w1"].front().starts.size());
    CHECK_TRUE(answers["w1"].front().leaseMs > 0);
}

// Guards against the same for a worker that reports to the leader itself.
TEST(HeldReports, leaderHoldsAnswersToo)
{
    std::vector<worker_orders> direct;
    leaderRouter.handleReport(
            leader.now, leader.wallMs, leader.report("w1"),
            [&](const result<routed_orders> &done) { direct.push_back(valueOf(done).orders); });
    CHECK_TRUE(direct.empty());
    leader.submit("/q1/a", leader_fixture::tasks(1, 8));
    advance(60);
    CHECK_EQUAL(1, direct.size());
    CHECK_EQUAL(1, direct.front().starts.size());
}

// Guards against an answer that the worker has stopped waiting for.
TEST(HeldReports, answersWithinTheTimeThatTheWorkerWaits)
{
    sendIdle("w1");
    advance(700);
    CHECK_EQUAL(1, answers["w1"].size());
    CHECK_TRUE(answers["w1"].front().leaseMs > 0);
}

// Guards against runs that lapse because the answers that renew a short lease are held.
TEST(HeldReports, holdsNoLongerThanAShortLeaseAllows)
{
    auto options = leader_fixture::options();
    options.lease = milliseconds {1000};
    leader_fixture shortLease(options);
    worker_orders orders;
    shortLease.workers.heartbeat(
            shortLease.now, shortLease.wallMs, shortLease.report("w1"),
            [&](const result<worker_orders> &done) { orders = valueOf(done); },
            answer_mode::MayBeHeld);
    CHECK_EQUAL(200, orders.holdMs);
}

// Guards against work that goes on after it was cancelled.
TEST(HeldReports, cancelledJobIsStoppedWithoutAnotherHeartbeat)
{
    send(leader.report("w1"));
    auto step = leader_fixture::tasks(1, 1);
    step.estimateMs = 60000;
    leader.submit("/q1/a", step);
    advance(60);
    auto running = leader.report("w1");
    running.running.push_back({{"a", 0, 0, 0}, 1, "", 1, 0});
    answers.clear();
    send(running);
    CHECK_TRUE(answers.empty());
    leader.queues.cancel(leader.wallMs, {"host", "/q1/a", ""}, [](const status &) {});
    advance(40);
    CHECK_EQUAL(1, answers["w1"].size());
    CHECK_EQUAL(1, answers["w1"].front().stops.size());
}

// Guards against workers that the new leader doesn't hear from because the old one's answers are
// still held.
TEST(HeldReports, answersAreSentWhenTheLeadershipEnds)
{
    sendIdle("w1");
    leader.workers.endTerm();
    leaderRouter.handleLeadershipChange();
    timers.advance(milliseconds {0});
    CHECK_EQUAL(1, answers["w1"].size());
    CHECK_EQUAL(0, answers["w1"].front().starts.size());
}

// Guards against heartbeats that are cut off when the node that holds their answers stops.
TEST(HeldReports, answersAreSentWhenTheNodeStops)
{
    sendIdle("w1");
    followerRouter.stopHolding();
    CHECK_EQUAL(1, answers["w1"].size());
    answers.clear();
    send(leader.report("w1"));
    CHECK_EQUAL(1, answers["w1"].size());
}

// Guards against an order that is lost with the poll that carried it.
TEST(HeldReports, lostOrderIsRepeatedInTheNextAnswer)
{
    sendIdle("w1");
    followerRouter.handleLeadershipChange(); // the node answers on its own
    answers.clear();
    leader.submit("/q1/a", leader_fixture::tasks(1, 8));
    advance(60);
    CHECK_TRUE(answers.empty());
    send(leader.report("w1"));
    CHECK_EQUAL(1, answers["w1"].size());
    CHECK_EQUAL(1, answers["w1"].front().starts.size());
}

// Guards against holding answers for an older leader, which doesn't know of held answers, and
// against treating its shorter messages as malformed.
TEST(HeldReports, olderMessagesAreUnderstood)
{
    detail::report_batch batch {{leader.report("w1")}, "node:1", "zone-1"};
    auto bytes = detail::encodeReports(batch);
    bytes.resize(bytes.size() - 2 * sizeof(std::uint64_t) - batch.forwarder.size()
                 - batch.zone.size());
    const auto reports = detail::decodeReports(bytes);
    CHECK_FALSE(failed(reports));
    CHECK_EQUAL(1, valueOf(reports).reports.size());
    CHECK_TRUE(valueOf(reports).forwarder.empty());
    detail::batch_answers answer;
    answer.leaderAddress = "leader:1";
    bytes = detail::encodeAnswers(answer);
    bytes.resize(bytes.size() - sizeof(bool) - 3 * sizeof(std::uint64_t));
    const auto decoded = detail::decodeAnswers(bytes);
    CHECK_FALSE(failed(decoded));
    CHECK_FALSE(valueOf(decoded).acceptsPolls);
}

// Guards against a message that ends the process: a length in it that exceeds the memory.
TEST(HeldReports, refusesEveryCutOrAlteredMessage)
{
    const auto bytes = detail::encodeReports({{leader.report("w1")}, "node:1", "zone-1"});
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        const auto cut = detail::decodeReports(bytes.substr(0, i));
        CHECK_TRUE(failed(cut) || valueOf(cut).forwarder.empty());
        auto altered = bytes;
        altered[i] = '\xff';
        detail::decodeReports(altered); // may be valid; must not throw or allocate without bounds
    }
}

// Guards against a warm-up time that a forwarding node drops, or that a cut message leaves half
// read.
TEST(HeldReports, warmupTimesAreForwarded)
{
    auto cold = leader.report("w1");
    cold.warmupLeftMs = 700;
    const auto bytes = detail::encodeReports({{cold, leader.report("w2")}, "node:1", "zone-1"});
    const auto read = detail::decodeReports(bytes);
    CHECK_FALSE(failed(read));
    CHECK_EQUAL(700, valueOf(read).reports[0].warmupLeftMs);
    CHECK_EQUAL(0, valueOf(read).reports[1].warmupLeftMs);
    CHECK_TRUE(failed(detail::decodeReports(bytes.substr(0, bytes.size() - 1))));
}
