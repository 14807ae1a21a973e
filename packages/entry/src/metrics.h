#pragma once

#include "request_core.h"

#include <memory>
#include <string>

namespace persimmon::entry {

// Values that are read at the time of a scrape.
struct metrics_snapshot
{
    core_counters counters;
    milliseconds leaseLeft {0};
    bool ready = false;
    std::uint64_t tablesVersion = 0;
    std::vector<pool_demand> demand;
};

// Metrics of an entry in the Prometheus text format.
class entry_metrics
{
public:
    static std::unique_ptr<entry_metrics> create();

    entry_metrics() = default;
    entry_metrics(const entry_metrics &) = delete;
    entry_metrics &operator=(const entry_metrics &) = delete;
    virtual ~entry_metrics() = default;

    virtual void observe(const answer_caller &reply) = 0;
    virtual void countSync(bool success) = 0;
    virtual std::string render(const metrics_snapshot &snapshot) = 0;
};

} // namespace persimmon::entry
