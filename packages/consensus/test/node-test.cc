#include "test-network.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::consensus;
using namespace persimmon::consensus::testing;

TEST_GROUP(node) {};

// Guards against: a group that elects nobody or loses commands over a restart.
TEST(node, groupsElectCommitAndRestart)
{
    for (const std::size_t size : {1U, 3U, 5U}) {
        cluster group(size, size);
        group.awaitLeader(milliseconds(2000));
        for (int i = 0; i < 100; ++i)
            group.commitOne();
        for (voter_id id = 1; id <= size; ++id)
            group.crash(id);
        for (voter_id id = 1; id <= size; ++id)
            group.start(id);
        group.settle();
        CHECK(group.judge.answered() >= 101);
    }
}
