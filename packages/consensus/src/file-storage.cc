#include "segments.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <variant>

namespace persimmon::consensus {

namespace {

using namespace detail;

using sync_callback = std::function<void(status)>;
using operation = std::variant<vote_record, std::vector<log_entry>, snapshot_record, sync_callback>;

// Queues writes for one storage thread, which processes all queued operations as a batch with one
// sync. After the first failure nothing more is written, because the kernel may drop unwritten data
// after a failed sync.
class file_storage : public storage
{
public:
    file_storage(const std::string &folder, post_function post)
        : files_(folder)
        , post_(std::move(post))
    {
    }

    ~file_storage() override
    {
        {
            const std::lock_guard guard(mutex_);
            stopping_ = true;
        }
        wake_.notify_one();
        if (thread_.joinable())
            thread_.join();
    }

    status lock() { return files_.lock(); }

    result<stored_state> load() override
    {
        auto state = files_.load();
        if (!failed(state) && !thread_.joinable())
            thread_ = std::thread([this] { runStorageThread(); });
        return state;
    }

    void saveVote(const vote_record &vote) override { enqueue(vote); }

    void append(std::span<const log_entry> entries) override
    {
        enqueue(std::vector(entries.begin(), entries.end()));
    }

    void saveSnapshot(const snapshot_record &snapshot) override { enqueue(snapshot); }

    void sync(sync_callback done) override { enqueue(std::move(done)); }

private:
    void enqueue(operation value)
    {
        {
            const std::lock_guard guard(mutex_);
            queue_.push_back(std::move(value));
        }
        wake_.notify_one();
    }

    void runStorageThread()
    {
        while (true) {
            std::vector<operation> batch;
            {
                std::unique_lock guard(mutex_);
                wake_.wait(guard, [this] { return stopping_ || !queue_.empty(); });
                if (queue_.empty())
                    return;
                batch.swap(queue_);
            }
            process(batch);
        }
    }

    void process(std::vector<operation> &batch)
    {
        std::vector<sync_callback> completions;
        for (auto &item : batch) {
            if (auto *done = std::get_if<sync_callback>(&item))
                completions.push_back(std::move(*done));
            else if (!failed(status_))
                status_ = write(item);
        }
        if (!failed(status_))
            status_ = files_.flush();
        for (auto &done : completions)
            post_([done = std::move(done), outcome = status_] { done(outcome); });
    }

    status write(const operation &item)
    {
        if (auto prepared = files_.ensureSegment(); failed(prepared))
            return prepared;
        if (const auto *snapshot = std::get_if<snapshot_record>(&item))
            return files_.saveSnapshot(*snapshot);
        if (const auto *vote = std::get_if<vote_record>(&item))
            files_.appendVote(*vote);
        if (const auto *entries = std::get_if<std::vector<log_entry>>(&item)) {
            for (const auto &entry : *entries)
                files_.appendEntry(entry);
        }
        return {};
    }

    segment_log files_; // after load(), used by the storage thread only
    post_function post_;
    status status_; // storage thread only
    std::mutex mutex_;
    std::condition_variable wake_;
    std::vector<operation> queue_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace

result<std::unique_ptr<storage>> openFileStorage(const std::string &folder, post_function post)
{
    auto opened = std::make_unique<file_storage>(folder, std::move(post));
    if (auto locked = opened->lock(); failed(locked))
        return errorOf(locked);
    return opened;
}

} // namespace persimmon::consensus
