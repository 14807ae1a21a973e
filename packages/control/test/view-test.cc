#include "view.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::control;

TEST_GROUP(view)
{
    view published;

    void setup() override
    {
        published.reset(1);
    }

    void set(int number, upstream_state state)
    {
        announcement value;
        value.id = "u" + std::to_string(number);
        value.state = state;
        published.setUpstream(value);
    }

    sync_response fill(std::uint64_t epoch, std::uint64_t sequence)
    {
        sync_response response;
        published.fill(response, epoch, sequence);
        return response;
    }
};

// Guards against an entry that keeps removed upstreams after it has missed hundreds of changes.
TEST(view, sendsFullViewToEntryThatIsTooFarBehind)
{
    published.markComplete();
    set(0, upstream_state::Serving);
    const auto start = published.sequence();
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
    CHECK_FALSE(published.hasChanges(1, published.sequence()));
    CHECK_TRUE(fill(2, published.sequence()).fullView);
}

// Guards against an entry that removes its upstreams while the view of a new leader is still empty.
TEST(view, keepsEarlierViewUntilComplete)
{
    set(1, upstream_state::Serving);
    CHECK_FALSE(fill(0, 7).fullView);
    const auto held = published.sequence();
    CHECK_FALSE(published.hasChanges(1, held));
    published.markComplete();
    CHECK_TRUE(published.hasChanges(1, held));
    CHECK_TRUE(fill(1, held).fullView);
}
