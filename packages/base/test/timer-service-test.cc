#include "base/timer_service.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace persimmon;

TEST_GROUP(timer_service) {};

TEST(timer_service, callsSubscribersInOrderOfDueTime)
{
    manual_timer_service timers;
    std::vector<int> calls;
    timers.after(milliseconds {20}, [&](time_point) { calls.push_back(2); });
    timers.every(milliseconds {15}, [&](time_point) { calls.push_back(1); });
    timers.advance(milliseconds {30});
    CHECK_TRUE((calls == std::vector<int> {1, 2, 1}));
}

// Guards against a use after free when a subscriber cancels its own timer.
TEST(timer_service, letsASubscriberCancelItself)
{
    manual_timer_service timers;
    int calls = 0;
    timer_service::subscription own {};
    own = timers.every(milliseconds {1}, [&](time_point) {
        ++calls;
        timers.cancel(own);
    });
    timers.advance(milliseconds {10});
    LONGS_EQUAL(1, calls);
    CHECK_TRUE(timers.nextDue() == time_point::max());
}
