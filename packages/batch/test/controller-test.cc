#include "fixture.h"

using namespace persimmon;
using namespace persimmon::batch;

TEST_GROUP(Controller)
{
    leader_fixture leader;

    worker_report startOnWorker(const step_spec &step)
    {
        return leader.startOnWorker(step);
    }
    worker_orders sendNextHeartbeat(const worker_report &value)
    {
        return leader.sendNextHeartbeat(value);
    }
};

// Guards against a lost start order: the order is repeated until the worker lists the run.
TEST(Controller, repeatsStartUntilListed)
{
    leader.configure(1);
    leader.submit("/q1/a", leader_fixture::tasks(1, 1));
    leader.sendHeartbeat(leader.report("w1"));
    leader.advance(100);
    CHECK_EQUAL(1, leader.sendHeartbeat(leader.report("w1")).starts.size());
    const auto again = leader.sendHeartbeat(leader.report("w1"));
    CHECK_EQUAL(1, again.starts.size());
    CHECK_EQUAL(1, again.starts.front().run);
}

// Guards against a start order that is sent before its commit: a new leader would have no record of
// the run.
TEST(Controller, sendsNoStartBeforeItsCommit)
{
    leader.configure(1);
    leader.submit("/q1/a", leader_fixture::tasks(1, 1));
    leader.sendHeartbeat(leader.report("w1"));
    leader.holdCommits = true;
    leader.advance(100);
    CHECK_EQUAL(0, leader.sendHeartbeat(leader.report("w1")).starts.size());
    leader.holdCommits = false;
    leader.releaseHeld();
    CHECK_EQUAL(1, leader.sendHeartbeat(leader.report("w1")).starts.size());
}

// Guards against a second run of a task that is being stopped: meanwhile the worker lists it
// neither as running nor as ended.
TEST(Controller, keepsRunThatIsBeingStopped)
{
    auto running = startOnWorker(leader_fixture::tasks(1, 8));
    leader.configure(0);
    leader.submit("/q0/b", leader_fixture::pressingTasks(1, 8));
    leader.advance(100);
    CHECK_EQUAL(1, sendNextHeartbeat(running).stops.size());
    // The worker stops the run; another worker joins meanwhile.
    auto stopping = running;
    stopping.running.clear();
    for (int i = 0; i < 5; ++i) {
        CHECK_EQUAL(0, sendNextHeartbeat(stopping).starts.size());
        leader.sendHeartbeat(leader.report("w2"));
        leader.advance(100);
    }
    CHECK_TRUE(leader.state.findJob("a")->taskOf({"a", 0, 0, 0}).active);
    auto ended = stopping;
    ended.ended.push_back({1, {"a", 0, 0, 0}, 1, end_kind::Done, ""});
    CHECK_EQUAL(1, *sendNextHeartbeat(ended).ackedUpTo);
    CHECK_TRUE(leader.stateOf("a") == job_state::Done);
}

// Guards against confirming an end before its commit: a new leader would have no record of it.
TEST(Controller, confirmsEndsAfterTheirCommit)
{
    auto ended = startOnWorker(leader_fixture::tasks(1, 1));
    ended.running.clear();
    ended.ended.push_back({7, {"a", 0, 0, 0}, 1, end_kind::Done, ""});
    ended.sequence = ++leader.sequence;
    leader.holdCommits = true;
    bool answered = false;
    leader.workers.heartbeat(leader.now, leader.wallMs, ended,
                             [&](const result<worker_orders> &) { answered = true; });
    CHECK_FALSE(answered);
    leader.releaseHeld();
    CHECK_TRUE(answered);
}

// Guards against two concurrent runs of a task: the run of a worker that sends no heartbeats is
// replaced only after its lease has expired.
TEST(Controller, waitsForLeaseOfUnresponsiveWorker)
{
    startOnWorker(leader_fixture::tasks(1, 1));
    for (int ms = 0; ms < 5000; ms += 100) {
        leader.sendHeartbeat(leader.report("w2"));
        leader.advance(100);
    }
    CHECK_EQUAL(1, leader.state.findJob("a")->taskOf({"a", 0, 0, 0}).run);
    for (int ms = 0; ms < 1000; ms += 100) {
        leader.sendHeartbeat(leader.report("w2"));
        leader.advance(100);
    }
    CHECK_EQUAL(2, leader.state.findJob("a")->taskOf({"a", 0, 0, 0}).run);
}

// Guards against a start order for a run whose end is being committed: the next run may start on
// another worker.
TEST(Controller, sendsNoStartWhileAnEndIsCommitted)
{
    leader.configure(1);
    leader.submit("/q1/a", leader_fixture::tasks(1, 1));
    leader.sendHeartbeat(leader.report("w1"));
    leader.advance(100); // placed, but the order never reaches the worker
    leader.holdCommits = true;
    leader.advance(5400);
    CHECK_EQUAL(0, leader.sendHeartbeat(leader.report("w1")).starts.size());
    leader.holdCommits = false;
    leader.releaseHeld();
}

