#pragma once

#include "base/clock.h"
#include "base/timer_service.h"
#include "batch/controller.h"

#include <functional>
#include <string>
#include <vector>

namespace persimmon::batch {

struct router_options
{
    std::string address; // address of this node for workers
    std::size_t directWorkers = 400; // a leader with more workers refers them to the other nodes
    milliseconds batchDelay {10}; // time for which reports are collected into a batch
    std::size_t batchSize = 64; // reports in a full batch, which is sent at once
};

// Routes reports of workers to the leader and returns its orders. Every node accepts reports; nodes
// other than the leader forward them in batches, so that the leader of a large fleet doesn't need a
// connection to each worker. Not thread-safe: all calls must come from one thread.
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
    void take(time_point now, std::int64_t wallMs, const worker_report &report,
              const completion &done);

    // Handles a batch forwarded by another node. Fails with NotLeader or MalformedRequest.
    void takeBatch(time_point now, std::int64_t wallMs, const std::string &batch,
                   const batch_completion &done);

    // Forwards a report to the leader. Fails with the error of the leader or of the transport.
    void pass(worker_report report, completion done);

private:
    struct pending_report
    {
        worker_report report;
        completion done;
    };

    std::string reportAddressFor(const std::string &worker) const;
    void flush();

    router_options options_;
    controller &workers_;
    timer_service &timers_;
    send_function send_;
    peers_function peers_;
    std::vector<pending_report> pending_;
    timer_service::subscription flushTimer_ {};
};

} // namespace persimmon::batch
