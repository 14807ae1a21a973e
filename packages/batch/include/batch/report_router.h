#pragma once

#include "base/clock.h"
#include "base/timer_service.h"
#include "batch/controller.h"
#include "batch/held_answers.h"
#include "batch/order_feed.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace persimmon::batch {

struct router_options
{
    std::string address; // address of this node for workers
    std::string zone {}; // availability zone of this node
    std::size_t maxDirectWorkers = 400; // a leader with more workers refers them to the other nodes
    milliseconds batchDelay {10}; // time for which reports are collected into a batch
    std::size_t batchSize = 64; // reports in a full batch, which is sent at once
};

// Routes reports of workers to the leader and returns its orders. Every node accepts reports; nodes
// other than the leader forward them in batches, so that the leader of a large fleet doesn't need a
// connection to each worker. Answers to workers that need no orders are held by the node that took
// the report, so that the next orders need not wait for the next report. Not thread-safe: all calls
// must come from one thread.
class report_router
{
public:
    using completion = std::function<void(result<routed_orders>)>;
    using batch_completion = std::function<void(result<std::string>)>;

    // Sends an encoded batch to the current leader. A lost answer is reported as an error.
    using send_function = std::function<void(std::string batch, batch_completion done)>;

    // Returns the addresses of the other nodes that the leader is in contact with.
    using peers_function = std::function<std::vector<std::string>()>;

    report_router(router_options options, controller &workers, timer_service &timers,
                  send_function send, peers_function peers);
    ~report_router();
    report_router(const report_router &) = delete;
    report_router &operator=(const report_router &) = delete;

    // Handles a report on the leader. Fails like controller::heartbeat().
    void handleReport(time_point now, std::int64_t wallMs, const worker_report &report,
                      const completion &done);

    // Handles a batch forwarded by another node. Fails with NotLeader or MalformedRequest.
    void handleBatch(time_point now, std::int64_t wallMs, const std::string &batch,
                     const batch_completion &done);

    // Forwards a report to the leader. Fails with the error of the leader or of the transport.
    void forward(worker_report report, completion done);

    // Sets the function that receives the time from a report to its answer, unless it was held.
    void onAnswered(std::function<void(std::chrono::microseconds)> observer)
    {
        observeAnswer_ = std::move(observer);
    }

    // Sends all held answers. To be called when this node begins or ends its leadership.
    void handleLeadershipChange();

    // Sends all held answers and holds none from then on.
    void stopHolding();

    std::size_t heldCount() const { return held_.size(); }

private:
    struct pending_report
    {
        worker_report report;
        completion done;
        time_point received {};
    };

    // Where the answer to the newest report of a worker is held.
    struct holder
    {
        heartbeat_key heartbeat;
        std::string node;
    };

    std::string reportAddressFor(const std::string &worker, const std::string &zone) const;
    std::vector<std::string> nodesIn(const std::string &zone) const;
    std::string redirect(time_point now, const worker_report &report, const std::string &zone);
    void pruneWorkers();
    void flush();
    void deliver(const std::string &answer, std::vector<pending_report> &reports);
    void poll();
    void finishPoll(const result<std::string> &answer);
    void releaseFor(const std::string &worker, worker_orders orders);
    answer_mode modeFor(const std::string &forwarder) const;

    router_options options_;
    controller &workers_;
    timer_service &timers_;
    send_function send_;
    peers_function peers_;
    std::vector<pending_report> pending_;
    timer_service::subscription flushTimer_ {};
    std::function<void(std::chrono::microseconds)> observeAnswer_ = [](auto) {};
    held_answers held_;
    bool mayHold_ = true;

    // Used while this node leads.
    order_feed feed_;
    std::map<std::string, holder> holders_; // by worker, of answers held by other nodes
    std::map<std::string, std::string> zones_; // by address of a forwarding node
    std::map<std::string, time_point> redirected_; // by worker: last time it was sent to its zone

    // Used while this node forwards reports.
    bool pollInFlight_ = false;
    std::string polledLeader_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace persimmon::batch
