#include "driver.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::placement;
using namespace persimmon::placement::test;

namespace {

std::set<std::string> racksOf(const place_job &placed)
{
    std::set<std::string> racks;
    for (const auto &worker : placed.workers) {
        racks.insert(worker.substr(0, worker.find('-')));
    }
    return racks;
}

} // namespace

TEST_GROUP(gangs) {};

// Guards against gangs that are spread although one rack can hold them, with each strategy.
TEST(gangs, stayInOneRackWhenItHoldsThem)
{
    for (const auto *name : {"first_fit", "best_fit", "buddy", "fifo_first_fit"}) {
        driver run({.strategy = name});
        run.addRacks(3);
        run.submit(1, 3, 8);
        run.submit(2, 8, 8);
        CHECK_EQUAL(1, racksOf(run.running[1]).size());
        CHECK_EQUAL(1, racksOf(run.running[2]).size());
        LONGS_EQUAL(8,
                    std::set(run.running[2].workers.begin(), run.running[2].workers.end()).size());
    }
}

// Guards against gangs that span regions, whose links are slow and billed.
TEST(gangs, neverCrossRegions)
{
    driver run;
    run.addRacks(2, 8, "a", "r");
    run.addRacks(2, 8, "a", "s");
    run.submit(1, 24, 8);
    CHECK_TRUE(run.get<end_job>().code == result_code::ShapeImpossible);
    run.submit(2, 16, 8);
    CHECK_EQUAL(2, racksOf(run.running[2]).size());
    run.submit(3, 8, 8);
    run.submit(4, 16, 8);
    CHECK_TRUE(run.get<job_waits>().reason == wait_reason::NoFreeBlock);
}

// Guards against small jobs on unused workers while partly used ones can hold them.
TEST(gangs, smallJobsFillPartlyUsedWorkers)
{
    driver run;
    run.addRacks(2);
    run.submit(1, 1, 4);
    run.submit(2, 8, 8);
    run.submit(3, 1, 2);
    run.submit(4, 1, 2);
    STRCMP_EQUAL(run.running[1].workers[0].c_str(), run.running[3].workers[0].c_str());
    STRCMP_EQUAL(run.running[1].workers[0].c_str(), run.running[4].workers[0].c_str());
}

// Guards against jobs that are rejected as impossible before any worker has joined, as after a
// change of leader.
TEST(gangs, impossibleShapesEndOnlyOnceWorkersAreKnown)
{
    driver run;
    run.submit(1, 1, 16);
    CHECK_TRUE(run.get<job_waits>().reason == wait_reason::NoWorkers);
    run.join("w1", {"r", "a", "1"});
    CHECK_TRUE(run.find<end_job>() == nullptr);
    run.wait(milliseconds(3000));
    CHECK_TRUE(run.get<end_job>().code == result_code::ShapeImpossible);
    run.submit(2, 1, 16);
    CHECK_TRUE(run.get<end_job>().code == result_code::ShapeImpossible);
}

// Guards against gangs that start although only some tasks fit.
TEST(gangs, waitUntilAllTasksFit)
{
    driver run;
    run.addRacks(1);
    run.submit(1, 1, 8);
    run.submit(2, 8, 8);
    CHECK_EQUAL(0, run.running.count(2));
    run.end(1);
    LONGS_EQUAL(8, run.running[2].workers.size());
}
