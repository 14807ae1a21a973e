#pragma once

#include "base/timer_service.h"
#include "batch/held_answers.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace persimmon::batch {

// Orders for a worker whose answer is held by another node.
struct released_answer
{
    heartbeat_key heartbeat;
    worker_orders orders;
};

// Sends orders from the leader to the nodes that hold answers. Each of these nodes keeps one poll
// outstanding, which is answered as soon as there are orders for it. Not thread-safe.
class order_feed
{
public:
    // Receives the orders, which may be none, or NotLeader.
    using poll_completion = std::function<void(result<std::vector<released_answer>>)>;

    explicit order_feed(timer_service &timers)
        : timers_(timers)
    {
    }
    ~order_feed();
    order_feed(const order_feed &) = delete;
    order_feed &operator=(const order_feed &) = delete;

    // Waits for orders for a node. An earlier poll of the node is answered without orders.
    void poll(const std::string &node, poll_completion done);

    // Returns whether a poll of the node is outstanding or was answered a moment ago.
    bool isPolling(const std::string &node) const;

    // Sends orders to a node. Orders that become ready at the same time share an answer.
    void push(const std::string &node, released_answer orders);

    // Fails all polls with NotLeader and drops all orders.
    void reset();

private:
    struct session
    {
        poll_completion waiting; // empty: no poll is outstanding
        time_point answeredAt {};
        timer_service::subscription timer {};
        std::vector<released_answer> ready;
    };

    void answer(session &to, result<std::vector<released_answer>> orders);
    void flush(const std::string &node);
    void removeAbandoned();

    timer_service &timers_;
    std::map<std::string, session> sessions_; // by node
};

} // namespace persimmon::batch
