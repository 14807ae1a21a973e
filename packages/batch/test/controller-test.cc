#include "fixture.h"

using namespace persimmon;
using namespace persimmon::batch;

TEST_GROUP(Controller)
{
    leader_fixture leader;

    // Starts one task on worker w1 and returns its heartbeat with the task running.
    worker_report startOne(const step_spec &step)
    {
        leader.configure(1);
        leader.submit("/q1/a", step);
        leader.beat(leader.report("w1"));
        leader.advance(100);
        const auto orders = leader.beat(leader.report("w1"));
        CHECK_EQUAL(step.count, orders.starts.size());
        auto running = leader.report("w1");
        for (const auto &order : orders.starts)
            running.running.push_back({order.task, order.run, "", 10, 0});
        leader.beat(running);
        return running;
    }

    worker_orders beatWith(worker_report value)
    {
        value.sequence = ++leader.sequence;
        return leader.beat(value);
    }
};

// Guards against a lost order: the start is repeated until the worker lists the run.
TEST(Controller, repeatsStartUntilListed)
{
    leader.configure(1);
    leader.submit("/q1/a", leader_fixture::tasks(1, 1));
    leader.beat(leader.report("w1"));
    leader.advance(100);
    CHECK_EQUAL(1, leader.beat(leader.report("w1")).starts.size());
    const auto again = leader.beat(leader.report("w1"));
    CHECK_EQUAL(1, again.starts.size());
    CHECK_EQUAL(1, again.starts.front().run);
}

// Guards against an order before its commit: a new leader would not know of the run.
TEST(Controller, sendsNoStartBeforeItsCommit)
{
    leader.configure(1);
    leader.submit("/q1/a", leader_fixture::tasks(1, 1));
    leader.beat(leader.report("w1"));
    leader.hold = true;
    leader.advance(100);
    CHECK_EQUAL(0, leader.beat(leader.report("w1")).starts.size());
    leader.hold = false;
    leader.releaseHeld();
    CHECK_EQUAL(1, leader.beat(leader.report("w1")).starts.size());
}

// Guards against a second run of a task that is being stopped: it is in no list meanwhile.
TEST(Controller, keepsRunThatIsBeingStopped)
{
    auto running = startOne(leader_fixture::tasks(1, 8));
    leader.configure(0);
    leader.submit("/q0/b", leader_fixture::tasks(1, 8));
    leader.advance(100);
    CHECK_EQUAL(1, beatWith(running).stops.size());
    // The worker stops the run; another worker joins meanwhile.
    auto stopping = running;
    stopping.running.clear();
    for (int i = 0; i < 5; ++i) {
        CHECK_EQUAL(0, beatWith(stopping).starts.size());
        leader.beat(leader.report("w2"));
        leader.advance(100);
    }
    CHECK_TRUE(leader.state.findJob("a")->taskOf({"a", 0, 0, 0}).active);
    auto ended = stopping;
    ended.ended.push_back({1, {"a", 0, 0, 0}, 1, end_kind::Done, ""});
    CHECK_EQUAL(1, *beatWith(ended).seenUpTo);
    CHECK_TRUE(leader.stateOf("a") == job_state::Done);
}

// Guards against confirming an end that a new leader would not know.
TEST(Controller, confirmsEndsAfterTheirCommit)
{
    auto ended = startOne(leader_fixture::tasks(1, 1));
    ended.running.clear();
    ended.ended.push_back({7, {"a", 0, 0, 0}, 1, end_kind::Done, ""});
    ended.sequence = ++leader.sequence;
    leader.hold = true;
    bool answered = false;
    leader.workers.heartbeat(leader.now, leader.wallMs, ended,
                             [&](const result<worker_orders> &) { answered = true; });
    CHECK_FALSE(answered);
    leader.releaseHeld();
    CHECK_TRUE(answered);
}

// Guards against two runs at once: a silent worker's run is replaced only after its lease.
TEST(Controller, waitsForLeaseOfSilentWorker)
{
    startOne(leader_fixture::tasks(1, 1));
    for (int ms = 0; ms < 5000; ms += 100) {
        leader.beat(leader.report("w2"));
        leader.advance(100);
    }
    CHECK_EQUAL(1, leader.state.findJob("a")->taskOf({"a", 0, 0, 0}).run);
    for (int ms = 0; ms < 1000; ms += 100) {
        leader.beat(leader.report("w2"));
        leader.advance(100);
    }
    CHECK_EQUAL(2, leader.state.findJob("a")->taskOf({"a", 0, 0, 0}).run);
}

