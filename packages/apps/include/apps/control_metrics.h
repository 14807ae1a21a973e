#pragma once

#include "apps/voter.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace persimmon::apps {

// Metrics of one voter in the Prometheus text format.
class control_metrics
{
public:
    control_metrics();
    ~control_metrics();
    control_metrics(const control_metrics &) = delete;
    control_metrics &operator=(const control_metrics &) = delete;

    // Records the time from the proposal of a command to its completion.
    void observeCommit(double seconds);

    // Records the time from the receipt of an RPC to its response.
    void observeCall(std::string_view method, double seconds);

    // Sets the function that returns the number of dropped messages to other voters.
    void setDroppedSource(std::function<std::uint64_t()> source);

    // Returns all metrics; gauges are read from the voter. Cluster-wide gauges are included only
    // while the voter leads and can serve reads.
    std::string serialize(const voter &source) const;

private:
    class implementation;

    std::unique_ptr<implementation> implementation_;
};

} // namespace persimmon::apps
