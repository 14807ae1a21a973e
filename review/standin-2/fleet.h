#pragma once
// Stand-ins of the platform's workers, as PROTOCOL.md describes them, with `orders` = `heartbeat`.
// What a work item does is told by the `spec` of its job: "work=MS" works for MS milliseconds and
// ends as done, "lasts" works until it is stopped.

#include "net.h"
#include "record.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace standin {

struct worker_options
{
    std::string id;
    std::string address; // of the worker, not served
    std::string service = "pool";
    std::string zone = "z1";
    std::vector<std::string> labels {"a", "r1"};
    std::string machine;
    int cpu = 64000;
    int memory = 131072;
    int gpu = 8;
    std::int64_t stopMs = 200;
    std::int64_t maxHoldMs = 6000;
    std::int64_t startupMs = 300; // of work that lasts
};

// One run that a worker has started. Times are in milliseconds; `endedMs` is -1 while it runs.
struct run_record
{
    std::string task;
    std::int64_t run = 0;
    std::string worker;
    std::int64_t startedMs = 0;
    std::int64_t endedMs = -1;
    std::string how;
};

// All runs of all workers.
class run_book
{
public:
    explicit run_book(record &log)
        : log_(log)
    {
    }
    std::size_t start(const std::string &task, std::int64_t run, const std::string &worker);
    void end(std::size_t number, const std::string &how);
    std::vector<run_record> all() const;
    std::vector<run_record> ofJob(const std::string &job) const;

private:
    record &log_;
    mutable std::mutex mutex_;
    std::vector<run_record> runs_;
};

// The link between a worker and the nodes. Returns for how long bytes to a node are held up now; 0:
// not at all.
using delay_function = std::function<std::int64_t(const std::string &node)>;

class worker
{
public:
    worker(record &log, run_book &book, worker_options options, std::vector<std::string> nodes);
    worker(const worker &) = delete;
    worker &operator=(const worker &) = delete;
    ~worker();

    const std::string &id() const { return options_.id; }

    void setLink(delay_function delay);

    // Begins a new life under the same id.
    void start();

    // Crashes: says nothing any more, and all that runs ends.
    void crash();

    // Shuts down gracefully: drains, leaves and exits. Returns when it has exited.
    void leave(std::int64_t drainMs);

    bool isUp() const { return up_; }

private:
    struct running_item
    {
        std::string task;
        std::int64_t run = 0;
        std::int64_t startedMs = 0;
        std::int64_t workMs = -1; // -1: lasts
        std::int64_t stopAtMs = -1;
        std::size_t number = 0; // in the book
    };
    struct ended_item
    {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    void live();
    std::string report();
    void follow(const std::string &body, std::int64_t sentMs);
    void advance();
    void end(const std::string &task, const std::string &how);
    void endAll(const std::string &how);
    std::optional<answer> send(const std::string &node, const std::string &method,
                               const std::string &path, const std::string &body);
    std::string nextNode(const std::string &failed);

    record &log_;
    run_book &book_;
    worker_options options_;
    std::vector<std::string> nodes_;
    delay_function delay_ = [](const std::string &) { return 0; };
    std::thread thread_;
    std::atomic<int> late_ = 0; // calls that the link holds up
    std::atomic<bool> up_ = false;
    std::atomic<bool> quit_ = false;
    std::atomic<bool> draining_ = false;
    std::atomic<std::int64_t> leavesAtMs_ = 0;
    std::atomic<bool> drainAcked_ = false;
    std::mt19937 random_ {std::random_device {}()};

    // Of the current life; used by its thread only.
    int lives_ = 0;
    std::int64_t born_ = 0;
    std::int64_t bornSteady_ = 0;
    std::int64_t seq_ = 0;
    std::int64_t fence_ = 0;
    std::int64_t leaseUntilMs_ = 0;
    std::int64_t endedCount_ = 0;
    std::int64_t retryAtMs_ = 0;
    std::int64_t soonAtMs_ = -1;
    std::string node_; // of the next heartbeat
    std::map<std::string, running_item> running_;
    std::vector<ended_item> ended_;
    std::map<std::string, std::int64_t>
            closed_; // highest run that was stopped or has ended, by work item
};

} // namespace standin
