#include "metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <sstream>

namespace persimmon::entry {

namespace {

// In seconds; the last one is the default time-out of a route, 30 s.
const prometheus::Histogram::BucketBoundaries buckets {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
                                                       0.25,  0.5,    1,     2.5,  5,     10,   30};

class prometheus_metrics : public entry_metrics
{
public:
    prometheus_metrics()
        : duration_(prometheus::BuildHistogram()
                            .Name("persimmon_request_seconds")
                            .Help("Time from the arrival of a request to its answer")
                            .Register(registry_))
        , queueWait_(prometheus::BuildHistogram()
                             .Name("persimmon_queue_wait_seconds")
                             .Help("Time from the arrival of a request to its first dispatch")
                             .Register(registry_))
        , answered_(prometheus::BuildCounter()
                            .Name("persimmon_requests_total")
                            .Help("Answered requests by outcome and result code")
                            .Register(registry_))
        , totals_(prometheus::BuildCounter()
                          .Name("persimmon_events_total")
                          .Help("Received requests, retries, ejections and sync calls")
                          .Register(registry_))
        , state_(prometheus::BuildGauge()
                         .Name("persimmon_entry_state")
                         .Help("Rest of the configuration lease in seconds, readiness (1: ready) "
                               "and version of the tables")
                         .Register(registry_))
        , load_(prometheus::BuildGauge()
                        .Name("persimmon_pool_requests")
                        .Help("Requests queued and in flight in each pool")
                        .Register(registry_))
    {
    }

    void observe(const answer_caller &reply) override
    {
        const prometheus::Labels labels {{"workspace", reply.workspace},
                                         {"class", std::string(toName(reply.priority))}};
        if (!reply.workspace.empty()) {
            duration_.Add(labels, buckets).Observe(seconds(reply.duration));
            if (reply.attempt > 0)
                queueWait_.Add(labels, buckets).Observe(seconds(reply.queueWait));
        }
        const auto code = reply.refusal ? reply.refusal->code : result_code::Ok;
        answered_
                .Add({{"outcome", std::string(toName(reply.outcome))},
                      {"code", std::string(describe(code).name)}})
                .Increment();
    }

    void countSync(bool success) override
    {
        totals_.Add({{"event", success ? "sync_answered" : "sync_failed"}}).Increment();
    }

    std::string render(const metrics_snapshot &snapshot) override
    {
        setTotal("request", snapshot.counters.requests);
        setTotal("retry", snapshot.counters.retries);
        setTotal("ejection", snapshot.counters.ejections);
        state_.Add({{"name", "lease_seconds"}}).Set(seconds(snapshot.leaseLeft));
        state_.Add({{"name", "ready"}}).Set(snapshot.ready ? 1 : 0);
        state_.Add({{"name", "tables_version"}}).Set(static_cast<double>(snapshot.tablesVersion));
        for (const auto &item : snapshot.demand) {
            load_.Add({{"pool", item.pool}, {"state", "queued"}}).Set(item.queued);
            load_.Add({{"pool", item.pool}, {"state", "in_flight"}}).Set(item.inFlight);
        }
        std::ostringstream text;
        prometheus::TextSerializer().Serialize(text, registry_.Collect());
        return text.str();
    }

private:
    static double seconds(milliseconds time) { return static_cast<double>(time.count()) / 1000; }

    void setTotal(const char *event, std::uint64_t total)
    {
        auto &counter = totals_.Add({{"event", event}});
        counter.Increment(static_cast<double>(total) - counter.Value());
    }

    prometheus::Registry registry_;
    prometheus::Family<prometheus::Histogram> &duration_;
    prometheus::Family<prometheus::Histogram> &queueWait_;
    prometheus::Family<prometheus::Counter> &answered_;
    prometheus::Family<prometheus::Counter> &totals_;
    prometheus::Family<prometheus::Gauge> &state_;
    prometheus::Family<prometheus::Gauge> &load_;
};

} // namespace

std::unique_ptr<entry_metrics> entry_metrics::create()
{
    return std::make_unique<prometheus_metrics>();
}

} // namespace persimmon::entry
