#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon::apps {

// Distribution of one stage on the way from a job's acceptance to its first run.
struct latency_row
{
    std::string stage;
    std::uint64_t count = 0;
    double p50 = 0; // seconds; upper bound of the bucket that holds the quantile
    double p95 = 0;
    double p99 = 0;
};

// Reads the stages with at least one sample from metrics in the Prometheus text format. Lines that
// can't be read are skipped.
std::vector<latency_row> readLatencies(std::string_view metrics);

std::string latencyText(const std::string &node, const std::vector<latency_row> &rows);

} // namespace persimmon::apps
