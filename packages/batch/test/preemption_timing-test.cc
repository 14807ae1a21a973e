#include "preemption_timing.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon::batch::detail;

TEST_GROUP(PreemptionTiming)
{
    static constexpr std::int64_t due = 100000;

    // Returns for how long a unit waits before other work is stopped for it.
    static std::int64_t patience(std::int64_t slack, std::int64_t lateSlack,
                                 bool guaranteed = false)
    {
        return preemptFromMs({due, due + slack, due + lateSlack, guaranteed}) - due;
    }
};

// Guards against throwing work away for a unit that still has time: in a busy fleet room becomes
// free all the time.
TEST(PreemptionTiming, waitsForHalfOfTheSlack)
{
    CHECK_EQUAL(375, patience(2250, 11750));
}

// Guards against a unit that waits until stopping other work can't help any more.
TEST(PreemptionTiming, leavesTimeToStopOtherWork)
{
    for (std::int64_t slack = 1500; slack < 20000; slack += 100)
        CHECK_TRUE(patience(slack, 3 * slack) + 1500 <= slack);
    CHECK_EQUAL(1500, patience(20000, 60000));
}

// Guards against stopping long work for a short unit that will be late all the same.
TEST(PreemptionTiming, countsOnTheLateLimitIfTheObjectiveIsLost)
{
    CHECK_EQUAL(1200, patience(1100, 3900));
    CHECK_EQUAL(0, patience(-5000, -1000));
}

// Guards against reserved accelerators that come back too late.
TEST(PreemptionTiming, guaranteedUnitsWaitBriefly)
{
    CHECK_EQUAL(500, patience(20000, 60000, true));
}
