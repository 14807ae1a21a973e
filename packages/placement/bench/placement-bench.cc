#include "replay.h"
#include "scale.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <numeric>

using namespace persimmon::placement::bench;

namespace {

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(fraction * double(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + std::ptrdiff_t(rank), values.end());
    return values[rank];
}

double mean(const std::vector<double> &values)
{
    return values.empty() ? 0 : std::reduce(values.begin(), values.end()) / double(values.size());
}

struct row
{
    const char *name;
    replay_options options;
};

std::uint64_t setting(const char *name, std::uint64_t fallback)
{
    const auto *value = std::getenv(name);
    return value == nullptr ? fallback : std::strtoull(value, nullptr, 10);
}

void printClasses(const replay_result &result)
{
    for (const auto &[label, seconds] : result.completionSeconds) {
        std::printf("    %-16s n %5zu  mean %8.0f  p50 %8.0f  p99 %8.0f s\n", label.c_str(),
                    seconds.size(), mean(seconds), quantile(seconds, 0.5), quantile(seconds, 0.99));
    }
}

void printRow(const row &item, const replay_result &result, const replay_result &baseline)
{
    const auto &all = result.completionSeconds.at("all");
    std::printf("%-28s completion mean %.0f p50 %.0f p99 %.0f s (%.2f times better), fragmentation "
                "%.3f (%.2f times lower), utilization %.3f\n",
                item.name, mean(all), quantile(all, 0.5), quantile(all, 0.99),
                mean(baseline.completionSeconds.at("all")) / mean(all), result.fragmentation,
                baseline.fragmentation / std::max(result.fragmentation, 1e-9), result.utilization);
    std::printf("    guarantees missed %lu of %lu, urgent claims over 5.5 s %lu of %lu, longest "
                "wait of a large gang %.0f s, preemptions "
                "%lu (%.0f accelerator hours lost), ended %lu, unfinished %lu, step p50 %.1f p99 "
                "%.1f us\n",
                result.guaranteeWaits, result.guaranteeStarts, result.lateUrgentClaims,
                result.urgentClaims, result.longestLargeWait, result.preemptions,
                result.lostAcceleratorHours, result.ended, result.unfinished,
                quantile(result.decisionMicros, 0.5), quantile(result.decisionMicros, 0.99));
}

void compareStrategies(std::uint64_t seed)
{
    const auto load = makeWorkload(seed, static_cast<std::uint32_t>(setting("PERSIMMON_RACKS", 16)),
                                   static_cast<std::uint32_t>(setting("PERSIMMON_JOBS", 6000)),
                                   static_cast<std::uint32_t>(setting("PERSIMMON_LOAD", 95)));
    double offered = 0;
    for (const auto &item : load.arrivals) {
        offered += double(item.runMs) * item.spec.tasks * item.spec.task.accelerators;
    }
    std::printf("seed %lu, %zu workers, %zu arrivals over %.1f h, offered load %.2f\n", seed,
                load.workers.size(), load.arrivals.size(),
                double(load.arrivals.back().atMs) / 3600000,
                offered / double(load.arrivals.back().atMs) / double(load.workers.size() * 8));
    const std::vector<row> rows {
            {"FIFO with first fit", {"fifo_first_fit"}},
            {"first_fit 0.8/0.2", {"first_fit", 0.8, 0.2}},
            {"first_fit 0.2/0.8", {"first_fit", 0.2, 0.8}},
            {"best_fit 0.8/0.2", {"best_fit", 0.8, 0.2}},
            {"best_fit 0.2/0.8", {"best_fit", 0.2, 0.8}},
            {"buddy 0.8/0.2", {"buddy", 0.8, 0.2}},
            {"buddy 0.2/0.8", {"buddy", 0.2, 0.8}},
    };
    replay_result baseline;
    for (const auto &item : rows) {
        auto result = replay(load, item.options);
        if (&item == rows.data()) {
            baseline = result;
        }
        printRow(item, result, baseline);
        printClasses(result);
        std::fflush(stdout);
    }
}

void printScale()
{
    for (const std::uint32_t workers : {1000U, 4000U, 14000U}) {
        const auto cost = measureScale(workers);
        std::printf("%u workers, %lu accelerators, %lu running tasks, %lu waiting jobs: step p50 "
                    "%.1f p99 %.1f max %.0f us, rebuild %.0f ms, state %.1f MB\n",
                    workers, cost.accelerators, cost.tasks, cost.waiting,
                    quantile(cost.stepMicros, 0.5), quantile(cost.stepMicros, 0.99),
                    quantile(cost.stepMicros, 1), cost.rebuildMs, double(cost.stateBytes) / 1e6);
        std::fflush(stdout);
    }
}

} // namespace

int main(int argc, char **argv)
{
    const auto comparedToScale = argc > 1 ? std::strcmp(argv[1], "scale") : 1;
    if (comparedToScale != 0) {
        compareStrategies(setting("PERSIMMON_SEED", 20261204));
    }
    if (argc < 2 || comparedToScale == 0) {
        printScale();
    }
    return 0;
}
