#include "apps/data_folder.h"
#include "apps/watched_storage.h"
#include "test-voter.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::apps;

TEST_GROUP(watched_storage) {};

// Guards against a disk failure that goes unreported while the voter keeps running.
TEST(watched_storage, reportsAFailedSyncAfterItsCompletion)
{
    auto files = std::make_unique<test_storage>();
    auto &inner = *files;
    std::vector<std::string> order;
    watched_storage watched(std::move(files),
                            [&order](const error &reason) { order.push_back(reason.detail); });
    watched.sync([&order](const status &) { order.push_back("good"); });
    inner.completeSyncs();
    inner.outcome = error {result_code::StorageFailed, "no space", {}, {}};
    watched.sync([&order](const status &) { order.push_back("bad"); });
    inner.completeSyncs();
    CHECK_TRUE(order == (std::vector<std::string> {"good", "bad", "no space"}));
}

TEST_GROUP(first_voters)
{
    void setup() override
    {
        auto pattern = (std::filesystem::temp_directory_path() / "apps-test-XXXXXX").string();
        folder = ::mkdtemp(pattern.data());
    }

    void teardown() override
    {
        std::filesystem::remove_all(folder);
    }

    std::string folder;
};

// Guards against a quorum that changes when voters are added to the settings: three voters that
// restart with a list of five would need a third vote.
TEST(first_voters, laterSettingsDoNotChangeInitialVoters)
{
    const std::vector<std::uint32_t> first {1, 2, 3};
    CHECK_TRUE(valueOf(firstVoters(folder + "/data", first)) == first);
    CHECK_TRUE(valueOf(firstVoters(folder + "/data", {1, 2, 3, 4, 5})) == first);
}

// Guards against reading a different membership from a damaged file.
TEST(first_voters, damagedFileIsRefused)
{
    for (const auto *text : {"", "1\nx\n"}) {
        std::ofstream(folder + "/first-voters") << text;
        const auto voters = firstVoters(folder, {1});
        CHECK_TRUE(failed(voters) && errorOf(voters).code == result_code::CorruptFile);
    }
}
