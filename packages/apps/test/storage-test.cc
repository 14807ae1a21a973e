#include "apps/watched_storage.h"
#include "test-voter.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::apps;

TEST_GROUP(watched_storage) {};

// Guards against a voter that stays up unnoticed after its disk has failed.
TEST(watched_storage, reportsAFailedSyncAfterItsCompletion)
{
    auto files = std::make_unique<test_storage>();
    auto &inner = *files;
    std::vector<std::string> order;
    watched_storage watched(std::move(files),
                            [&order](const error &reason) { order.push_back(reason.detail); });
    watched.sync([&order](const status &) { order.push_back("good"); });
    inner.pump();
    inner.outcome = error {result_code::StorageFailed, "no space", {}, {}};
    watched.sync([&order](const status &) { order.push_back("bad"); });
    inner.pump();
    CHECK_TRUE(order == (std::vector<std::string> {"good", "bad", "no space"}));
}
