#pragma once

#include "placement/scheduler.h"

#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace persimmon::placement::test {

// Sends events to a scheduler and records its actions.
class driver
{
public:
    explicit driver(const scheduler_options &options = {})
        : core(scheduler::create(options))
    {
    }

    const std::vector<action> &send(const event &input)
    {
        last = core->step(now, input);
        for (const auto &item : last) {
            if (const auto *placed = std::get_if<place_job>(&item)) {
                running[toNumber(placed->job)] = *placed;
            }
        }
        return last;
    }

    const std::vector<action> &wait(milliseconds time)
    {
        now += time;
        return send(clock_ticked {});
    }

    // Adds racks of 8 workers with 64 cores and 128 GB each.
    void addRacks(std::uint32_t count, std::uint32_t accelerators = 8,
                  const std::string &zone = "a", const std::string &region = "r")
    {
        for (std::uint32_t rack = 0; rack < count; ++rack) {
            const auto name = region + zone + std::to_string(rack);
            for (std::uint32_t worker = 0; worker < 8; ++worker) {
                join(name + "-" + std::to_string(worker), {region, zone, name}, accelerators);
            }
        }
    }

    void join(const std::string &worker, const location &place, std::uint32_t accelerators = 8)
    {
        send(worker_joined {worker, "gpu", place, {accelerators, 64, 131072}});
    }

    const std::vector<action> &submit(std::uint64_t job, std::uint32_t tasks,
                                      std::uint32_t accelerators, const std::string &owner = "w",
                                      bool repeatable = true,
                                      priority_class priority = priority_class::Standard)
    {
        job_spec spec;
        spec.workspace = owner;
        spec.pool = "gpu";
        spec.tasks = tasks;
        spec.task = {accelerators, accelerators, accelerators * 1024};
        spec.repeatable = repeatable;
        spec.priority = priority;
        return send(job_submitted {job_id {job}, spec});
    }

    const std::vector<action> &end(std::uint64_t job, attempt_end how = attempt_end::Completed,
                                   const std::string &worker = "")
    {
        return send(attempt_ended {job_id {job}, running[job].attempt, how, worker});
    }

    // Replaces the tables by ones with the given guarantees by workspace.
    void guarantees(const std::map<std::string, std::vector<guarantee>> &rows)
    {
        tables_changed tables;
        tables.pools.push_back({.name = "gpu", .strategy = strategy});
        for (const auto &[name, items] : rows) {
            workspace row;
            row.name = name;
            row.guarantees = items;
            tables.workspaces.push_back(row);
        }
        send(tables);
    }

    // Returns the first action of a type that the last event caused, or null.
    template <typename Type>
    const Type *find() const
    {
        for (const auto &item : last) {
            if (const auto *match = std::get_if<Type>(&item)) {
                return match;
            }
        }
        return nullptr;
    }

    // Like find, but fails the test if there is no such action.
    template <typename Type>
    const Type &get() const
    {
        static const Type none;
        const auto *match = find<Type>();
        if (match == nullptr) {
            FAIL("the expected action is missing");
        }
        return match == nullptr ? none : *match;
    }

    template <typename Type>
    std::size_t count() const
    {
        std::size_t total = 0;
        for (const auto &item : last) {
            total += std::holds_alternative<Type>(item) ? 1 : 0;
        }
        return total;
    }

    std::unique_ptr<scheduler> core;
    time_point now {std::chrono::seconds(1)};
    std::string strategy = "buddy";
    std::vector<action> last;
    std::map<std::uint64_t, place_job> running;
};

} // namespace persimmon::placement::test
