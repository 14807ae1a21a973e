#include "view.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::control;

TEST_GROUP(view)
{
    view shown;

    void setup() override
    {
        shown.reset(1);
    }

    void set(int number, upstream_state state)
    {
        announcement value;
        value.id = "u" + std::to_string(number);
        value.state = state;
        shown.setUpstream(value);
    }

    sync_response fill(std::uint64_t epoch, std::uint64_t sequence)
    {
        sync_response response;
        shown.fill(response, epoch, sequence);
        return response;
    }
};

// Guards against an entry that keeps removed upstreams after it missed hundreds of changes.
TEST(view, sendsTheWholeViewToAnEntryThatIsTooFarBehind)
{
    shown.complete();
    set(0, upstream_state::Serving);
    const auto start = shown.sequence();
    for (int i = 1; i <= 400; ++i) {
        set(i, upstream_state::Serving);
        set(i, upstream_state::Gone);
    }
    CHECK_FALSE(fill(1, start).fullView);
    LONGS_EQUAL(400, fill(1, start).upstreams.size());
    for (int i = 401; i <= 600; ++i) {
        set(i, upstream_state::Serving);
        set(i, upstream_state::Gone);
    }
    CHECK_TRUE(fill(1, start).fullView);
    LONGS_EQUAL(1, fill(1, start).upstreams.size());
    CHECK_FALSE(shown.hasNews(1, shown.sequence()));
    CHECK_TRUE(fill(2, shown.sequence()).fullView);
}

// Guards against an entry that drops its upstreams when a new leader knows none yet.
TEST(view, keepsAnEarlierViewUntilItIsWhole)
{
    set(1, upstream_state::Serving);
    CHECK_FALSE(fill(0, 7).fullView);
    const auto held = shown.sequence();
    CHECK_FALSE(shown.hasNews(1, held));
    shown.complete();
    CHECK_TRUE(shown.hasNews(1, held));
    CHECK_TRUE(fill(1, held).fullView);
}
