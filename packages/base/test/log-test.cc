#include "base/log.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace persimmon;

TEST_GROUP(log) {};

// Guards against an exception that terminates the process when several threads create the same
// logger at the same time.
TEST(log, createsALoggerFromManyThreads)
{
    for (int round = 0; round < 200; ++round) {
        std::atomic<bool> started = false;
        std::atomic<int> failures = 0;
        std::vector<std::thread> threads;
        threads.reserve(4);
        for (int i = 0; i < 4; ++i) {
            threads.emplace_back([&] {
                while (!started) { }
                try {
                    logFor("part-" + std::to_string(round))->debug("line");
                } catch (const std::exception &) {
                    ++failures;
                }
            });
        }
        started = true;
        for (auto &thread : threads)
            thread.join();
        LONGS_EQUAL(0, failures);
    }
}
