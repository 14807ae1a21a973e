#pragma once

#include <cstdint>
#include <vector>

namespace persimmon::placement::bench {

struct scale_cost
{
    std::uint64_t accelerators = 0;
    std::uint64_t tasks = 0; // running
    std::uint64_t waiting = 0;
    std::vector<double> stepMicros;
    double rebuildMs = 0;
    std::size_t stateBytes = 0;
};

// Fills a cluster with the target workload (a quarter of the workers have 8 accelerators, 50 of 350
// workspaces have guarantees), then measures the steps of job arrivals and completions under a
// backlog, and the rebuild of an equal scheduler from worker_joined and job_restored events.
scale_cost measureScale(std::uint32_t workers);

} // namespace persimmon::placement::bench