// Guards against an order for a run whose end is being committed: its next run starts elsewhere.
TEST(Controller, sendsNoStartWhileAnEndIsCommitted)
{
    leader.configure(1);
    leader.submit("/q1/a", leader_fixture::tasks(1, 1));
    leader.beat(leader.report("w1"));
    leader.advance(100); // placed, but the order never reaches the worker
    leader.hold = true;
    leader.advance(5400);
    CHECK_EQUAL(0, leader.beat(leader.report("w1")).starts.size());
    leader.hold = false;
    leader.releaseHeld();
}

// Guards against restarting what runs on a worker that a new leader has not heard yet.
TEST(Controller, newLeaderKeepsRunsOfUnheardWorkers)
{
    startOne(leader_fixture::tasks(1, 1));
    leader.advance(4000);
    leader.workers.beginTerm(2, leader.now);
    for (int ms = 0; ms < 5000; ms += 100) {
        leader.beat(leader.report("w2"));
        leader.advance(100);
    }
    CHECK_EQUAL(1, leader.state.findJob("a")->taskOf({"a", 0, 0, 0}).run);
}

// Guards against waiting for the lease of a worker that has restarted: it runs nothing.
TEST(Controller, replacesRunsOfRestartedWorkerAtOnce)
{
    startOne(leader_fixture::tasks(1, 1));
    auto reborn = leader.report("w1");
    reborn.born = 2000;
    leader.beat(reborn);
    leader.advance(100);
    CHECK_EQUAL(2, leader.state.findJob("a")->taskOf({"a", 0, 0, 0}).run);
}

// Guards against a late heartbeat of an earlier incarnation taking effect.
TEST(Controller, ignoresLateHeartbeat)
{
    auto old = leader.report("w1");
    auto reborn = leader.report("w1");
    reborn.born = 2000;
    leader.configure(1);
    CHECK_EQUAL(5000, leader.beat(reborn).leaseMs);
    CHECK_EQUAL(0, leader.beat(old).leaseMs);
}

// Guards against work for a worker that is leaving.
TEST(Controller, startsNothingOnDrainingWorker)
{
    leader.configure(1);
    leader.submit("/q1/a", leader_fixture::tasks(1, 1));
    auto leaving = leader.report("w1");
    leaving.draining = true;
    leader.beat(leaving);
    leader.advance(100);
    leaving.sequence = ++leader.sequence;
    CHECK_EQUAL(0, leader.beat(leaving).starts.size());
}

// Guards against cancelled work that runs on.
TEST(Controller, stopsCancelledJob)
{
    auto running = startOne(leader_fixture::tasks(2, 1));
    leader.queues.cancel(leader.wallMs, {"host", "/q1/a", ""}, [](const status &) {});
    CHECK_EQUAL(2, beatWith(running).stops.size());
    CHECK_TRUE(leader.stateOf("a") == job_state::Cancelled);
}

// Guards against a follower that extends leases or gives orders.
TEST(Controller, refusesHeartbeatsWithoutLeadership)
{
    leader.workers.endTerm();
    result<worker_orders> outcome = worker_orders {};
    leader.workers.heartbeat(leader.now, leader.wallMs, leader.report("w1"),
                             [&](const result<worker_orders> &done) { outcome = done; });
    CHECK_TRUE(errorOf(outcome).code == result_code::NotLeader);
}

// Guards against work on a worker that fails everything.
TEST(Controller, quarantinesWorkerThatFailsTwoJobs)
{
    leader.configure(1);
    auto full = leader.report("w3"); // has no room; most workers in quarantine would end it
    full.capacity = {};
    leader.beat(full);
    leader.beat(leader.report("w1"));
    for (const auto *job : {"a", "b"}) {
        leader.submit("/q1/" + std::string(job), leader_fixture::tasks(1, 1));
        leader.advance(100);
        auto ended = leader.report("w1");
        ended.ended.push_back({leader.sequence, {job, 0, 0, 0}, 1, end_kind::Failed, ""});
        leader.beat(ended);
    }
    leader.submit("/q1/c", leader_fixture::tasks(1, 1));
    leader.advance(100);
    leader.beat(leader.report("w2"));
    leader.advance(100);
    STRCMP_EQUAL("w2", leader.state.findJob("c")->taskOf({"c", 0, 0, 0}).worker.c_str());
}

// Guards against a task that stands still on one worker for ever.
TEST(Controller, movesStalledRun)
{
    auto running = startOne(leader_fixture::tasks(1, 1));
    for (int ms = 0; ms < 2600; ms += 100) {
        beatWith(running);
        leader.advance(100);
    }
    CHECK_EQUAL(1, beatWith(running).stops.size());
}

