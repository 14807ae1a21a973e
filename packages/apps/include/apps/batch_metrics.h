#pragma once

#include "batch/ledger.h"

#include <memory>
#include <string>
#include <string_view>

namespace persimmon::apps {

// Gauges of a scheduler, read when the metrics are.
struct scheduler_gauges
{
    bool leading = false;
    std::uint64_t term = 0;
    std::uint64_t committed = 0;
    std::uint64_t configurationVersion = 0;
    std::size_t workers = 0;
    std::size_t jobs = 0;
};

// Metrics of the scheduler and gateway roles in Prometheus' text format. Histograms are labelled by
// tenant and priority; beyond 400 tenants all others share one label.
class batch_metrics
{
public:
    batch_metrics();
    ~batch_metrics();
    batch_metrics(const batch_metrics &) = delete;
    batch_metrics &operator=(const batch_metrics &) = delete;

    // Records what the ledger of a leader has applied.
    void observe(const batch::ledger_event &event, std::int64_t wallMs);

    // Records an answered request: what was asked, its HTTP status and the time in seconds.
    void observeRequest(std::string_view kind, int status, double seconds);

    std::string serialize(const scheduler_gauges &gauges);

private:
    class implementation;

    std::unique_ptr<implementation> implementation_;
};

} // namespace persimmon::apps
