#include "base/arrival_watch.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;

TEST_GROUP(ArrivalWatch)
{
    time_point now {std::chrono::seconds {100}};
    arrival_watch watch {now};

    void tick(int count, milliseconds period = milliseconds {20})
    {
        for (; count > 0; --count) {
            now += period;
            watch.tick(now);
        }
    }

    milliseconds age() const
    {
        return std::chrono::duration_cast<milliseconds>(now - watch.arrivedAfter());
    }
};

// Guards against a process that takes what it finds after a pause for new, in its first turn or in
// one of the next, while it may still read what arrived during the pause.
TEST(ArrivalWatch, inputMayBeAsOldAsThePauseForSomeTurns)
{
    tick(20);
    now += milliseconds {4000};
    CHECK_TRUE(age() >= milliseconds {4000});
    tick(4);
    CHECK_TRUE(age() >= milliseconds {4000});
    tick(1);
    CHECK_TRUE(age() < milliseconds {200});
}

// Guards against two pauses with a short time between them of which only the second one counts.
TEST(ArrivalWatch, pausesInARowCountTogether)
{
    tick(20);
    tick(1, milliseconds {700});
    tick(1);
    tick(1, milliseconds {700});
    CHECK_TRUE(age() >= milliseconds {1400});
}

// Guards against a process that distrusts all input although it reads it in time.
TEST(ArrivalWatch, inputIsNewWithoutAPause)
{
    CHECK_TRUE(age() == milliseconds {0});
    tick(100);
    CHECK_TRUE(age() <= milliseconds {100});
}
