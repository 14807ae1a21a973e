#include "crash_fleet.h"

#include <algorithm>
#include <utility>

using namespace persimmon;
using namespace persimmon::batch;

// What a new leader finds out of workers that it has given up before it had heard them.
TEST_GROUP(CrashesUnderNewLeaders) {};

// Guards against a task that is started a sixth time, because the loss of its worker isn't counted:
// the leader had given the worker up before it had heard it, and took the second loss for the
// first.
TEST(CrashesUnderNewLeaders, lossOfAWorkerThatANewLeaderHadGivenUpCounts)
{
    leader_fixture leader;
    leader.startOnWorker(leader_fixture::tasks(1, 8));
    leader.workers.endTerm();
    leader.workers.beginTerm(2, leader.now);
    const auto waitForLapse = [&] {
        for (int ms = 0; ms < 8000; ms += 100)
            leader.advance(100);
    };
    waitForLapse();
    leader.workers.heartbeat(
            leader.now, leader.wallMs, leader.report("w1"), [](const result<worker_orders> &) {},
            answer_mode::MayBeHeld);
    leader.advance(100);
    CHECK_EQUAL(1, leader.state.runsOn("w1").size());
    waitForLapse();
    const auto &runs = leader.state.losses().at({"a", 0, 0, 0}).runs;
    CHECK_EQUAL(2, runs.size());
    CHECK_TRUE(runs.at(1).kind == run_loss::Excused);
    CHECK_TRUE(runs.at(2).kind == run_loss::Suspected);
}

// Guards against a crash that stays a suspicion, because the leader that hears of the restart had
// never heard the worker before.
TEST(CrashesUnderNewLeaders, restartOfAWorkerThatANewLeaderHadGivenUpIsACrash)
{
    crash_fleet fleet({.comesBack = crash_return::UnderItsId, .downMs = 8000, .taskMs = 60'000});
    const task_id task {"a", 0, 0, 0};
    fleet.leader.configure(1);
    fleet.leader.submit("/q1/a", leader_fixture::tasks(1, 8));
    fleet.run(1000);
    fleet.crashWorkerOf(task);
    fleet.changeLeader();
    fleet.run(7000);
    CHECK_TRUE(fleet.leader.state.losses().at(task).runs.at(1).kind == run_loss::Suspected);
    fleet.run(2000);
    CHECK_TRUE(fleet.leader.state.losses().at(task).runs.at(1).kind == run_loss::Crashed);
}

// Guards against a late heartbeat from before the crash that excuses it for good.
TEST(CrashesUnderNewLeaders, lateHeartbeatToANewLeaderExcusesNoCrash)
{
    leader_fixture leader;
    auto running = leader.startOnWorker(leader_fixture::tasks(1, 8));
    leader.workers.endTerm();
    leader.workers.beginTerm(2, leader.now);
    for (int ms = 0; ms < 6000; ms += 100)
        leader.advance(100);
    CHECK_EQUAL(1, leader.state.countedLosses({"a", 0, 0, 0}));
    running.sequence = ++leader.sequence;
    running.incarnation = 1000;
    running.clockMs = leader.wallMs - running.incarnation - 5000;
    leader.sendHeartbeat(running);
    CHECK_EQUAL(1, leader.state.countedLosses({"a", 0, 0, 0}));
}

// Guards against a job that is given up although no worker has crashed: the suspicions against a
// worker that was cut off stay with the job, because the leader that recorded them is gone when the
// worker reports again.
TEST(CrashesUnderNewLeaders, workerThatReportsToTheNextLeaderHasNotCrashed)
{
    crash_fleet fleet({.taskMs = 100'000'000});
    const task_id task {"a", 0, 0, 0};
    auto step = leader_fixture::tasks(1, 8);
    step.longRunning = true;
    fleet.leader.configure(1);
    fleet.leader.submit("/q1/a", step);
    for (int i = 0; i < 6; ++i) {
        fleet.run(1000);
        fleet.cutOffWorkerOf(task, 6000);
        fleet.run(5600);
        CHECK_EQUAL(1, fleet.leader.state.countedLosses(task));
        fleet.changeLeader();
        fleet.run(1000);
        CHECK_EQUAL(0, fleet.leader.state.countedLosses(task));
    }
    CHECK_TRUE(fleet.leader.stateOf("a") == job_state::Running);
}

// Guards against an excuse that is forgotten because its commit has failed.
TEST(CrashesUnderNewLeaders, excuseWhoseCommitFailsIsRecordedLater)
{
    leader_fixture leader;
    auto running = leader.startOnWorker(leader_fixture::tasks(1, 8));
    for (int ms = 0; ms < 6000; ms += 100)
        leader.advance(100);
    CHECK_EQUAL(1, leader.state.countedLosses({"a", 0, 0, 0}));
    leader.holdCommits = true;
    running.running.clear();
    const auto sendHeartbeat = [&] {
        running.sequence = ++leader.sequence;
        leader.workers.heartbeat(leader.now, leader.wallMs, running,
                                 [](const result<worker_orders> &) {});
    };
    const auto countExcuses = [&leader] {
        return std::ranges::count_if(leader.heldCommits, [](const auto &item) {
            return std::holds_alternative<record_losses>(item.first);
        });
    };
    sendHeartbeat();
    sendHeartbeat(); // proposes nothing again while the first commit is outstanding
    CHECK_EQUAL(1, countExcuses());
    const auto failing = std::exchange(leader.heldCommits, {});
    for (const auto &[value, done] : failing)
        done(error {result_code::OutcomeUnknown, "no quorum", {}, {}});
    sendHeartbeat();
    CHECK_EQUAL(1, countExcuses());
    leader.releaseHeld();
    CHECK_EQUAL(0, leader.state.countedLosses({"a", 0, 0, 0}));
}

// Guards against a crash that stays a suspicion because the worker starts again under the next
// leader, and against taking one for a crash that was replaced long after it was cut off.
TEST(CrashesUnderNewLeaders, restartUnderTheNextLeaderIsACrash)
{
    for (const std::int64_t downMs : {7000, 70'000}) {
        crash_fleet fleet(
                {.comesBack = crash_return::UnderItsId, .downMs = downMs, .taskMs = 100'000});
        const task_id task {"a", 0, 0, 0};
        fleet.leader.configure(1);
        fleet.leader.submit("/q1/a", leader_fixture::tasks(1, 8));
        fleet.run(1000);
        fleet.crashWorkerOf(task);
        fleet.run(6000);
        CHECK_TRUE(fleet.leader.state.losses().at(task).runs.at(1).kind == run_loss::Suspected);
        fleet.changeLeader();
        fleet.run(downMs - 4000);
        CHECK_TRUE(fleet.leader.state.losses().at(task).runs.at(1).kind
                   == (downMs > 60'000 ? run_loss::Suspected : run_loss::Crashed));
    }
}
