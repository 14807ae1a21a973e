#include "consensus/storage.h"
#include "test-network.h"

#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <optional>
#include <utility>

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <sys/resource.h>
#include <unistd.h>

using namespace persimmon;
using namespace persimmon::consensus;
using testing::toBuffer;

namespace {

// File storage in a temporary folder. Sync completions run on the storage thread.
class test_files
{
public:
    test_files()
        : path(std::filesystem::temp_directory_path()
               / ("persimmon-storage-test-" + std::to_string(::getpid())))
    {
        std::filesystem::remove_all(path);
    }

    ~test_files()
    {
        files.reset();
        std::filesystem::remove_all(path);
    }

    stored_state reopen()
    {
        files.reset();
        auto opened = openFileStorage(path, [](auto function) { function(); });
        files = std::move(valueOf(opened));
        return valueOf(files->load());
    }

    status sync()
    {
        std::mutex mutex;
        std::condition_variable syncDone;
        std::optional<status> outcome;
        files->sync([&](status done) {
            const std::lock_guard guard(mutex);
            outcome = std::move(done);
            syncDone.notify_one();
        });
        std::unique_lock guard(mutex);
        syncDone.wait(guard, [&] { return outcome.has_value(); });
        return *outcome;
    }

    void append(log_index first, log_index last, term_number term = 1)
    {
        std::vector<log_entry> entries;
        for (auto i = first; i <= last; ++i)
            entries.push_back({i, term, entry_kind::Command, toBuffer(i, 100)});
        files->append(entries);
    }

    // Writes a vote and ten entries, each with its own sync.
    void writeTenEntries()
    {
        reopen();
        files->saveVote({1, 2, 7, false});
        for (log_index i = 1; i <= 10; ++i) {
            append(i, i);
            CHECK_FALSE(failed(sync()));
        }
    }

    void flipByte(const std::string &name, std::int64_t fromEnd)
    {
        files.reset();
        std::fstream file(path / name, std::ios::in | std::ios::out | std::ios::binary);
        file.seekg(-fromEnd, std::ios::end);
        const auto position = file.tellg();
        const auto value = static_cast<char>(file.get() ^ 0x40);
        file.seekp(position);
        file.put(value);
    }

    std::filesystem::path path;
    std::unique_ptr<storage> files;
};

// Holds back the completions of syncs until a point in time, like a disk that hangs.
class hanging_storage : public storage
{
public:
    explicit hanging_storage(std::unique_ptr<storage> files)
        : files_(std::move(files))
    {
    }

    void hangUntil(time_point end) { end_ = end; }

    // Runs the completions that are no longer held back.
    void release(time_point now)
    {
        if (now < end_)
            return;
        for (const auto &completion : std::exchange(held_, {}))
            completion();
    }

    result<stored_state> load() override { return files_->load(); }
    void saveVote(const vote_record &vote) override { files_->saveVote(vote); }
    void append(std::span<const log_entry> entries) override { files_->append(entries); }
    void saveSnapshot(const snapshot_record &snapshot) override { files_->saveSnapshot(snapshot); }

    void sync(std::function<void(status)> done) override
    {
        files_->sync([this, done = std::move(done)](const status &outcome) {
            held_.push_back([done, outcome] { done(outcome); });
        });
    }

private:
    std::unique_ptr<storage> files_;
    time_point end_ {};
    std::vector<std::function<void()>> held_;
};

// Group of one node on file storage. The caller's thread owns the node.
class single_node : public transport
{
public:
    explicit single_node(const std::string &folder)
        : machine_(checker_)
    {
        node_options options;
        options.self = 1;
        options.voters = {1};
        options.snapshotEntries = 10;
        auto files = openFileStorage(folder, [this](auto function) {
            const std::lock_guard guard(mutex_);
            posted_.push_back(std::move(function));
        });
        files_ = std::make_unique<hanging_storage>(std::move(valueOf(files)));
        auto opened = node::open(options, *files_, *this, machine_, now());
        node_ = std::move(valueOf(opened));
    }

    void send(voter_id, byte_view) override { }

    void runUntil(const std::function<bool()> &condition)
    {
        for (int i = 0; i < 5000 && !condition(); ++i) {
            std::vector<std::function<void()>> batch;
            {
                const std::lock_guard guard(mutex_);
                batch.swap(posted_);
            }
            for (const auto &function : batch)
                function();
            files_->release(now());
            node_->tick(now());
            ::usleep(1000);
        }
        CHECK_TRUE(condition());
    }

