#include "base/client_table.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;

namespace {

using ids = std::vector<client_id>;

constexpr time_point at(int ms)
{
    return time_point {milliseconds {ms}};
}

} // namespace

TEST_GROUP(client_table)
{
    client_table table {{3, 1000}};

    void addAll(std::size_t count)
    {
        for (client_id id = 1; id <= count; ++id)
            CHECK_TRUE(table.add(id, at(static_cast<int>(id))).empty());
    }

    void receive(client_id id, int ms, std::uint64_t bytes)
    {
        table.setPhase(id, client_phase::Receiving, at(ms));
        table.setHeldBytes(id, bytes);
    }
};

// Load: more connections than descriptors. Guards against a new caller that is turned away while
// others only wait.
TEST(client_table, newClientReplacesTheOneThatIsIdleForLongest)
{
    addAll(3);
    table.setPhase(1, client_phase::Receiving, at(4));
    CHECK_TRUE((table.add(4, at(5)) == ids {2}));
}

// Load: all connections send requests without an end.
TEST(client_table, newClientReplacesTheOldestRequestIfNoneIsIdle)
{
    addAll(3);
    for (const client_id id : {2, 1, 3})
        table.setPhase(id, client_phase::Receiving, at(10 - static_cast<int>(id)));
    CHECK_TRUE((table.add(4, at(20)) == ids {3}));
}

// Load: clients that don't read their responses.
TEST(client_table, newClientReplacesOneThatReadsNothingBeforeOneThatIsAnswered)
{
    addAll(3);
    for (const client_id id : {1, 2})
        table.setPhase(id, client_phase::Answering, at(4));
    table.setPhase(3, client_phase::Sending, at(5));
    CHECK_TRUE((table.add(4, at(6)) == ids {3}));
}

// Load: more complete requests than connections. Guards against cutting one that may have run.
TEST(client_table, clientsThatAreAnsweredAreNotClosedForNewOnes)
{
    addAll(3);
    for (const client_id id : {1, 2, 3})
        table.setPhase(id, client_phase::Answering, at(4));
    CHECK_TRUE((table.add(4, at(5)) == ids {4}));
}

// Load: large bodies that stop short of their end.
TEST(client_table, oldestLargeRequestsAreRefusedWhenMemoryRunsOut)
{
    addAll(3);
    receive(1, 4, 10);
    receive(2, 5, 600);
    table.setPhase(3, client_phase::Receiving, at(6));
    CHECK_TRUE((table.setHeldBytes(3, 500) == ids {2}));
}

// Load: one body beside many small requests. Guards against refusing the others for it.
TEST(client_table, requestAboveItsShareIsRefusedBeforeSmallOnes)
{
    addAll(3);
    receive(1, 4, 200);
    receive(2, 5, 200);
    table.setPhase(3, client_phase::Receiving, at(6));
    CHECK_TRUE((table.setHeldBytes(3, 700) == ids {3}));
}

// Load: responses that aren't read hold all memory.
TEST(client_table, responsesThatAreNotReadGiveWayToRequests)
{
    addAll(3);
    table.setPhase(1, client_phase::Sending, at(4));
    table.setHeldBytes(1, 500);
    table.setPhase(2, client_phase::Sending, at(5));
    table.setHeldBytes(2, 490);
    table.setPhase(3, client_phase::Receiving, at(6));
    CHECK_TRUE((table.setHeldBytes(3, 50) == ids {1}));
}

// Load: requests that are being handled hold all memory; the next one can't be taken.
TEST(client_table, requestIsRefusedOnceWhileCompleteOnesHoldAllMemory)
{
    addAll(3);
    for (const client_id id : {1, 2}) {
        table.setPhase(id, client_phase::Answering, at(4));
        table.setHeldBytes(id, 600);
    }
    table.setPhase(3, client_phase::Receiving, at(6));
    CHECK_TRUE((table.setHeldBytes(3, 400) == ids {3}));
    LONGS_EQUAL(1600, table.heldBytes());
    table.remove(1);
    table.remove(2);
    table.remove(3);
    LONGS_EQUAL(0, table.heldBytes());
    LONGS_EQUAL(0, table.size());
}
