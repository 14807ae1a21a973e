#include "fixture.h"

#include <functional>

using namespace persimmon;
using namespace persimmon::batch;

// Work that a preference holds back must start in the end.
TEST_GROUP(Progress)
{
    leader_fixture leader;
    std::size_t stops = 0; // orders to stop a run, in all answers

    static step_spec gangOf(std::uint32_t count, const std::string &label = {})
    {
        auto step = leader_fixture::pressingTasks(count, 8);
        step.gang = true;
        step.requiredLabel = label;
        return step;
    }

    // Sends heartbeats of workers of one kind, which report their active runs.
    void sendHeartbeats(const std::string &kind, int count, const std::string &rack = "rack-1",
                        const std::string &pool = "pool")
    {
        for (int i = 1; i <= count; ++i) {
            auto report = leader.report(kind + std::to_string(i));
            report.pool = pool;
            report.rack = rack;
            report.labels = {kind, rack};
            for (const auto &[task, run] : leader.state.runsOn(report.id))
                report.running.push_back({task, run.run, "", ++percent_ % 100, 0});
            stops += leader.sendHeartbeat(report).stops.size();
        }
    }

    void advance(std::int64_t ms, const std::function<void()> &sendAll)
    {
        for (; ms > 0; ms -= 100) {
            sendAll();
            leader.advance(100);
        }
    }

    std::size_t activeTasks(const std::string &job)
    {
        std::size_t count = 0;
        for (const auto &task : leader.state.findJob(job)->occurrences[0][0].tasks)
            count += task.active ? 1 : 0;
        return count;
    }

    // Lets a gang wait that can't be placed, and checks that other work starts meanwhile.
    void checkOthersStart(const step_spec &gang, const std::function<void()> &sendAll)
    {
        leader.tenants = {{"t", {"key"}, 1000}};
        leader.configure(0);
        sendAll();
        leader.submit("/q0/gang", gang, "key");
        advance(3000, sendAll);
        leader.submit("/q2/a", leader_fixture::tasks(2, 1));
        advance(1000, sendAll);
        CHECK_EQUAL(0, activeTasks("gang"));
        CHECK_EQUAL(2, activeTasks("a"));
    }

    // Lets the newest run of a task fail on its worker.
    void fail(const task_id &task)
    {
        const auto &state = leader.state.findJob(task.job)->taskOf(task);
        auto report = leader.report(state.worker);
        report.labels = {state.worker.substr(0, 1), "rack-1"};
        report.ended.push_back({++ends_, task, state.run, end_kind::Failed, ""});
        leader.sendHeartbeat(report);
    }

private:
    std::uint32_t percent_ = 0;
    std::uint64_t ends_ = 0;
};

// Guards against a rack that is kept for a gang with too few workers of its kind: nothing else was
// started there, for ever.
TEST(Progress, gangWithTooFewWorkersStopsNobody)
{
    checkOthersStart(gangOf(4, "b"), [this] {
        sendHeartbeats("a", 4);
        sendHeartbeats("b", 3);
    });
}

// Guards against the same for a label that no worker has.
TEST(Progress, gangWithAnUnknownLabelStopsNobody)
{
    checkOthersStart(gangOf(2, "c"), [this] { sendHeartbeats("a", 4); });
}

// Guards against the same for a gang that is too wide for the fleet.
TEST(Progress, gangTooWideForTheFleetStopsNobody)
{
    checkOthersStart(gangOf(5), [this] { sendHeartbeats("a", 4); });
}

// Guards against the same for a limit of tasks on a worker that leaves too little room.
TEST(Progress, gangTooWideForItsLimitOnAWorkerStopsNobody)
{
    auto gang = leader_fixture::pressingTasks(5, 1);
    gang.gang = true;
    gang.maxPerWorker = 1;
    checkOthersStart(gang, [this] { sendHeartbeats("a", 4); });
}