    // Proposes a command and waits until it is applied. Its outcome is success, or NoQuorum if it
    // was not known before the deadline of the proposal; any other outcome would be a refusal.
    result_code commit(std::uint64_t command)
    {
        std::optional<result_code> outcome;
        runUntil([this] { return node_->canServeReads(now()); });
        const auto before = commands();
        node_->propose(now(), toBuffer(command), [&](const result<byte_buffer> &applied) {
            outcome = failed(applied) ? errorOf(applied).code : result_code::Ok;
        });
        runUntil([&] { return outcome && commands() > before; });
        CHECK_TRUE(outcome == result_code::Ok || outcome == result_code::NoQuorum);
        LONGS_EQUAL(before + 1, commands());
        return outcome.value_or(result_code::Internal);
    }

    // The disk completes no sync for this time.
    void hang(milliseconds duration) { files_->hangUntil(now() + duration); }

    std::size_t commands() const { return machine_.state.size(); }

private:
    static time_point now()
    {
        return std::chrono::time_point_cast<std::chrono::microseconds>(
                std::chrono::steady_clock::now());
    }

    testing::invariant_checker checker_;
    testing::recording_machine machine_;
    std::mutex mutex_;
    std::vector<std::function<void()>> posted_;
    std::unique_ptr<hanging_storage> files_;
    std::unique_ptr<node> node_;
};

} // namespace

TEST_GROUP(storage)
{
    test_files disk;
};

// Guards against: a new folder that is treated as one with a log, or the reverse.
TEST(storage, isFreshUntilFirstWrite)
{
    CHECK_TRUE(disk.reopen().uninitialized);
    CHECK_TRUE(disk.reopen().uninitialized);
    disk.files->saveVote({1, 2, 7, false});
    CHECK_FALSE(failed(disk.sync()));
    const auto state = disk.reopen();
    CHECK_FALSE(state.uninitialized);
    CHECK_TRUE(state.vote == (vote_record {1, 2, 7, false}));
}

// Guards against: lost or reordered records, and replaced entries that reappear.
TEST(storage, restoresVoteAndEntries)
{
    disk.writeTenEntries();
    disk.append(8, 9, 2);
    CHECK_FALSE(failed(disk.sync()));
    const auto state = disk.reopen();
    LONGS_EQUAL(9, state.entries.size());
    LONGS_EQUAL(1, state.entries[6].term);
    LONGS_EQUAL(2, state.entries[8].term);
    CHECK_TRUE(state.entries[8].payload == toBuffer(9, 100));
    CHECK_FALSE(state.damaged);
}

// Guards against: entries wrongly dropped or kept at a snapshot, and segments that are never
// removed.
TEST(storage, snapshotReplacesTheEntriesItCovers)
{
    disk.writeTenEntries();
    disk.files->saveSnapshot({6, 1, {1, 2, 3}, toBuffer(66)});
    disk.append(11, 12);
    CHECK_FALSE(failed(disk.sync()));
    auto state = disk.reopen();
    LONGS_EQUAL(6, state.snapshot.index);
    LONGS_EQUAL(3, state.snapshot.voters.size());
    LONGS_EQUAL(6, state.entries.size());
    LONGS_EQUAL(7, state.entries.front().index);
    disk.files->saveSnapshot({12, 1, {1, 2, 3}, toBuffer(77)});
    CHECK_FALSE(failed(disk.sync()));
    CHECK_FALSE(std::filesystem::exists(disk.path / "log-1"));
    CHECK_FALSE(std::filesystem::exists(disk.path / "log-2"));
    state = disk.reopen();
    CHECK_TRUE(state.entries.empty());
    CHECK_TRUE(state.vote == (vote_record {1, 2, 7, false}));
    // A snapshot from a leader with a conflicting log drops all entries.
    disk.append(13, 20, 1);
    disk.files->saveSnapshot({15, 3, {1, 2, 3}, toBuffer(88)});
    CHECK_FALSE(failed(disk.sync()));
    CHECK_TRUE(disk.reopen().entries.empty());
}

// Guards against: a node that fails to start, or loses synced entries, after a power failure.
TEST(storage, truncatesATornTail)
{
    disk.writeTenEntries();
    disk.files.reset();
    std::ofstream(disk.path / "log-1", std::ios::app | std::ios::binary) << "1RLPtorn record";
    auto state = disk.reopen();
    CHECK_FALSE(state.damaged);
    LONGS_EQUAL(10, state.entries.size());
    disk.append(11, 11);
    CHECK_FALSE(failed(disk.sync()));
    LONGS_EQUAL(11, disk.reopen().entries.size());
}

