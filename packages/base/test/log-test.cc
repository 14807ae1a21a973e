#include "base/log.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace persimmon;

TEST_GROUP(log) {};

// Guards against a process that ends because two threads use a new prefix at the same time.
TEST(log, takesANewPrefixFromManyThreads)
{
    for (int round = 0; round < 200; ++round) {
        std::atomic<bool> go = false;
        std::atomic<int> failures = 0;
        std::vector<std::thread> threads;
        threads.reserve(4);
        for (int i = 0; i < 4; ++i) {
            threads.emplace_back([&] {
                while (!go) { }
                try {
                    logFor("part-" + std::to_string(round))->debug("line");
                } catch (const std::exception &) {
                    ++failures;
                }
            });
        }
        go = true;
        for (auto &thread : threads)
            thread.join();
        LONGS_EQUAL(0, failures);
    }
}
