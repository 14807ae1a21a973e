#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::batch;

namespace {

constexpr milliseconds second {1000};
const work_times observed {time_point {10 * second}, time_point {14 * second}};

} // namespace

TEST_GROUP(DiscardedWork)
{
    step_spec spec;
    leader_fixture leader;
};

// Guards against a run that is spared although a stop costs nothing, because its worker saves it.
TEST(DiscardedWork, stopsOfCheckpointableRunsLoseNothing)
{
    spec.checkpointable = true;
    CHECK_TRUE(lostByStop(observed, spec, time_point {17 * second}).count() == 0);
    CHECK_TRUE(lostWithWorker(observed, spec, time_point {17 * second}) == 3 * second);
}

// Guards against work that is counted from a checkpoint that isn't one.
TEST(DiscardedWork, otherRunsLoseAllOfTheirWork)
{
    CHECK_TRUE(lostByStop(observed, spec, time_point {17 * second}) == 7 * second);
    CHECK_TRUE(lostWithWorker(observed, spec, time_point {17 * second}) == 7 * second);
    CHECK_TRUE(lostByStop(observed, spec, time_point {9 * second}).count() == 0);
}

// Guards against stops of which nobody can tell for whom, and at which price, they were made.
TEST(DiscardedWork, stopsNameTheirBeneficiary)
{
    std::vector<discarded_work> seen;
    leader.workers.onDiscardedWork([&seen](const discarded_work &work) { seen.push_back(work); });
    auto running = leader.startOnWorker(leader_fixture::tasks(1, 8));
    leader.configure(0);
    leader.submit("/q0/b", leader_fixture::pressingTasks(1, 8));
    leader.advance(2000);
    running.sequence += 100;
    leader.sendHeartbeat(running);
    leader.advance(100);
    CHECK_EQUAL(1, seen.size());
    CHECK_TRUE(seen[0].cause == discard_cause::Preempted);
    CHECK_TRUE(seen[0].beneficiaryPriority == 0U);
    DOUBLES_EQUAL(65 * 2.0, seen[0].coreSeconds, 8);
}
