#include "batch/hold_policy.h"

#include <array>

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::batch;

TEST_GROUP(HoldPolicy)
{
    hold_limits limits;

    static run_forecast halfDone(std::int64_t workedMs)
    {
        return {0, 50, milliseconds {workedMs}, milliseconds {0}, milliseconds {100000}};
    }
};

// Guards against an idle worker whose answer isn't held: its next start would wait for a heartbeat.
TEST(HoldPolicy, holdsTheAnswerOfAnIdleWorker)
{
    CHECK_TRUE(holdFor({}, limits) == limits.longest);
}

// Guards against an end that is reported late because the answer was outstanding.
TEST(HoldPolicy, answersBeforeTheNextEnd)
{
    const std::array remaining {milliseconds {5000}, milliseconds {400}};
    CHECK_EQUAL(340, holdFor(remaining, limits).count());
    const std::array soon {milliseconds {100}};
    CHECK_EQUAL(0, holdFor(soon, limits).count());
    const std::array overdue {milliseconds {0}};
    CHECK_EQUAL(0, holdFor(overdue, limits).count());
}

// Guards against answers that arrive after the worker has given up waiting.
TEST(HoldPolicy, neverHoldsForLongerThanTheLimit)
{
    const std::array remaining {milliseconds {3'600'000}};
    CHECK_TRUE(holdFor(remaining, limits) == limits.longest);
    auto late = limits;
    late.longest = milliseconds {30}; // the heartbeat was in transit for long
    CHECK_EQUAL(0, holdFor(remaining, late).count());
}

// Guards against forecasts that ignore the observed speed of a run, which may be several times
// slower or faster than declared.
TEST(HoldPolicy, forecastsFromTheObservedSpeed)
{
    CHECK_EQUAL(2000, expectedRemaining(halfDone(2000)).count());
    auto quiet = halfDone(2000);
    quiet.sinceProgress = milliseconds {300};
    CHECK_EQUAL(1700, expectedRemaining(quiet).count());
    // Resumed from a checkpoint at 50 %.
    const run_forecast resumed {50, 75, milliseconds {1000}, milliseconds {0}, milliseconds {9000}};
    CHECK_EQUAL(1000, expectedRemaining(resumed).count());
}

// Guards against relying on a declared duration: it is rough, so only half of it counts.
TEST(HoldPolicy, trustsDeclaredDurationsByHalf)
{
    const run_forecast fresh {0, 0, milliseconds {0}, milliseconds {100}, milliseconds {2000}};
    CHECK_EQUAL(900, expectedRemaining(fresh).count());
    const run_forecast overdue {0, 0, milliseconds {0}, milliseconds {9000}, milliseconds {2000}};
    CHECK_EQUAL(0, expectedRemaining(overdue).count());
}
