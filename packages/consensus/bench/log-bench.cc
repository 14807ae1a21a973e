// Benchmark of the replicated log on real files: log-bench [FOLDER] [SECONDS]
// Each node runs on its own thread and exchanges messages through in-memory queues.

#include "base/log.h"
#include "consensus/node.h"
#include "consensus/storage.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include <fcntl.h>
#include <unistd.h>

using namespace persimmon;
using namespace persimmon::consensus;

namespace {

constexpr std::size_t commandBytes = 256;
constexpr int slicesPerMeasurement = 10;

time_point clockNow()
{
    return std::chrono::time_point_cast<std::chrono::microseconds>(
            std::chrono::steady_clock::now());
}

double toMilliseconds(std::chrono::nanoseconds duration)
{
    return static_cast<double>(duration.count()) / 1e6;
}

double quantile(std::vector<double> &values, double fraction)
{
    if (values.empty())
        return 0;
    const auto at = static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

class counting_machine : public state_machine
{
public:
    byte_buffer apply(log_index, byte_view) override
    {
        ++count_;
        return {};
    }

    byte_buffer snapshot() const override { return byte_buffer(1024); }
    status restore(byte_view) override { return {}; }

private:
    std::uint64_t count_ = 0;
};

class bench_group;

// A node and its thread.
class bench_node : public transport
{
public:
    bench_node(bench_group &group, voter_id id, std::size_t size, const std::string &folder)
        : group_(group)
    {
        options_.self = id;
        options_.seed = static_cast<std::uint64_t>(clockNow().time_since_epoch().count()) + id;
        for (voter_id voter = 1; voter <= size; ++voter)
            options_.voters.push_back(voter);
        const auto path = folder + "/node-" + std::to_string(id);
        auto files = openFileStorage(path, [this](auto function) { post(std::move(function)); });
        if (failed(files))
            fail(errorOf(files));
        files_ = std::move(valueOf(files));
        auto opened = node::open(options_, *files_, *this, machine_, clockNow());
        if (failed(opened))
            fail(errorOf(opened));
        node_ = std::move(valueOf(opened));
        thread_ = std::thread([this] { run(); });
    }

    ~bench_node() override
    {
        {
            const std::lock_guard guard(mutex_);
            stopping_ = true;
        }
        wake_.notify_one();
        thread_.join();
        files_.reset();
    }

    void post(std::function<void()> function)
    {
        {
            const std::lock_guard guard(mutex_);
            queue_.push_back(std::move(function));
        }
        wake_.notify_one();
    }

    void send(voter_id to, byte_view message) override;
    void receive(byte_buffer message)
    {
        post([this, message = std::move(message)] { node_->receive(clockNow(), message); });
    }

    bool isLeader() const { return isLeader_; }
    node &replica() { return *node_; }

private:
    [[noreturn]] static void fail(const error &failure)
    {
        std::fprintf(stderr, "log-bench: %s\n", failure.detail.c_str());
        std::exit(1);
    }

    void run()
    {
        auto nextTick = clockNow();
        while (true) {
            std::deque<std::function<void()>> batch;
            {
                std::unique_lock guard(mutex_);
                wake_.wait_until(guard, nextTick, [this] { return stopping_ || !queue_.empty(); });
                if (stopping_)
                    return;
                batch.swap(queue_);
            }
            for (auto &function : batch)
                function();
            if (clockNow() >= nextTick) {
                node_->tick(clockNow());
                nextTick = clockNow() + milliseconds(10);
            }
            isLeader_ = node_->canServeReads(clockNow());
        }
    }

    bench_group &group_;
    node_options options_;
    counting_machine machine_;
    std::unique_ptr<storage> files_;
    std::unique_ptr<node> node_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<std::function<void()>> queue_;
    bool stopping_ = false;
    std::atomic<bool> isLeader_ = false;
    std::thread thread_;
};

class bench_group
{
public:
    bench_group(std::size_t size, std::string folder)
        : size_(size)
        , folder_(std::move(folder))
    {
        for (voter_id id = 1; id <= size; ++id)
            start(id);
    }

    ~bench_group()
    {
        for (voter_id id = 1; id <= size_; ++id)
            stop(id);
    }

    void start(voter_id id)
    {
        auto replica = std::make_unique<bench_node>(*this, id, size_, folder_);
        const std::lock_guard guard(mutex_);
        nodes_[id] = std::move(replica);
    }

    void stop(voter_id id)
    {
        std::unique_ptr<bench_node> old;
        {
            const std::lock_guard guard(mutex_);
            old = std::move(nodes_[id]);
        }
    }

    void deliver(voter_id to, byte_view message)
    {
        const std::lock_guard guard(mutex_);
        if (nodes_[to])
            nodes_[to]->receive({message.begin(), message.end()});
    }

    bench_node &at(voter_id id) { return *nodes_.at(id); }

    // Returns 0 if there is no leader within 10 s.
    voter_id awaitLeader()
    {
        for (const auto end = clockNow() + std::chrono::seconds(10); clockNow() < end;) {
            for (const auto &[id, node] : nodes_) {
                if (node && node->isLeader())
                    return id;
            }
            std::this_thread::sleep_for(std::chrono::microseconds(200));
        }
        return 0;
    }

private:
    std::size_t size_;
    std::string folder_;
    std::mutex mutex_;
    std::map<voter_id, std::unique_ptr<bench_node>> nodes_;
};

void bench_node::send(voter_id to, byte_view message)
{
    group_.deliver(to, message);
}

// Closed-loop clients with one command in flight each. The constructor waits until all clients have
// finished; all other work runs on the leader's thread.
class load_generator
{
public:
    load_generator(bench_node &leader, int clients, std::chrono::milliseconds duration)
        : leader_(leader)
        , end_(clockNow() + duration)
        , running_(clients)
    {
        for (int i = 0; i < clients; ++i)
            leader_.post([this] { next(); });
        std::unique_lock guard(mutex_);
        wake_.wait(guard, [this] { return running_ == 0; });
    }

    std::vector<double> latencies; // commit latencies in ms
    std::size_t failures = 0;

private:
    void next()
    {
        const auto begin = clockNow();
        if (begin >= end_) {
            const std::lock_guard guard(mutex_);
            --running_;
            wake_.notify_one();
            return;
        }
        leader_.replica().propose(begin, byte_buffer(commandBytes),
                                  [this, begin](const auto &outcome) {
                                      if (failed(outcome))
                                          ++failures;
                                      else
                                          latencies.push_back(toMilliseconds(clockNow() - begin));
                                      leader_.post([this] { next(); });
                                  });
    }

    bench_node &leader_;
    time_point end_;
    std::mutex mutex_;
    std::condition_variable wake_;
    int running_;
};

// Measures appends of about the size of a log record, each followed by a sync.
void measureRawSync(const std::string &folder, std::chrono::milliseconds duration,
                    std::vector<double> &latencies)
{
    const auto path = folder + "/plain";
    const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    const byte_buffer record(commandBytes + 45);
    for (const auto end = clockNow() + duration; clockNow() < end;) {
        const auto begin = clockNow();
        if (::write(file, record.data(), record.size()) < 0 || ::fdatasync(file) != 0)
            break;
        latencies.push_back(toMilliseconds(clockNow() - begin));
    }
    ::close(file);
}

void measureCommits(std::size_t size, const std::string &folder, std::chrono::milliseconds duration)
{
    bench_group group(size, folder);
    double singleClientRate = 0;
    for (const int clients : {1, 64}) {
        std::vector<double> syncTimes;
        std::vector<double> latencies;
        std::size_t failures = 0;
        // Syncs and commits are measured alternately because the speed of a shared disk varies
        // within seconds.
        for (int slice = 0; slice < slicesPerMeasurement; ++slice) {
            measureRawSync(folder, duration / (2 * slicesPerMeasurement), syncTimes);
            const auto leader = group.awaitLeader();
            if (leader == 0) {
                std::printf("%5zu  no leader within 10 s\n", size);
                return;
            }
            const load_generator run(group.at(leader), clients, duration / slicesPerMeasurement);
            latencies.insert(latencies.end(), run.latencies.begin(), run.latencies.end());
            failures += run.failures;
        }
        const auto syncP50 = quantile(syncTimes, 0.5);
        const auto rate = static_cast<double>(latencies.size()) * 1000 / toMilliseconds(duration);
        singleClientRate = clients == 1 ? rate : singleClientRate;
        const auto p50 = quantile(latencies, 0.5);
        std::printf("%5zu %8d %11.0f %9.2f %9.2f %11.2f %10.2f %11.1f %9zu\n", size, clients, rate,
                    p50, quantile(latencies, 0.99), syncP50, p50 / syncP50, rate / singleClientRate,
                    failures);
    }
}

void measureElections(std::size_t size, const std::string &folder, int rounds)
{
    bench_group group(size, folder);
    std::vector<double> latencies;
    for (int i = 0; i < rounds; ++i) {
        const auto old = group.awaitLeader();
        if (old == 0)
            break;
        load_generator warmUp(group.at(old), 4, milliseconds(200));
        const auto begin = clockNow();
        group.stop(old);
        group.awaitLeader();
        latencies.push_back(toMilliseconds(clockNow() - begin));
        group.start(old);
    }
    const auto count = latencies.size();
    const auto longest = latencies.empty() ? 0 : *std::ranges::max_element(latencies);
    std::printf("%5zu %8zu %9.0f %9.0f\n", size, count, quantile(latencies, 0.5), longest);
}

} // namespace

int main(int argc, char **argv)
{
    setLogLevel("off");
    const std::string folder = argc > 1 ? argv[1] : "/tmp/persimmon-log-bench";
    const auto duration = milliseconds(1000 * (argc > 2 ? std::max(1, std::atoi(argv[2])) : 5));
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    std::printf("nodes  clients   commits/s    p50 ms    p99 ms  fsync p50  p50/fsync  vs 1 client"
                "  failures\n");
    for (const std::size_t size : {3U, 5U})
        measureCommits(size, folder + "/commits-" + std::to_string(size), duration);
    std::printf("\nnodes   rounds  p50 ms  longest ms without a leader after the leader stopped\n");
    for (const std::size_t size : {3U, 5U})
        measureElections(size, folder + "/elections-" + std::to_string(size), 10);
    std::filesystem::remove_all(folder);
    return 0;
}
