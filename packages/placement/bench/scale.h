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

// Fills a cluster with the target's mixture (a quarter of the workers have 8 accelerators, 350
// workspaces of which 50 hold guarantees), then measures steps of arrivals and endings under a
// backlog, and the rebuild of an equal scheduler from worker_joined and job_restored events.
scale_cost measureScale(std::uint32_t workers);

} // namespace persimmon::placement::bench