// Guards against a rack kept for a gang where workers of another pool, or of a kind that the gang
// can't use, stay idle.
TEST(Progress, rackIsKeptOnlyWhereTheGangFits)
{
    const auto sendAll = [this] {
        sendHeartbeats("a", 2);
        sendHeartbeats("b", 2);
        sendHeartbeats("c", 1, "rack-1", "other");
    };
    leader.configure(1);
    sendAll();
    auto blocker = leader_fixture::tasks(1, 8);
    blocker.requiredLabel = "b";
    leader.submit("/q1/blocker", blocker);
    advance(300, sendAll);
    leader.submit("/q1/gang", gangOf(2, "b"));
    advance(3000, sendAll);
    CHECK_EQUAL(0, activeTasks("gang"));
    leader.submit("/q2/small", leader_fixture::tasks(12, 1));
    advance(200, sendAll);
    CHECK_EQUAL(12, activeTasks("small"));
}

// Guards against a rack that is kept for a gang for as long as its other worker is in use: work
// that is held back gets a turn.
TEST(Progress, keptRackIsSharedAfterAWhile)
{
    const auto sendAll = [this] { sendHeartbeats("a", 4); };
    leader.tenants = {{"t", {"key"}, 1000}};
    leader.configure(0);
    sendAll();
    auto endless = leader_fixture::tasks(3, 8);
    endless.estimateMs = 100'000'000;
    leader.submit("/q0/endless", endless, "key");
    advance(300, sendAll);
    CHECK_EQUAL(3, activeTasks("endless"));
    leader.submit("/q0/gang", gangOf(2), "key");
    advance(3000, sendAll);
    leader.submit("/q2/small", leader_fixture::tasks(1, 1));
    advance(500, sendAll);
    CHECK_EQUAL(0, activeTasks("small")); // the rack is kept
    advance(25'000, sendAll);
    CHECK_EQUAL(1, activeTasks("small"));
}

// Guards against work that waits beside a fleet of which under half is in use, because of a rack
// that is kept for a gang.
TEST(Progress, workDoesNotWaitForLongBesideAMostlyIdleFleet)
{
    const auto sendAll = [this] { sendHeartbeats("a", 4); };
    leader.tenants = {{"t", {"key"}, 1000}};
    leader.configure(0);
    sendAll();
    auto endless = leader_fixture::tasks(1, 8);
    endless.estimateMs = 100'000'000;
    leader.submit("/q0/endless", endless, "key");
    advance(300, sendAll);
    leader.submit("/q0/gang", gangOf(4), "key");
    advance(3000, sendAll);
    leader.submit("/q2/small", leader_fixture::tasks(1, 1));
    advance(2500, sendAll);
    CHECK_EQUAL(1, activeTasks("small"));
}

// Guards against a long-running task that isn't restarted beside idle workers that are kept for
// urgent work, in a fleet that is mostly in use.
TEST(Progress, longRunningTaskUsesTheReserveOfABusyFleet)
{
    const auto sendAll = [this] { sendHeartbeats("a", 8); };
    leader.configure(0);
    sendAll();
    auto busy = leader_fixture::tasks(6, 8);
    busy.need.cpu = 8000;
    busy.estimateMs = 100'000'000;
    leader.submit("/q0/busy", busy);
    advance(200, sendAll);
    CHECK_EQUAL(6, activeTasks("busy"));
    auto lasting = leader_fixture::tasks(1, 1);
    lasting.longRunning = true;
    leader.submit("/q2/lasting", lasting);
    advance(2500, sendAll);
    CHECK_EQUAL(1, activeTasks("lasting"));
}

// Guards against the demand of one pool that keeps the idle workers of another.
TEST(Progress, reserveOfOnePoolLeavesOthersAlone)
{
    const auto sendAll = [this] {
        sendHeartbeats("a", 4);
        sendHeartbeats("b", 2, "rack-2", "other");
    };
    leader.configure(0);
    auto value = leader.state.currentConfiguration();
    ++value.version;
    value.queues.push_back({"q3", "host", "/q3/", "other", 2, 3, 3.0, 1000, true, 0});
    leader.commit(set_configuration {value});
    sendAll();
    auto busy = leader_fixture::tasks(4, 8);
    busy.need.cpu = 8000;
    leader.submit("/q0/busy", busy);
    advance(200, sendAll);
    leader.submit("/q3/elsewhere", leader_fixture::tasks(16, 1));
    advance(200, sendAll);
    CHECK_EQUAL(16, activeTasks("elsewhere"));
}

// Guards against work that has waited for long and may use kept workers, but is skipped because a
// smaller need of newer work found no room beside them.
TEST(Progress, newWorkDoesNotHideOldWork)
{
    const auto sendAll = [this] { sendHeartbeats("a", 3); };
    leader.configure(0);
    sendAll();
    leader.submit("/q0/urgent", leader_fixture::tasks(3, 8));
    advance(200, sendAll);
    CHECK_EQUAL(3, activeTasks("urgent"));
    auto slow = leader_fixture::tasks(1, 2);
    slow.estimateMs = 60'000; // later in the order of a pass than new work
    leader.submit("/q2/old", slow);
    advance(1600, sendAll);
    for (std::uint32_t i = 0; i < 3; ++i)
        leader.commit(end_runs {{{{"urgent", 0, 0, i}, 1, end_kind::Done, ""}}, leader.wallMs});
    leader.submit("/q2/new", leader_fixture::tasks(1, 1));
    advance(100, sendAll);
    CHECK_EQUAL(1, activeTasks("old"));
}

// Guards against a task that is never run again because its only eligible worker has failed it, on
// its last attempt too.
TEST(Progress, taskReturnsToItsOnlyWorker)
{
    const auto sendAll = [this] {
        sendHeartbeats("a", 4);
        sendHeartbeats("b", 1);
    };
    leader.configure(1);
    sendAll();
    auto step = leader_fixture::tasks(1, 1);
    step.requiredLabel = "b";
    leader.submit("/q1/a", step);
    const task_id task {"a", 0, 0, 0};
    for (std::uint32_t run = 1; run <= 3; ++run) {
        advance(8000, sendAll); // longer than a worker is in quarantine
        CHECK_EQUAL(run, leader.state.findJob("a")->taskOf(task).run);
        fail(task);
    }
    CHECK_TRUE(leader.stateOf("a") == job_state::Failed);
}

// Guards against a gang that is never run again because one run has failed on all workers that it
// fits.
TEST(Progress, gangReturnsToItsOnlyWorkers)
{
    const auto sendAll = [this] { sendHeartbeats("a", 2); };
    leader.configure(1);
    sendAll();
    leader.submit("/q1/a", gangOf(2));
    advance(300, sendAll);
    fail({"a", 0, 0, 0});
    fail({"a", 0, 0, 1});
    advance(8000, sendAll);
    CHECK_EQUAL(2, leader.state.findJob("a")->taskOf({"a", 0, 0, 0}).run);
    CHECK_EQUAL(2, activeTasks("a"));
}

// Guards against starting a task at once where it has just failed, while others are in use.
TEST(Progress, taskWaitsForAnotherWorkerFirst)
{
    const auto sendAll = [this] { sendHeartbeats("a", 2); };
    leader.configure(1);
    sendAll();
    leader.submit("/q1/busy", leader_fixture::tasks(1, 8));
    leader.submit("/q1/a", leader_fixture::tasks(1, 1));
    advance(300, sendAll);
    const task_id task {"a", 0, 0, 0};
    fail(task);
    advance(1500, sendAll);
    CHECK_EQUAL(1, leader.state.findJob("a")->taskOf(task).run);
    advance(2000, sendAll);
    CHECK_EQUAL(2, leader.state.findJob("a")->taskOf(task).run);
}

// Guards against urgent units that can't be placed and use up the attempts at preemption in each
// pass.
TEST(Progress, unplaceableUnitsDoNotUseUpPreemption)
{
    const auto sendAll = [this] { sendHeartbeats("a", 4); };
    leader.tenants = {{"t", {"key"}, 1000}};
    leader.configure(0);
    sendAll();
    auto busy = leader_fixture::tasks(4, 8);
    busy.estimateMs = 100'000'000;
    leader.submit("/q2/busy", busy);
    advance(300, sendAll);
    CHECK_EQUAL(4, activeTasks("busy"));
    for (int i = 0; i < 12; ++i)
        leader.submit("/q0/unplaceable" + std::to_string(i), gangOf(2, "b"), "key");
    leader.submit("/q0/urgent", leader_fixture::pressingTasks(1, 8), "key");
    advance(3000, sendAll);
    CHECK_TRUE(stops > 0);
}