// Guards against restarting runs of a worker that has not sent a heartbeat to the new leader yet.
TEST(Controller, newLeaderKeepsRunsOfWorkersWithoutHeartbeat)
{
    startOnWorker(leader_fixture::tasks(1, 1));
    leader.advance(4000);
    leader.workers.beginTerm(2, leader.now);
    for (int ms = 0; ms < 5000; ms += 100) {
        leader.sendHeartbeat(leader.report("w2"));
        leader.advance(100);
    }
    CHECK_EQUAL(1, leader.state.findJob("a")->taskOf({"a", 0, 0, 0}).run);
}

// Guards against waiting for the lease of a worker that has restarted, because its earlier runs
// have ended.
TEST(Controller, replacesRunsOfRestartedWorkerAtOnce)
{
    startOnWorker(leader_fixture::tasks(1, 1));
    auto restarted = leader.report("w1");
    restarted.incarnation = 2000;
    leader.sendHeartbeat(restarted);
    leader.advance(100);
    CHECK_EQUAL(2, leader.state.findJob("a")->taskOf({"a", 0, 0, 0}).run);
}

// Guards against processing a late heartbeat of an earlier incarnation.
TEST(Controller, ignoresLateHeartbeat)
{
    auto old = leader.report("w1");
    auto restarted = leader.report("w1");
    restarted.incarnation = 2000;
    leader.configure(1);
    CHECK_EQUAL(5000, leader.sendHeartbeat(restarted).leaseMs);
    CHECK_EQUAL(0, leader.sendHeartbeat(old).leaseMs);
}

// Guards against starting tasks on a draining worker.
TEST(Controller, startsNothingOnDrainingWorker)
{
    leader.configure(1);
    leader.submit("/q1/a", leader_fixture::tasks(1, 1));
    auto leaving = leader.report("w1");
    leaving.draining = true;
    leader.sendHeartbeat(leaving);
    leader.advance(100);
    leaving.sequence = ++leader.sequence;
    CHECK_EQUAL(0, leader.sendHeartbeat(leaving).starts.size());
}

// Guards against runs of a cancelled job that are not stopped.
TEST(Controller, stopsCancelledJob)
{
    auto running = startOnWorker(leader_fixture::tasks(2, 1));
    leader.queues.cancel(leader.wallMs, {"host", "/q1/a", ""}, [](const status &) {});
    CHECK_EQUAL(2, sendNextHeartbeat(running).stops.size());
    CHECK_TRUE(leader.stateOf("a") == job_state::Cancelled);
}

// Guards against a follower that extends leases or sends orders.
TEST(Controller, refusesHeartbeatsWithoutLeadership)
{
    leader.workers.endTerm();
    result<worker_orders> outcome = worker_orders {};
    leader.workers.heartbeat(leader.now, leader.wallMs, leader.report("w1"),
                             [&](const result<worker_orders> &done) { outcome = done; });
    CHECK_TRUE(errorOf(outcome).code == result_code::NotLeader);
}

// Guards against placing tasks on a worker on which all runs fail.
TEST(Controller, quarantinesWorkerThatFailsTwoJobs)
{
    leader.configure(1);
    auto withoutCapacity
            = leader.report("w3"); // no capacity; keeps less than half of the workers in quarantine
    withoutCapacity.capacity = {};
    leader.sendHeartbeat(withoutCapacity);
    leader.sendHeartbeat(leader.report("w1"));
    for (const auto *job : {"a", "b"}) {
        leader.submit("/q1/" + std::string(job), leader_fixture::tasks(1, 1));
        leader.advance(100);
        auto ended = leader.report("w1");
        ended.ended.push_back({leader.sequence, {job, 0, 0, 0}, 1, end_kind::Failed, ""});
        leader.sendHeartbeat(ended);
    }
    leader.submit("/q1/c", leader_fixture::tasks(1, 1));
    leader.advance(100);
    leader.sendHeartbeat(leader.report("w2"));
    leader.advance(100);
    STRCMP_EQUAL("w2", leader.state.findJob("c")->taskOf({"c", 0, 0, 0}).worker.c_str());
}

