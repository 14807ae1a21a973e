#include "cluster/retry_delay.h"

#include <map>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::cluster;

TEST_GROUP(RetryDelay) {};

// Guards against pauses that outlast the deadline of a call, and against retries without a pause.
TEST(RetryDelay, growsUpToALimit)
{
    for (std::uint32_t attempt = 0; attempt < 100; ++attempt) {
        for (const std::uint32_t random : {0U, 77U, 0xffffffffU}) {
            const auto delay = retryDelay(attempt, random).count();
            CHECK_TRUE(delay >= 30 && delay <= 240);
        }
    }
    CHECK_TRUE(retryDelay(5, 0) > retryDelay(1, 0));
}

// Guards against 145 gateways that lose their leader and all ask the next node at the same moment.
TEST(RetryDelay, spreadsTheNodesThatLoseTheSameLeader)
{
    std::mt19937 random(7);
    std::map<std::int64_t, int> inWindow; // attempts by 10 ms
    for (int node = 0; node < 145; ++node)
        ++inWindow[retryDelay(3, random()).count() / 10];
    for (const auto &[window, attempts] : inWindow)
        CHECK_TRUE(attempts < 145 / 4);
}
