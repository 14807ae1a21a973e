#pragma once

#include "base/result.h"
#include "base/timer_service.h"
#include "batch/worker.h"

#include <functional>
#include <map>
#include <string>

namespace persimmon::batch {

// Identifies a heartbeat of a worker.
struct heartbeat_key
{
    std::string worker;
    std::int64_t incarnation = 0;
    std::uint64_t sequence = 0;

    friend bool operator==(const heartbeat_key &, const heartbeat_key &) = default;
};

// Answers to heartbeats that this node holds back until orders arrive or their time is over. Every
// answer is sent exactly once. Not thread-safe.
class held_answers
{
public:
    using completion = std::function<void(result<routed_orders>)>;

    explicit held_answers(timer_service &timers)
        : timers_(timers)
    {
    }
    ~held_answers();
    held_answers(const held_answers &) = delete;
    held_answers &operator=(const held_answers &) = delete;

    // Holds an answer for at most a time. Sends it at once if too many are held. An answer to an
    // earlier heartbeat of the worker is sent first.
    void hold(heartbeat_key heartbeat, routed_orders answer, milliseconds limit, completion done);

    // Replaces the orders of a held answer and sends it. Returns false if the answer to this
    // heartbeat isn't held.
    bool release(const heartbeat_key &heartbeat, worker_orders orders);

    // Does the same for the newest heartbeat of a worker.
    bool releaseNewest(const std::string &worker, worker_orders orders);

    // Sends all held answers. The workers are told to send their next heartbeats spread over a
    // time, so that they don't arrive at once.
    void releaseAll(milliseconds spread);

    std::size_t size() const { return held_.size(); }

private:
    struct held_answer
    {
        heartbeat_key heartbeat;
        routed_orders answer;
        completion done;
        timer_service::subscription expiry {};
    };

    // Removes the answer to a worker from the held ones and sends it.
    void send(const std::string &worker);

    timer_service &timers_;
    std::map<std::string, held_answer> held_; // by worker
};

} // namespace persimmon::batch