// Guards against a job that fails because its second attempt went to another worker that fails
// everything: among workers without known failures, one with a recent success comes first.
TEST(Controller, retriesWhereARunHasSucceeded)
{
    leader.configure(1);
    leader.sendHeartbeat(leader.report("w9"));
    leader.submit("/q1/good", leader_fixture::tasks(1, 8));
    leader.advance(100);
    auto ended = leader.report("w9");
    ended.ended.push_back({1, {"good", 0, 0, 0}, 1, end_kind::Done, ""});
    leader.sendHeartbeat(ended);
    for (const auto *id : {"w1", "w2", "w3"})
        leader.sendHeartbeat(leader.report(id));
    leader.submit("/q1/bad", leader_fixture::tasks(1, 8));
    leader.advance(100);
    const auto first = leader.state.findJob("bad")->taskOf({"bad", 0, 0, 0}).worker;
    CHECK_TRUE(first != "w9");
    auto failed = leader.report(first);
    failed.ended.push_back({1, {"bad", 0, 0, 0}, 1, end_kind::Failed, ""});
    leader.sendHeartbeat(failed);
    leader.advance(100);
    const auto &retried = leader.state.findJob("bad")->taskOf({"bad", 0, 0, 0});
    CHECK_EQUAL(2, retried.run);
    STRCMP_EQUAL("w9", retried.worker.c_str());
}

// Guards against a process that ends because a worker lists tasks that its job doesn't have.
TEST(Controller, stopsUnknownTasksOfKnownJobs)
{
    auto report = startOnWorker(leader_fixture::tasks(1, 1));
    report.running.clear();
    for (const task_id &task :
         {task_id {"a", 0, 0, 9}, {"a", 0, 9, 0}, {"a", 9, 0, 0}, {"?", 0, 0, 0}})
        report.running.push_back({task, 1, "", 10, 0});
    report.draining = true;
    report.remainingMs = 0;
    CHECK_EQUAL(4, sendNextHeartbeat(report).stops.size());
    for (int ms = 0; ms < 3000; ms += 100) {
        leader.advance(100);
        CHECK_EQUAL(4, sendNextHeartbeat(report).stops.size());
    }
}

// Guards against idle-time tasks that keep a serving task above its latency objective, and against
// a reduced pace that is not repeated or never raised again.
TEST(Controller, slowsIdleTimeTasksBesideSlowServingTasks)
{
    leader.configure(1);
    auto serving = leader_fixture::tasks(1, 0);
    serving.longRunning = true;
    serving.latencyObjectiveMs = 100;
    auto filler = leader_fixture::tasks(1, 0);
    filler.usesIdleCpu = true;
    leader.submit("/q1/s", serving);
    leader.submit("/q1/f", filler);
    auto report = leader.report("w1");
    report.running = {{{"s", 0, 0, 0}, 1, "", 100, 120}, {{"f", 0, 0, 0}, 1, "", 10, 4}};
    const auto orders = sendNextHeartbeat(report);
    CHECK_EQUAL(1, orders.paces.size());
    CHECK_EQUAL(0, orders.paces.front().percent);
    STRCMP_EQUAL("f", orders.paces.front().task.job.c_str());
    report.running.front().tailLatencyMs = 20;
    std::uint32_t last = 0;
    for (int ms = 0; ms < 8000; ms += 400) {
        leader.advance(400);
        const auto raised = sendNextHeartbeat(report);
        if (!raised.paces.empty())
            last = raised.paces.front().percent;
    }
    CHECK_EQUAL(100, last);
}

// Guards against a long-running task that is not restarted after it ends, and against counting its
// ends as failed attempts.
TEST(Controller, restartsLongRunningTaskAfterEveryEnd)
{
    auto step = leader_fixture::tasks(1, 1);
    step.longRunning = true;
    auto ended = startOnWorker(step);
    for (std::uint32_t run = 1; run < 6; ++run) {
        ended.running.clear();
        ended.ended = {
                {run, {"a", 0, 0, 0}, run, run % 2 == 0 ? end_kind::Done : end_kind::Failed, ""}};
        sendNextHeartbeat(ended);
        leader.sendHeartbeat(leader.report("w2"));
        leader.advance(100);
        CHECK_EQUAL(run + 1, leader.state.findJob("a")->taskOf({"a", 0, 0, 0}).run);
        ended = leader.report(leader.state.findJob("a")->taskOf({"a", 0, 0, 0}).worker);
    }
}

// Guards against starts without a ticket, a second advice request in flight, and starts on refused
// workers.
TEST(Controller, startsAdvisedStepsWithTickets)
{
    leader.configure(1);
    auto value = leader.state.currentConfiguration();
    value.version = ++leader.version;
    value.queues.front().adviceValidMs = 60000;
    leader.commit(set_configuration {value});
    int questions = 0;
    std::function<void(result<std::vector<ticket>>)> answer;
    leader.workers.setAdviceFunction([&](const step_key &step, const std::vector<std::string> &,
                                         std::function<void(result<std::vector<ticket>>)> done) {
        ++questions;
        STRCMP_EQUAL("a", step.job.c_str());
        answer = std::move(done);
    });
    leader.submit("/q1/a", leader_fixture::tasks(1, 1));
    leader.sendHeartbeat(leader.report("w1"));
    leader.sendHeartbeat(leader.report("w2"));
    leader.advance(100);
    leader.advance(100);
    CHECK_EQUAL(1, questions);
    answer(std::vector<ticket> {{"w2", "permit"}});
    leader.advance(100);
    CHECK_EQUAL(0, leader.sendHeartbeat(leader.report("w1")).starts.size());
    const auto orders = leader.sendHeartbeat(leader.report("w2"));
    CHECK_EQUAL(1, orders.starts.size());
    STRCMP_EQUAL("permit", orders.starts.front().ticket.c_str());
    leader.advance(1000);
    CHECK_EQUAL(1, questions);
}

