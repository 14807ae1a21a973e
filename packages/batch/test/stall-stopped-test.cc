#include "crash_fleet.h"

using namespace persimmon;
using namespace persimmon::batch;

// Work that was stopped waits no longer than work that never ran.
TEST_GROUP(StallStopped) {// Tasks that take whole workers and don't end.
                          static step_spec busyTasks(std::uint32_t count) {
                                  auto step = leader_fixture::tasks(count, 8);
step.need.cpu = 8000;
step.estimateMs = 100'000'000;
return step;
}
}
;

// Guards against a job that waits for the time allowed after a loss, although its runs were only
// stopped for urgent work.
TEST(StallStopped, preemptedJobIsNotTakenForALostOne)
{
    crash_fleet fleet({.workers = 4, .taskMs = 0});
    fleet.leader.configure(0);
    fleet.leader.submit("/q2/busy", busyTasks(3));
    fleet.run(300);
    auto small = leader_fixture::tasks(1, 1);
    small.estimateMs = 60'000;
    fleet.leader.submit("/q2/small", small);
    fleet.run(300);
    fleet.leader.submit("/q0/urgent", leader_fixture::pressingTasks(1, 8));
    fleet.run(1000);
    CHECK_EQUAL(1, fleet.startsOf({"urgent", 0, 0, 0}));
    CHECK_FALSE(fleet.isRunning({"small", 0, 0, 0}));
    fleet.run(2000);
    CHECK_TRUE(fleet.isRunning({"small", 0, 0, 0}));
}
