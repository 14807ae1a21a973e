#pragma once

#include "batch/discarded_work.h"
#include "batch/latency_stage.h"
#include "batch/service.h"

#include <memory>
#include <string>
#include <string_view>

namespace persimmon::apps {

// Scheduler state that is exported as gauges, sampled on each scrape.
struct scheduler_gauges
{
    bool leading = false;
    std::uint64_t term = 0;
    std::uint64_t committed = 0;
    std::uint64_t configurationVersion = 0;
    std::size_t workers = 0;
    std::size_t jobs = 0;
    std::size_t stalledJobs = 0; // nothing of them runs although a task could start
    double longestStallSeconds = 0;
    std::vector<batch::service::zone_status> zones; // of the leader
    std::size_t interferingPairs = 0; // ordered pairs of kinds of task, one slows the other down
    std::size_t comparedPairs = 0; // for which there is any evidence
};

// Metrics of the scheduler and gateway roles in the Prometheus text format. Job histograms are
// labelled by tenant and priority; tenants beyond the first 400 share the label "other". Gauges of
// zones are those of the leader, of at most 100 zones.
class batch_metrics
{
public:
    batch_metrics();
    ~batch_metrics();
    batch_metrics(const batch_metrics &) = delete;
    batch_metrics &operator=(const batch_metrics &) = delete;

    // Records an event applied by the leader's ledger.
    void observe(const batch::ledger_event &event, std::int64_t wallMs);

    // Records a completed request: its kind, HTTP status and duration in seconds.
    void observeRequest(std::string_view kind, int status, double seconds);

    // Records the duration of a stage between the acceptance of a job and its first run.
    void observeStage(batch::latency_stage stage, std::chrono::microseconds duration);

    // Records work that has to be done again.
    void observeDiscarded(const batch::discarded_work &work);

    std::string serialize(const scheduler_gauges &gauges);

private:
    class implementation;

    std::unique_ptr<implementation> implementation_;
};

} // namespace persimmon::apps
