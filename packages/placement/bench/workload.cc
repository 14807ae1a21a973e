#include "workload.h"

#include <cmath>
#include <string>

namespace persimmon::placement::bench {

namespace {

constexpr std::int64_t second = 1000;

// Draws the size of a gang: mostly small, some that need whole racks.
void chooseSize(random_source &random, job_spec &spec)
{
    const auto draw = random.below(100);
    if (draw < 70) {
        spec.tasks = 1;
        spec.task.accelerators = 1U << random.below(3);
    } else if (draw < 86) {
        spec.tasks = 1;
        spec.task.accelerators = 8;
    } else if (draw < 96) {
        spec.tasks = 2U << random.below(2);
        spec.task.accelerators = 8;
    } else {
        spec.tasks = draw < 99 ? 8 : 16;
        spec.task.accelerators = 8;
    }
    spec.task.cores = spec.task.accelerators * 8;
    spec.task.memoryMb = spec.task.accelerators * 16384;
}

arrival makeArrival(random_source &random, std::uint64_t job, std::int64_t at)
{
    static const char *const owners[] = {"board", "calls", "lab", "maps"};
    static const std::uint64_t shares[] = {35, 75, 88, 100};
    arrival item;
    item.job = job;
    item.atMs = at;
    const auto draw = random.below(100);
    std::size_t owner = 0;
    while (draw >= shares[owner]) {
        ++owner;
    }
    item.spec.workspace = owners[owner];
    item.spec.pool = "gpu";
    chooseSize(random, item.spec);
    const auto kind = random.below(20);
    item.spec.priority = kind == 0 ? priority_class::Urgent
            : kind < 12            ? priority_class::Standard
                                   : priority_class::Batch;
    item.spec.repeatable = random.below(10) != 0;
    // Run times are spread over a factor of 100; the median depends on the class.
    const auto median = kind == 0 ? 60.0 : kind < 12 ? 300.0 : 1200.0;
    item.runMs = static_cast<std::int64_t>(median * std::pow(10.0, 2 * random.unit() - 1)) * second;
    const auto wrong = std::pow(10.0, 2 * random.unit() - 1);
    item.spec.declaredSeconds = static_cast<std::uint32_t>(double(item.runMs) / second * wrong) + 1;
    return item;
}

void addWorkers(random_source &random, workload &load, std::uint32_t racks)
{
    for (std::uint32_t rack = 0; rack < racks; ++rack) {
        const location place {"r", rack * 2 < racks ? "a" : "b", "rack" + std::to_string(rack)};
        for (std::uint32_t worker = 0; worker < 8; ++worker) {
            const auto name = place.rack + "-" + std::to_string(worker);
            load.workers.push_back({name, "gpu", place, {8, 64, 131072}});
            load.faulty.push_back(random.below(100) == 0);
        }
    }
}

void addTables(workload &load, std::uint32_t racks)
{
    load.tables.pools.push_back({.name = "gpu"});
    const auto add = [&](const char *name, std::uint32_t weight, std::vector<guarantee> rows) {
        workspace owner;
        owner.name = name;
        owner.weight = weight;
        owner.guarantees = std::move(rows);
        load.tables.workspaces.push_back(std::move(owner));
    };
    add("board", 3, {{"gpu", {8, 8}, racks / 8}, {"gpu", {1, 8}, racks / 2}});
    add("calls", 3, {{"gpu", {8, 8}, racks / 8}, {"gpu", {1, 4}, racks}});
    add("lab", 1, {});
    add("maps", 1, {});
}

} // namespace

std::uint64_t random_source::next()
{
    // splitmix64
    state_ += 0x9E3779B97F4A7C15ULL;
    auto value = state_;
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31);
}

workload makeWorkload(std::uint64_t seed, std::uint32_t racks, std::uint32_t jobs,
                      std::uint32_t loadPercent)
{
    random_source random(seed);
    workload load;
    addWorkers(random, load, racks);
    addTables(load, racks);
    // The mean job uses 8.5 accelerators for 1,390 s. Bursts and jobs that end early change the
    // offered load, which the benchmark prints.
    const auto meanGap = 17000000.0 / double(racks * loadPercent);
    double at = 1000;
    for (std::uint32_t job = 1; job <= jobs; ++job) {
        // Every 400th job starts a burst of 40 within seconds.
        const auto burst = job % 400 < 40;
        at += -std::log(1 - random.unit()) * (burst ? 50.0 : meanGap);
        auto item = makeArrival(random, job, static_cast<std::int64_t>(at));
        const auto fault = random.below(100);
        if (fault == 0) {
            item.spec.task.accelerators = 16; // more than any worker has
        }
        item.alwaysFails = fault == 1;
        // Bulk cancellation: one in 3 of the jobs that arrive in the middle is cancelled at the
        // same time.
        if (job > jobs / 2 && job < jobs / 2 + jobs / 20 && random.below(3) == 0) {
            item.cancelMs = -1;
        }
        load.arrivals.push_back(std::move(item));
    }
    const auto bulkCancelMs = load.arrivals[jobs / 2 + jobs / 20].atMs;
    for (auto &item : load.arrivals) {
        item.cancelMs = item.cancelMs < 0 ? bulkCancelMs : 0;
    }
    return load;
}

} // namespace persimmon::placement::bench
