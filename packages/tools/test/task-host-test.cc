#include "tools/task_host.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::tools;

namespace {

constexpr milliseconds lease {100};

leased_order orderFor(task_action action, std::uint64_t token = 1)
{
    return {{"w", {job_id {1}, 1, 0, token}, action, {}, ""}, lease};
}

time_point at(int ms)
{
    return time_point {} + milliseconds {ms};
}

} // namespace

TEST_GROUP(task_host) {};

// Guards against a host that runs a task without having prepared it: system tests would then not
// detect a gang that was started before all its members were prepared.
TEST(task_host, refusesToRunWithoutPrepare)
{
    task_host host({});
    const std::vector orders {orderFor(task_action::Run)};
    host.applyOrders(at(0), orders);
    host.tick(at(1));
    LONGS_EQUAL(0, host.runningCount());
}

// Guards against a host that keeps a task running after its lease has expired.
TEST(task_host, stopsWhenTheLeaseExpires)
{
    task_host host({});
    host.applyOrders(at(0), std::vector {orderFor(task_action::Prepare)});
    host.tick(at(1));
    host.applyOrders(at(2), std::vector {orderFor(task_action::Run)});
    LONGS_EQUAL(1, host.runningCount());
    host.tick(at(101));
    LONGS_EQUAL(1, host.runningCount());
    host.tick(at(102));
    LONGS_EQUAL(0, host.runningCount());
}

// Guards against a host that executes an order which was issued before the newest one of the job.
TEST(task_host, ignoresOrdersWithAnOlderToken)
{
    task_host host({});
    host.applyOrders(at(0), std::vector {orderFor(task_action::Prepare, 5)});
    host.tick(at(1));
    host.applyOrders(
            at(2), std::vector {orderFor(task_action::Prepare, 5), orderFor(task_action::Run, 4)});
    LONGS_EQUAL(0, host.runningCount());
}
