#include "apps/data_folder.h"
#include "apps/disk_probe.h"
#include "apps/watched_storage.h"
#include "test-voter.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>

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
    CHECK_TRUE(valueOf(loadInitialVoters(folder + "/data", first)) == first);
    CHECK_TRUE(valueOf(loadInitialVoters(folder + "/data", {1, 2, 3, 4, 5})) == first);
}

// Guards against reading a different membership from a damaged file.
TEST(first_voters, damagedFileIsRefused)
{
    for (const auto *text : {"", "1\nx\n"}) {
        std::ofstream(folder + "/first-voters") << text;
        const auto voters = loadInitialVoters(folder, {1});
        CHECK_TRUE(failed(voters) && errorOf(voters).code == result_code::CorruptFile);
    }
}

TEST_GROUP(disk_probe)
{
    std::string folder;
    std::promise<void> restart;
    std::future<void> restarted = restart.get_future();

    void setup() override
    {
        auto pattern = (std::filesystem::temp_directory_path() / "probe-test-XXXXXX").string();
        folder = ::mkdtemp(pattern.data());
    }

    void teardown() override
    {
        std::filesystem::remove_all(folder);
    }

    bool restartsWithin(milliseconds time)
    {
        return restarted.wait_for(time) == std::future_status::ready;
    }
};

// Guards against restarting while the disk takes no writes, and against waiting when it does again.
TEST(disk_probe, restartsOnceTheFolderTakesWrites)
{
    std::filesystem::remove_all(folder);
    const apps::disk_probe probe(folder, milliseconds {60'000}, [this] { restart.set_value(); });
    CHECK_FALSE(restartsWithin(milliseconds {500}));
    std::filesystem::create_directory(folder);
    CHECK_TRUE(restartsWithin(milliseconds {2000}));
}

// Guards against restarts in quick succession after a failure of another kind.
TEST(disk_probe, waitsWhereTheFolderTakesWrites)
{
    const apps::disk_probe probe(folder, milliseconds {600}, [this] { restart.set_value(); });
    CHECK_FALSE(restartsWithin(milliseconds {300}));
    CHECK_TRUE(restartsWithin(milliseconds {2000}));
    CHECK_TRUE(std::filesystem::is_empty(folder));
}

// Guards against a shutdown that waits for the disk.
TEST(disk_probe, endsAtOnce)
{
    {
        const apps::disk_probe probe(folder, milliseconds {60'000},
                                     [this] { restart.set_value(); });
    }
    CHECK_FALSE(restartsWithin(milliseconds {0}));
}