// Guards against: synced entries that are silently dropped as a torn tail.
TEST(storage, reportsDamageInTheMiddleUntilReadmitted)
{
    disk.writeTenEntries();
    disk.flipByte("log-1", 500);
    std::filesystem::remove(disk.path / "synced"); // the hint is not durable
    auto state = disk.reopen();
    CHECK_TRUE(state.damaged);
    CHECK_TRUE(state.entries.empty());
    disk.files->saveVote({4, 0, 9, true});
    disk.append(1, 3);
    CHECK_FALSE(failed(disk.sync()));
    state = disk.reopen();
    CHECK_TRUE(state.damaged);
    LONGS_EQUAL(3, state.entries.size());
    disk.files->saveVote({4, 0, 9, false});
    CHECK_FALSE(failed(disk.sync()));
    CHECK_FALSE(disk.reopen().damaged);
}

// Guards against: damage in the last synced record that looks like a torn tail.
TEST(storage, reportsDamageInTheLastSyncedRecord)
{
    disk.writeTenEntries();
    disk.flipByte("log-1", 10);
    CHECK_TRUE(disk.reopen().damaged);
}

// Guards against: a missing file that is treated as a shorter or empty log.
TEST(storage, reportsMissingFiles)
{
    for (const std::string name : {"log-1", "log-2", "snapshot"}) {
        disk.writeTenEntries();
        disk.files->saveSnapshot({6, 1, {1}, toBuffer(66)});
        disk.append(11, 12);
        CHECK_FALSE(failed(disk.sync()));
        disk.files.reset();
        std::filesystem::remove(disk.path / name);
        std::filesystem::remove(disk.path / "synced");
        CHECK_TRUE(disk.reopen().damaged);
        disk.files.reset();
        std::filesystem::remove_all(disk.path);
    }
    disk.writeTenEntries();
    disk.files.reset();
    std::filesystem::remove(disk.path / "log-1");
    CHECK_TRUE(disk.reopen().damaged);
}

// Guards against: two processes that write to the same log.
TEST(storage, locksTheFolder)
{
    disk.reopen();
    const auto second = openFileStorage(disk.path, [](auto function) { function(); });
    CHECK_TRUE(failed(second));
    CHECK(errorOf(second).code == result_code::StorageFailed);
}

// Guards against: a full disk that is reported as a completed sync.
TEST(storage, reportsWriteErrors)
{
    disk.writeTenEntries();
    // A file size limit makes writes fail like a full disk.
    const auto previousHandler = std::signal(SIGXFSZ, SIG_IGN);
    rlimit previous {};
    getrlimit(RLIMIT_FSIZE, &previous);
    const rlimit limited {4096, previous.rlim_max};
    setrlimit(RLIMIT_FSIZE, &limited);
    disk.append(11, 200);
    const auto first = disk.sync();
    setrlimit(RLIMIT_FSIZE, &previous);
    std::signal(SIGXFSZ, previousHandler);
    CHECK_TRUE(failed(first));
    CHECK(errorOf(first).code == result_code::StorageFailed);
    // Writes after a failure are discarded, because the file may have a hole.
    disk.append(201, 201);
    CHECK_TRUE(failed(disk.sync()));
    const auto state = disk.reopen();
    CHECK_FALSE(state.damaged);
    CHECK(state.entries.size() >= 10 && state.entries.size() < 200);
}

// Guards against: a node state that differs from the stored files after snapshots and restarts.
TEST(storage, nodeRestartsFromItsFiles)
{
    for (std::uint64_t start = 0; start < 3; ++start) {
        single_node group(disk.path);
        for (std::uint64_t i = 0; i < 25; ++i)
            group.commit(start * 25 + i);
        LONGS_EQUAL((start + 1) * 25, group.commands());
    }
}

// Guards against: a command that is lost, or refused, because the disk was slow. Its proposer is
// told that the outcome is unknown, and the command is applied once the sync completes.
TEST(storage, slowSyncLosesNoCommand)
{
    constexpr milliseconds beyondProposalDeadline {2000};
    {
        single_node group(disk.path);
        CHECK_TRUE(group.commit(1) == result_code::Ok);
        group.hang(beyondProposalDeadline);
        CHECK_TRUE(group.commit(2) == result_code::NoQuorum);
        CHECK_TRUE(group.commit(3) == result_code::Ok);
    }
    single_node restarted(disk.path);
    restarted.commit(4);
    LONGS_EQUAL(4, restarted.commands());
}
