#pragma once

#include "workload.h"

#include <map>
#include <string>

namespace persimmon::placement::bench {

struct replay_options
{
    std::string strategy = "buddy";
    double completionWeight = 0.5;
    double fragmentationWeight = 0.5;
    milliseconds reservationDelay {30000};
};

struct replay_result
{
    std::map<std::string, std::vector<double>> completionSeconds; // by class and size, and "all"
    // Mean share of free accelerators that the largest waiting gang can't use.
    double fragmentation = 0;
    double utilization = 0; // mean share of used accelerators until the last arrival
    std::uint64_t guaranteeWaits = 0; // waits of guaranteed jobs beyond the checkpoint deadline
    std::uint64_t guaranteeStarts = 0;
    std::uint64_t urgentClaims = 0; // by urgent jobs outside their guarantee
    std::uint64_t lateUrgentClaims = 0; // urgent claims that took more than 5.5 s
    double longestLargeWait = 0; // seconds
    std::uint64_t preemptions = 0;
    double lostAcceleratorHours = 0; // accelerator hours lost to preemption
    std::uint64_t ended = 0; // without a result
    std::uint64_t unfinished = 0;
    std::vector<double> decisionMicros;
};

// Replays the arrivals through one scheduler in virtual time.
replay_result replay(const workload &load, const replay_options &options);

} // namespace persimmon::placement::bench