// Guards against an end that a leaving worker can no longer report: the task would be run again.
TEST(Controller, stopsAllRunsShortlyBeforeAWorkerLeaves)
{
    auto running = startOnWorker(leader_fixture::tasks(1, 1));
    running.running.front().percent = 99;
    running.draining = true;
    running.remainingMs = 4000;
    CHECK_EQUAL(0, sendNextHeartbeat(running).stops.size());
    running.remainingMs = 1000;
    const auto orders = sendNextHeartbeat(running);
    CHECK_EQUAL(1, orders.stops.size());
    CHECK_EQUAL(100, orders.retryMs);
}

// Guards against waiting for the lease of a worker that was replaced by a newer one at its address.
TEST(Controller, newerWorkerReplacesEarlierAtSameAddress)
{
    auto running = startOnWorker(leader_fixture::tasks(1, 1));
    running.address = "10.0.0.1:1";
    sendNextHeartbeat(running);
    auto newer = leader.report("w9");
    newer.incarnation = 9000;
    newer.address = running.address;
    for (int ms = 0; ms < 2000; ms += 100) {
        newer.sequence = ++leader.sequence;
        leader.sendHeartbeat(newer);
        leader.advance(100);
    }
    STRCMP_EQUAL("w9", leader.state.findJob("a")->taskOf({"a", 0, 0, 0}).worker.c_str());
}

TEST_GROUP(ControllerGang)
{
    leader_fixture leader;

    // Places a gang of two on w1 and w2 and returns a heartbeat in which w1 runs its member.
    worker_report placeGang()
    {
        leader.configure(1);
        leader.sendHeartbeat(leader.report("w1"));
        leader.sendHeartbeat(leader.report("w2"));
        auto step = leader_fixture::tasks(2, 8);
        step.gang = true;
        leader.submit("/q1/a", step);
        leader.advance(100);
        const auto orders = leader.sendHeartbeat(leader.report("w1"));
        CHECK_EQUAL(1, orders.starts.size());
        auto running = leader.report("w1");
        running.running.push_back({orders.starts.front().task, 1, "", 0, 0});
        return running;
    }

    std::size_t stopsOf(worker_report value)
    {
        value.sequence = ++leader.sequence;
        return leader.sendHeartbeat(value).stops.size();
    }
};

// Guards against gang members that keep waiting for a member whose worker has restarted.
TEST(ControllerGang, stopsOtherMembersWhenOneIsLost)
{
    const auto running = placeGang();
    CHECK_EQUAL(0, stopsOf(running));
    auto restarted = leader.report("w2");
    restarted.incarnation = 2000;
    leader.sendHeartbeat(restarted);
    CHECK_EQUAL(1, stopsOf(running));
}

// Guards against gang members that keep waiting for a member whose worker began to drain before it
// got its start order.
TEST(ControllerGang, stopsOtherMembersWhenOneCantStart)
{
    const auto running = placeGang();
    auto draining = leader.report("w2");
    draining.draining = true;
    CHECK_EQUAL(0, leader.sendHeartbeat(draining).starts.size());
    CHECK_EQUAL(1, stopsOf(running));
}

// Guards against gang members that keep waiting for a member whose worker sends no heartbeats.
TEST(ControllerGang, stopsOtherMembersWhenAnOrderIsNotSent)
{
    const auto running = placeGang();
    leader.advance(1000);
    CHECK_EQUAL(0, stopsOf(running));
    leader.advance(700);
    CHECK_EQUAL(1, stopsOf(running));
}

// Guards against memory that grows with the number of workers that ever existed.
TEST(Controller, removesWorkersAfterRetention)
{
    leader.configure(1);
    leader.sendHeartbeat(leader.report("w1"));
    leader.sendHeartbeat(leader.report("w2"));
    leader.submit("/q1/a", leader_fixture::tasks(1, 8));
    leader.advance(100);
    CHECK_EQUAL(2, leader.workers.workerCount());
    for (int i = 0; i < 20; ++i) {
        leader.advance(10000);
        leader.sendHeartbeat(leader.report("w2"));
    }
    CHECK_EQUAL(1, leader.workers.workerCount());
}
