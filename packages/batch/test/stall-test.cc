#include "crash_fleet.h"

using namespace persimmon;
using namespace persimmon::batch;

// A job of which nothing runs starts within 3 s if there is room for it twice over, however full
// its pool is. After the loss of its worker or of the leader it does so within 7 s.
TEST_GROUP(Stall)
{
    static constexpr std::int64_t maxStallMs = 3000;
    static constexpr std::int64_t maxStallAfterLossMs = 7000;
    static constexpr std::int64_t endlessMs = 100'000'000;

    const task_id small {"small", 0, 0, 0};

    static crash_fleet::options endless(int workers, int workersInRack = 4)
    {
        return {.workers = workers, .workersInRack = workersInRack, .taskMs = endlessMs};
    }

    static step_spec endlessTasks(std::uint32_t count, std::int64_t accelerators)
    {
        auto step = leader_fixture::tasks(count, accelerators);
        step.need.cpu = accelerators * 1000;
        step.estimateMs = endlessMs;
        return step;
    }

    static step_spec gangOf(std::uint32_t count, bool sameRack)
    {
        auto step = leader_fixture::tasks(count, 8);
        step.gang = true;
        step.sameRack = sameRack;
        return step;
    }

    // Returns the time until a task has started, in milliseconds, at most a limit.
    static std::int64_t timeToStart(crash_fleet & fleet, const task_id &task,
                                    std::int64_t limitMs = 30'000)
    {
        const auto before = fleet.startsOf(task);
        std::int64_t ms = 0;
        for (; ms < limitMs && fleet.startsOf(task) == before; ms += 50)
            fleet.run(50);
        return ms;
    }

    void checkStarts(crash_fleet & fleet, const task_id &task, std::int64_t limitMs = maxStallMs)
    {
        const auto ms = timeToStart(fleet, task);
        if (ms > limitMs)
            FAIL((task.job + " started after " + std::to_string(ms) + " ms").c_str());
    }

    // Lets a task fail on its worker.
    static void fail(crash_fleet & fleet, const std::string &job)
    {
        fleet.failUnder([job](const task_id &task, int) { return task.job == job; });
    }
};

// Guards against work that waits beside idle workers that are kept for urgent work, in a pool that
// is mostly in use.
TEST(Stall, reserveOfABusyPoolIsOpenToAJobThatStalls)
{
    crash_fleet fleet(endless(8));
    fleet.leader.configure(0);
    fleet.leader.submit("/q0/busy", endlessTasks(6, 8));
    fleet.run(300);
    fleet.leader.submit("/q2/small", leader_fixture::tasks(1, 1));
    checkStarts(fleet, small);
}

// Guards against work that waits beside a rack that is kept for a gang, in a pool that is mostly in
// use.
TEST(Stall, keptRackIsOpenToAJobThatStalls)
{
    crash_fleet fleet(endless(4));
    fleet.leader.tenants = {{"t", {"key"}, 1000}};
    fleet.leader.configure(0);
    fleet.leader.submit("/q0/busy", endlessTasks(3, 8), "key");
    fleet.run(300);
    fleet.leader.submit("/q0/gang", gangOf(2, false), "key");
    fleet.run(3000);
    fleet.leader.submit("/q2/small", leader_fixture::tasks(1, 1));
    checkStarts(fleet, small);
}

// Guards against a gang that waits for one rack while it fits into several twice over.
TEST(Stall, gangIsSpreadOverRacksIfNoneHasRoom)
{
    auto options = endless(8, 2);
    options.twoKinds = true;
    crash_fleet fleet(options);
    fleet.leader.configure(2);
    auto busy = endlessTasks(4, 8);
    busy.requiredLabel = "b"; // one worker of each rack
    fleet.leader.submit("/q2/busy", busy);
    fleet.run(300);
    fleet.leader.submit("/q2/gang", gangOf(2, true));
    checkStarts(fleet, {"gang", 0, 0, 0});
}

// Guards against a task on its last attempt that waits for a trusted worker beside room on others,
// in a pool that is mostly in use.
TEST(Stall, lastAttemptDoesNotWaitForATrustedWorker)
{
    crash_fleet fleet({.workers = 4, .taskMs = 500});
    fleet.leader.configure(2, 2);
    fail(fleet, "small");
    auto busy = endlessTasks(3, 8);
    busy.longRunning = true; // the fleet doesn't end it
    fleet.leader.submit("/q2/busy", busy);
    fleet.run(300);
    fleet.leader.submit("/q2/small", leader_fixture::tasks(1, 1));
    checkStarts(fleet, small);
    fleet.run(600); // fails on the only worker with room
    checkStarts(fleet, small);
}

// Guards against a job that waits for the end of a quarantine beside room on no other worker: jobs
// that always fail put sound workers into it.
TEST(Stall, quarantineDoesNotStallAJob)
{
    crash_fleet fleet({.workers = 4, .taskMs = 300});
    fleet.leader.configure(2, 1);
    fleet.failUnder([](const task_id &task, int) { return task.job.starts_with("hopeless"); });
    auto busy = endlessTasks(3, 8);
    busy.longRunning = true;
    fleet.leader.submit("/q2/busy", busy);
    fleet.run(300);
    fleet.leader.submit("/q2/hopeless1", leader_fixture::tasks(1, 1));
    fleet.leader.submit("/q2/hopeless2", leader_fixture::tasks(1, 1));
    fleet.run(800);
    fleet.leader.submit("/q2/small", leader_fixture::tasks(1, 1));
    checkStarts(fleet, small);
}

// Guards against tasks under which workers were lost that wait for a worker without others of their
// kind.
TEST(Stall, suspectsShareAWorkerIfTheyStall)
{
    crash_fleet fleet(endless(2));
    fleet.leader.configure(2);
    fleet.leader.submit("/q2/a", endlessTasks(1, 1));
    fleet.leader.submit("/q2/b", endlessTasks(1, 1));
    fleet.leader.submit("/q2/small", endlessTasks(1, 1));
    fleet.run(300);
    fleet.crashRange(0, 2);
    fleet.run(maxStallAfterLossMs);
    for (const auto *job : {"a", "b", "small"})
        CHECK_EQUAL(2, fleet.startsOf({job, 0, 0, 0}));
}

// Guards against suspects that take others with them, because the stall of one puts them on the
// same worker while workers are still being lost.
TEST(Stall, suspectsStayApartWhileWorkersAreBeingLost)
{
    crash_fleet fleet(endless(3));
    fleet.leader.configure(2);
    for (const auto *job : {"a", "b", "c", "small"})
        fleet.leader.submit(std::string("/q2/") + job, endlessTasks(1, 1));
    fleet.run(300);
    fleet.crashRange(0, 3);
    fleet.run(3500);
    fleet.crashWorkerOf({"a", 0, 0, 0});
    fleet.run(2900);
    const auto &busy = fleet.leader.state.busyWorkers();
    for (const auto &[worker, active] : busy)
        CHECK_EQUAL(1, active.runs.size());
    fleet.run(maxStallAfterLossMs - 2900);
    std::size_t running = 0;
    for (const auto &[worker, active] : busy)
        running += active.runs.size();
    CHECK_EQUAL(4, running);
}

// Guards against jobs that are started apart from each other after the lease of their lost workers
// has passed already.
TEST(Stall, jobsOfWorkersThatStaySilentStartInTime)
{
    auto options = endless(8);
    options.comesBack = crash_return::Never;
    crash_fleet fleet(options);
    fleet.leader.configure(2);
    fleet.leader.submit("/q2/a", leader_fixture::tasks(1, 8));
    fleet.leader.submit("/q2/b", leader_fixture::tasks(1, 8));
    fleet.run(300);
    fleet.crashWorkerOf({"a", 0, 0, 0});
    fleet.crashWorkerOf({"b", 0, 0, 0});
    fleet.run(maxStallAfterLossMs);
    CHECK_EQUAL(2, fleet.startsOf({"a", 0, 0, 0}));
    CHECK_EQUAL(2, fleet.startsOf({"b", 0, 0, 0}));
}

// Guards against a new leader that gives up the run of a worker it has never heard too late.
TEST(Stall, newLeaderGivesUpTheRunsOfALostWorkerInTime)
{
    constexpr std::int64_t electionMs = 600; // the longest time-out of the group
    constexpr std::int64_t orderMs = 600; // commits, and the way of the order
    auto options = endless(4);
    options.comesBack = crash_return::Never;
    crash_fleet fleet(options);
    fleet.leader.configure(2);
    fleet.leader.submit("/q2/small", leader_fixture::tasks(1, 1));
    fleet.run(300);
    fleet.crashWorkerOf(small);
    fleet.pauseLeader(electionMs);
    fleet.changeLeader();
    checkStarts(fleet, small, maxStallAfterLossMs - electionMs - orderMs);
}

// Guards against jobs that wait until the clock of a new leader has reached the time at which the
// earlier one has accepted them.
TEST(Stall, jobDoesNotWaitForTheClockOfANewLeader)
{
    crash_fleet fleet(endless(4));
    fleet.leader.configure(2);
    fleet.leader.holdCommits = true; // nothing is placed by the earlier leader
    fleet.leader.submit("/q2/small", leader_fixture::tasks(1, 1));
    fleet.leader.holdCommits = false;
    fleet.leader.heldCommits.clear();
    fleet.leader.wallMs -= 5000;
    fleet.changeLeader();
    checkStarts(fleet, small);
}
