#include "leader_pair.h"

using namespace persimmon;
using namespace persimmon::batch;

// A task that lasts runs again within 3 s, counted from 6 s after its last run, whether others of
// its job run or not.
TEST_GROUP(StallLasting)
{
    static constexpr std::int64_t maxRestartMs = 9000;

    const task_id first {"lasting", 0, 0, 0};
    const task_id second {"lasting", 0, 0, 1};

    static step_spec lastingTasks(std::uint32_t count, std::int64_t accelerators)
    {
        auto step = leader_fixture::tasks(count, accelerators);
        step.longRunning = true;
        return step;
    }

    // Tasks that take whole workers and don't end.
    static step_spec busyTasks(std::uint32_t count)
    {
        auto step = leader_fixture::tasks(count, 8);
        step.need.cpu = 8000;
        step.estimateMs = 100'000'000;
        return step;
    }

    // Returns the time until a task runs, in milliseconds, at most a limit.
    static std::int64_t timeToRun(crash_fleet & fleet, const task_id &task)
    {
        std::int64_t ms = 0;
        for (; ms < 30'000 && !fleet.isRunning(task); ms += 50)
            fleet.run(50);
        return ms;
    }

    static void checkRuns(crash_fleet & fleet, const task_id &task, std::int64_t limitMs)
    {
        const auto ms = timeToRun(fleet, task);
        if (ms > limitMs)
            FAIL((task.job + " ran after " + std::to_string(ms) + " ms").c_str());
    }
};

// Guards against a task that lasts and waits apart from other suspects, after a new leader has
// given up its run late, because another task of its job runs.
TEST(StallLasting, lostTaskRunsInTimeBesideOthersOfItsJob)
{
    crash_fleet fleet({.workers = 8, .comesBack = crash_return::Never, .taskMs = 0});
    fleet.leader.configure(2);
    leader_pair leaders(fleet);
    job_spec spec;
    spec.steps = {lastingTasks(2, 8)};
    leaders.submit("/q2/earlier", spec, {});
    leaders.submit("/q2/lasting", spec, {});
    fleet.run(500);
    fleet.crashWorkerOf({"earlier", 0, 0, 0});
    fleet.crashWorkerOf(first);
    fleet.run(500);
    const std::int64_t gapMs = 1200;
    leaders.change({.gapMs = gapMs});
    CHECK_TRUE(fleet.isRunning(second));
    checkRuns(fleet, first, maxRestartMs - 500);
}

// Guards against tasks that last and wait for the end of a quarantine, which jobs that always fail
// put sound workers into again and again, because others of their job run.
TEST(StallLasting, quarantineDoesNotStallATaskThatLasts)
{
    crash_fleet fleet({.workers = 5, .taskMs = 0});
    fleet.leader.configure(2, 1);
    fleet.failUnder([](const task_id &task, int) { return task.job.starts_with("hopeless"); });
    fleet.leader.submit("/q2/lasting", lastingTasks(2, 7));
    fleet.run(300);
    fleet.leader.submit("/q2/busy", busyTasks(3));
    fleet.run(300);
    auto runWithHopelessJobs = [&fleet, jobs = 0](std::int64_t ms) mutable {
        auto hopeless = leader_fixture::tasks(1, 1);
        hopeless.estimateMs = 200;
        for (; ms > 0; ms -= 500) {
            fleet.leader.submit("/q2/hopeless" + std::to_string(++jobs), hopeless);
            fleet.run(500);
        }
    };
    runWithHopelessJobs(4000);
    fleet.failRunOf(first);
    runWithHopelessJobs(maxRestartMs);
    CHECK_TRUE(fleet.isRunning(first));
}
