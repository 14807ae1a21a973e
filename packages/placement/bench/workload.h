#pragma once

#include "placement/scheduler.h"

#include <cstdint>
#include <vector>

namespace persimmon::placement::bench {

// One arrival of the replayed list, including data that is hidden from the scheduler.
struct arrival
{
    std::uint64_t job = 0;
    std::int64_t atMs = 0;
    std::int64_t runMs = 0;
    std::int64_t cancelMs = 0; // zero: never
    bool alwaysFails = false; // fails on every worker
    job_spec spec;
};

struct workload
{
    std::vector<worker_joined> workers;
    std::vector<bool> faulty; // by worker: fails every job
    tables_changed tables;
    std::vector<arrival> arrivals;
};

// Generates arrivals and racks of 8 workers in two zones; every worker has 8 accelerators.
workload makeWorkload(std::uint64_t seed, std::uint32_t racks, std::uint32_t jobs,
                      std::uint32_t loadPercent);

// Random numbers that depend only on the seed and not on the standard library.
class random_source
{
public:
    explicit random_source(std::uint64_t seed)
        : state_(seed)
    {
    }
    std::uint64_t next();
    std::uint64_t below(std::uint64_t limit) { return next() % limit; }
    double unit() { return static_cast<double>(next() >> 11) / 9007199254740992.0; }

private:
    std::uint64_t state_;
};

} // namespace persimmon::placement::bench
