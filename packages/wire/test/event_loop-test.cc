#include "wire/event_loop.h"

#include <stdexcept>

#include <CppUTest/TestHarness.h>

using namespace persimmon;

TEST_GROUP(event_loop)
{
    wire::event_loop loop;
};

// Guards against a process that stops serving because one request raised an unexpected error.
TEST(event_loop, failedWorkDoesNotStopOtherWork)
{
    int ran = 0;
    loop.post([] { throw std::runtime_error("broken"); });
    loop.post([&] { ++ran; });
    loop.timers().after(milliseconds {20}, [&](time_point) {
        loop.post([&] {
            ++ran;
            loop.stop();
        });
    });
    loop.run();
    LONGS_EQUAL(2, ran);
}

// Guards against a process without timers, which holds no lease and sends no heartbeat, because one
// subscriber raised an unexpected error.
TEST(event_loop, failedTimerDoesNotStopOtherTimers)
{
    int failures = 0;
    int ran = 0;
    loop.timers().every(milliseconds {5}, [&](time_point) {
        ++failures;
        throw std::out_of_range("broken");
    });
    loop.timers().every(milliseconds {5}, [&](time_point) {
        if (++ran == 3)
            loop.stop();
    });
    loop.run();
    LONGS_EQUAL(3, ran);
    CHECK_TRUE(failures >= 3);
}