// Guards against fillers that push a serving task over its latency objective, and against an answer
// to a new run at full speed.
TEST(Controller, pacesFillersBesideSlowServingTasks)
{
    leader.configure(1);
    auto serving = leader_fixture::tasks(1, 0);
    serving.longRunning = true;
    serving.latencyObjectiveMs = 100;
    auto filler = leader_fixture::tasks(1, 0);
    filler.fillsIdle = true;
    leader.submit("/q1/s", serving);
    leader.submit("/q1/f", filler);
    auto report = leader.report("w1");
    report.running = {{{"s", 0, 0, 0}, 1, "", 100, 120}, {{"f", 0, 0, 0}, 1, "", 10, 4}};
    const auto orders = beatWith(report);
    CHECK_EQUAL(1, orders.paces.size());
    CHECK_EQUAL(0, orders.paces.front().percent);
    STRCMP_EQUAL("f", orders.paces.front().task.job.c_str());
    report.running.front().figure = 20;
    std::uint32_t last = 0;
    for (int ms = 0; ms < 8000; ms += 400) {
        leader.advance(400);
        const auto raised = beatWith(report);
        if (!raised.paces.empty())
            last = raised.paces.front().percent;
    }
    CHECK_EQUAL(100, last);
}

// Guards against a lasting task that is not restarted after an end, or counted as failed.
TEST(Controller, restartsLastingTaskHoweverItEnds)
{
    auto step = leader_fixture::tasks(1, 1);
    step.longRunning = true;
    auto ended = startOne(step);
    for (std::uint32_t run = 1; run < 6; ++run) {
        ended.running.clear();
        ended.ended = {
                {run, {"a", 0, 0, 0}, run, run % 2 == 0 ? end_kind::Done : end_kind::Failed, ""}};
        beatWith(ended);
        leader.beat(leader.report("w2"));
        leader.advance(100);
        CHECK_EQUAL(run + 1, leader.state.findJob("a")->taskOf({"a", 0, 0, 0}).run);
        ended = leader.report(leader.state.findJob("a")->taskOf({"a", 0, 0, 0}).worker);
    }
}

// Guards against starts without a ticket, a second question at a time, and refused workers.
TEST(Controller, startsAdvisedStepsWithTickets)
{
    leader.configure(1);
    auto value = leader.state.currentConfiguration();
    value.version = ++leader.version;
    value.queues.front().adviceValidMs = 60000;
    leader.commit(set_configuration {value});
    int questions = 0;
    std::function<void(result<std::vector<ticket>>)> answer;
    leader.workers.adviseBy([&](const step_key &step, const std::vector<std::string> &,
                                std::function<void(result<std::vector<ticket>>)> done) {
        ++questions;
        STRCMP_EQUAL("a", step.job.c_str());
        answer = std::move(done);
    });
    leader.submit("/q1/a", leader_fixture::tasks(1, 1));
    leader.beat(leader.report("w1"));
    leader.beat(leader.report("w2"));
    leader.advance(100);
    leader.advance(100);
    CHECK_EQUAL(1, questions);
    answer(std::vector<ticket> {{"w2", "permit"}});
    leader.advance(100);
    CHECK_EQUAL(0, leader.beat(leader.report("w1")).starts.size());
    const auto orders = leader.beat(leader.report("w2"));
    CHECK_EQUAL(1, orders.starts.size());
    STRCMP_EQUAL("permit", orders.starts.front().ticket.c_str());
    leader.advance(1000);
    CHECK_EQUAL(1, questions);
}

// Guards against an end that a leaving worker can't report, after which the task would run twice.
TEST(Controller, stopsAllRunsShortlyBeforeAWorkerLeaves)
{
    auto running = startOne(leader_fixture::tasks(1, 1));
    running.running.front().percent = 99;
    running.draining = true;
    running.remainingMs = 4000;
    CHECK_EQUAL(0, beatWith(running).stops.size());
    running.remainingMs = 1000;
    const auto orders = beatWith(running);
    CHECK_EQUAL(1, orders.stops.size());
    CHECK_EQUAL(100, orders.retryMs);
}

