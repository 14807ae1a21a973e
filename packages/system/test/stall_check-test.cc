#include "stall_check.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::system_test;

TEST_GROUP(StallCheck)
{
    platform::standin_fleet fleet {2}; // of four cores each
    stall_check check {fleet};

    void accept(const platform::standin_job &job)
    {
        fleet.jobs["a"] = job;
        check.accept("a", 0);
    }

    void runUntil(std::int64_t fromMs, std::int64_t toMs)
    {
        for (auto ms = fromMs; ms < toMs; ms += 100)
            check.update(ms);
    }

    void startOn(int worker, const std::string &task, std::int64_t cpu)
    {
        platform::standin_run run;
        run.task = task;
        run.cpu = cpu;
        fleet.workers.at(static_cast<std::size_t>(worker)).running[task] = run;
    }
};

// Guards against a check that misses a job of which nothing runs, or reports it too early.
TEST(StallCheck, jobBesideRoomIsReportedAfterThreeCalmSeconds)
{
    accept({1000, 1000, 1});
    runUntil(4000, 7000);
    CHECK_TRUE(check.violations().empty());
    runUntil(7000, 7200);
    CHECK_EQUAL(1, check.violations().size());
}

// Guards against reports of jobs that wait for room, or of which something runs.
TEST(StallCheck, jobWithoutRoomTwiceOverOrWithARunIsNotReported)
{
    accept({3000, 1000, 2, true}); // a gang of two fits once
    runUntil(0, 20000);
    fleet.jobs["a"].gang = false;
    startOn(0, "a.0.0.0", 3000);
    runUntil(20000, 40000);
    CHECK_TRUE(check.violations().empty());
}

// Guards against reports of what a fault has caused, up to the end of the calm after it.
TEST(StallCheck, jobIsNotReportedShortlyAfterAFault)
{
    accept({1000, 1000, 1});
    check.disturb(10000);
    runUntil(4100, 17000);
    CHECK_TRUE(check.violations().empty());
    runUntil(17000, 17200);
    CHECK_EQUAL(1, check.violations().size());
}

// Guards against a job that has ended and is never shown so, and against states without a cause.
TEST(StallCheck, endThatIsNotShownAndFalseStatesAreReported)
{
    accept({1000, 1000, 1});
    check.show("a", "failed", 0);
    CHECK_EQUAL(1, check.violations().size());
    fleet.jobs["b"] = {1000, 1000, 1};
    check.accept("b", 0);
    fleet.doneRuns["b.0.0.0"] = 1;
    runUntil(4000, 10200);
    CHECK_EQUAL(2, check.violations().size());
}

// Guards against a cancelled job that runs on.
TEST(StallCheck, runAfterAConfirmedCancelIsReported)
{
    accept({1000, 1000, 1});
    startOn(0, "a.0.0.0", 1000);
    check.cancel("a");
    check.confirmCancel("a", 4000);
    runUntil(4000, 8900);
    CHECK_TRUE(check.violations().empty());
    runUntil(8900, 9100);
    CHECK_EQUAL(1, check.violations().size());
}
