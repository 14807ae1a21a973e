#include "batch/order_permits.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::batch;

TEST_GROUP(OrderPermits)
{
    order_permits permits;

    bool isRefused(const order_permit &permit, const std::string &zone, std::uint64_t term = 1)
    {
        const auto checked = permits.check(permit, term, zone);
        CHECK_TRUE(!failed(checked) || errorOf(checked).code == result_code::VersionConflict);
        return failed(checked);
    }
};

// Guards against an order that is obeyed although a newer one was taken while it was on its way,
// and against one that is refused for an order about another zone.
TEST(OrderPermits, endWithTheNextOrderAboutTheSameZone)
{
    const auto late = permits.issue(1);
    CHECK_FALSE(isRefused(late, "north"));
    permits.take(1, "north");
    CHECK_TRUE(isRefused(late, "north"));
    CHECK_FALSE(isRefused(late, "south"));
    CHECK_FALSE(isRefused(permits.issue(1), "north"));
}

// Guards against an order that was held up while the leader was replaced, also by one that leads
// again.
TEST(OrderPermits, endWithTheTerm)
{
    const auto late = permits.issue(1);
    permits.take(2, "north");
    CHECK_TRUE(isRefused(late, "north", 2));
    CHECK_TRUE(isRefused(late, "south", 2));
    CHECK_TRUE(isRefused(permits.issue(2), "south", 3));
}

// Guards against a record that grows with the names of zones, and against one that forgets a newer
// order.
TEST(OrderPermits, numberOfSubjectsIsBounded)
{
    const auto first = permits.issue(1);
    for (int i = 0; i < 3000; ++i)
        permits.take(1, "zone-" + std::to_string(i));
    CHECK_EQUAL(1000, permits.subjectCount());
    CHECK_TRUE(isRefused(first, "zone-0"));
    CHECK_FALSE(isRefused(permits.issue(1), "zone-0"));
}
