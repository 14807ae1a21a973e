#pragma once

#include "apps/voter.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace persimmon::apps {

// Metrics of one voter in Prometheus' text format.
class control_metrics
{
public:
    control_metrics();
    ~control_metrics();
    control_metrics(const control_metrics &) = delete;
    control_metrics &operator=(const control_metrics &) = delete;

    // Records the time from the proposal to the end of a command.
    void observeCommit(double seconds);

    // Records the time from the arrival of a call to its answer.
    void observeCall(std::string_view method, double seconds);

    // Sets where the number of messages to other voters that were dropped is read.
    void watchDropped(std::function<std::uint64_t()> source);

    // Returns all metrics; gauges are read from the voter. What only the leader knows is left out
    // on other voters.
    std::string serialize(const voter &source) const;

private:
    class implementation;

    std::unique_ptr<implementation> implementation_;
};

} // namespace persimmon::apps
