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

// Queues writes for one storage thread, which takes all queued operations at once and syncs them
// together. After the first failure nothing is written any more, because after a failed sync the
// kernel may have dropped the data.
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
            thread_ = std::thread([this] { work(); });
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

    void work()
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
        std::vector<sync_callback> waiting;
        for (auto &item : batch) {
            if (auto *done = std::get_if<sync_callback>(&item))
                waiting.push_back(std::move(*done));
            else if (!failed(state_))
                state_ = write(item);
        }
        if (!failed(state_))
            state_ = files_.flush();
        for (auto &done : waiting)
            post_([done = std::move(done), outcome = state_] { done(outcome); });
    }

    status write(const operation &item)
    {
        if (auto prepared = files_.prepare(); failed(prepared))
            return prepared;
        if (const auto *snapshot = std::get_if<snapshot_record>(&item))
            return files_.saveSnapshot(*snapshot);
        if (const auto *vote = std::get_if<vote_record>(&item))
            files_.addVote(*vote);
        if (const auto *entries = std::get_if<std::vector<log_entry>>(&item)) {
            for (const auto &entry : *entries)
                files_.addEntry(entry);
        }
        return {};
    }

    segment_log files_; // used by load(), then by the storage thread only
    post_function post_;
    status state_; // storage thread only
    std::mutex mutex_;
    std::condition_variable wake_;
    std::vector<operation> queue_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace

result<std::unique_ptr<storage>> openFileStorage(const std::string &folder, post_function post)
{
    auto made = std::make_unique<file_storage>(folder, std::move(post));
    if (auto locked = made->lock(); failed(locked))
        return errorOf(locked);
    return made;
}

} // namespace persimmon::consensus
