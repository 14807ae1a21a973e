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
    std::string address; // where workers reach this node
    std::size_t directWorkers = 400; // a leader with more workers sends them to the other nodes
    milliseconds batchDelay {10}; // a passed report waits this long for others
    std::size_t batchSize = 64; // reports that are passed at once
};

// Brings the reports of workers to the leader and its orders back. Every node takes reports; one
// that doesn't lead passes them on in batches, so that the leader doesn't hold a connection to each
// worker of a large fleet. All calls belong to one thread.
class report_router
{
public:
    using completion = std::function<void(result<routed_orders>)>;
    using batch_completion = std::function<void(result<std::string>)>;

    // Passes an encoded batch to the leader, wherever it is. A lost answer is an error.
    using send_function = std::function<void(std::string batch, batch_completion done)>;

    // Lists the addresses of the other nodes that the leader hears.
    using peers_function = std::function<std::vector<std::string>()>;

    report_router(router_options options, controller &workers, timer_service &timers,
                  send_function send, peers_function peers);
    ~report_router();
    report_router(const report_router &) = delete;
    report_router &operator=(const report_router &) = delete;

    // Takes a report on the leader. Fails like controller::heartbeat().
    void take(time_point now, std::int64_t wallMs, const worker_report &report,
              const completion &done);

    // Takes a batch that another node has passed on. Fails with NotLeader or MalformedRequest.
    void takeBatch(time_point now, std::int64_t wallMs, const std::string &batch,
                   const batch_completion &done);

    // Passes a report to the leader. Fails with the leader's error, or that of the sending.
    void pass(worker_report report, completion done);

private:
    struct waiting_report
    {
        worker_report report;
        completion done;
    };

    std::string addressFor(const std::string &worker) const;
    void flush();

    router_options options_;
    controller &workers_;
    timer_service &timers_;
    send_function send_;
    peers_function peers_;
    std::vector<waiting_report> waiting_;
    timer_service::subscription flushing_ {};
};

} // namespace persimmon::batch