// Guards against work for a worker that is known by a heartbeat only that a partition held up.
TEST(Controller, ignoresHeartbeatThatWasHeldUp)
{
    leader.configure(1);
    auto first = leader.report("w1");
    first.born = leader.wallMs - 5000;
    first.clockMs = 5000;
    leader.beat(first);
    auto heldUp = leader.report("w1"); // sent at once after the first
    heldUp.born = first.born;
    heldUp.clockMs = 5100;
    leader.advance(4000);
    CHECK_EQUAL(0, leader.beat(heldUp).leaseMs);
    leader.submit("/q1/a", leader_fixture::tasks(1, 1));
    leader.advance(100);
    CHECK_EQUAL(0, leader.state.runsOn("w1").size());
}

// Guards against a new leader that takes a held-up heartbeat for a worker: the next one shows it.
TEST(Controller, newLeaderWaitsForASecondHeartbeatOfAnOldOne)
{
    leader.configure(1);
    leader.submit("/q1/a", leader_fixture::tasks(1, 1));
    auto heldUp = leader.report("w1");
    heldUp.born = leader.wallMs - 9000;
    heldUp.clockMs = 5000;
    leader.beat(heldUp);
    leader.advance(100);
    CHECK_EQUAL(0, leader.state.runsOn("w1").size());
    heldUp.sequence = ++leader.sequence;
    heldUp.clockMs = 5100;
    leader.beat(heldUp);
    leader.advance(100);
    CHECK_EQUAL(1, leader.state.runsOn("w1").size());
}

// Guards against waiting for the lease of a worker whose address a newer one has taken.
TEST(Controller, newerWorkerAtAnAddressReplacesTheEarlier)
{
    auto running = startOne(leader_fixture::tasks(1, 1));
    running.address = "10.0.0.1:1";
    beatWith(running);
    auto newer = leader.report("w9");
    newer.born = 9000;
    newer.address = running.address;
    for (int ms = 0; ms < 2000; ms += 100) {
        newer.sequence = ++leader.sequence;
        leader.beat(newer);
        leader.advance(100);
    }
    STRCMP_EQUAL("w9", leader.state.findJob("a")->taskOf({"a", 0, 0, 0}).worker.c_str());
}

TEST_GROUP(ControllerGang)
{
    leader_fixture leader;

    // Places a gang of two on w1 and w2; w1 is sent its order and runs.
    worker_report placeGang()
    {
        leader.configure(1);
        leader.beat(leader.report("w1"));
        leader.beat(leader.report("w2"));
        auto step = leader_fixture::tasks(2, 8);
        step.gang = true;
        leader.submit("/q1/a", step);
        leader.advance(100);
        const auto orders = leader.beat(leader.report("w1"));
        CHECK_EQUAL(1, orders.starts.size());
        auto running = leader.report("w1");
        running.running.push_back({orders.starts.front().task, 1, "", 0, 0});
        return running;
    }

    std::size_t stopsOf(worker_report value)
    {
        value.sequence = ++leader.sequence;
        return leader.beat(value).stops.size();
    }
};

// Guards against members that wait for one whose worker has restarted.
TEST(ControllerGang, stopsTheOthersWhenAMemberIsLost)
{
    const auto running = placeGang();
    CHECK_EQUAL(0, stopsOf(running));
    auto reborn = leader.report("w2");
    reborn.born = 2000;
    leader.beat(reborn);
    CHECK_EQUAL(1, stopsOf(running));
}

// Guards against members that wait for one whose worker began to drain before its order.
TEST(ControllerGang, stopsTheOthersWhenAMemberCantStart)
{
    const auto running = placeGang();
    auto draining = leader.report("w2");
    draining.draining = true;
    CHECK_EQUAL(0, leader.beat(draining).starts.size());
    CHECK_EQUAL(1, stopsOf(running));
}

// Guards against members that wait for one whose worker is silent.
TEST(ControllerGang, stopsTheOthersWhenAnOrderCantBeSent)
{
    const auto running = placeGang();
    leader.advance(1000);
    CHECK_EQUAL(0, stopsOf(running));
    leader.advance(700);
    CHECK_EQUAL(1, stopsOf(running));
}

// Guards against a leader whose memory grows with each worker that ever was.
TEST(Controller, forgetsWorkersThatAreGone)
{
    leader.configure(1);
    leader.beat(leader.report("w1"));
    leader.beat(leader.report("w2"));
    leader.submit("/q1/a", leader_fixture::tasks(1, 8));
    leader.advance(100);
    CHECK_EQUAL(2, leader.workers.workerCount());
    for (int i = 0; i < 20; ++i) {
        leader.advance(10000);
        leader.beat(leader.report("w2"));
    }
    CHECK_EQUAL(1, leader.workers.workerCount());
}
