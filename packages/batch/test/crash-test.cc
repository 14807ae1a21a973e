#include "crash_fleet.h"

using namespace persimmon;
using namespace persimmon::batch;

// Tasks that crash the workers that start them, and innocent tasks that are lost with a worker.
TEST_GROUP(Crashes)
{
    // A task that has crashed three workers may be started twice more, so five times in all.
    static constexpr int maxStarts = 5;
    const task_id deadly {"deadly", 0, 0, 0};
};

// Guards against a task that crashes worker after worker because nothing counts the crashes under
// it.
TEST(Crashes, taskThatCrashesEachWorkerIsGivenUp)
{
    crash_fleet fleet({});
    fleet.leader.configure(1);
    fleet.crashUnder([&](const task_id &task) { return task == deadly; });
    fleet.leader.submit("/q1/deadly", leader_fixture::tasks(3, 8));
    fleet.run(60'000);
    CHECK_TRUE(fleet.startsOf(deadly) <= maxStarts);
    CHECK_TRUE(fleet.leader.stateOf("deadly") == job_state::Failed);
}
