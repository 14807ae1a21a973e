#pragma once

#include "world.h"

namespace persimmon::control::test {

// Checks a simulated cluster by its invariants only. Uses the state of the ledger, entries and
// workers, but not the internals of the coordinator.
class oracle : public cluster_simulation::observer
{
public:
    std::vector<std::string> violations;
    cluster_simulation *simulation = nullptr;
    std::map<std::uint64_t, time_point> acceptedVersions; // time of the operator's answer
    std::map<std::string, int> runsByKey; // of non-repeatable requests

    void prepared(const sim_worker &worker, const task_ref &task) override
    {
        prepared_.insert(task);
        if (worker.leavingAcknowledged
            && simulation->now() > worker.acknowledgedAt + milliseconds {2500})
            addViolation("leaving: " + worker.announced.id + " got new work");
    }

    void started(const sim_worker &worker, const task_ref &task) override
    {
        const auto *entry = simulation->data().find(task.job);
        const auto name = "job " + std::to_string(toNumber(task.job));
        if (!entry || entry->attempt != task.attempt || !entry->released || entry->workers.empty())
            return addViolation("gang: " + name + " runs on " + worker.announced.id
                                + " unreleased");
        for (std::uint32_t i = 0; i < entry->spec.tasks; ++i)
            if (!prepared_.contains({task.job, task.attempt, i, task.token}))
                addViolation("gang: " + name + " runs before all members are prepared");
        auto &attempts = attempts_[task.job];
        attempts.insert(task.attempt);
        if (!entry->spec.repeatable && attempts.size() > 1)
            addViolation("at-most-once: " + name + " is not repeatable and runs again");
    }

    void applied(const sim_entry &entry, const sync_response &) override
    {
        auto &last = versions_[{entry.id, entry.incarnation}];
        if (entry.applied.version < last)
            addViolation("configuration: " + entry.id + " reverts");
        last = entry.applied.version;
        for (const auto &[upstream, orders] : entry.orders) {
            const auto shown = entry.view.find(upstream);
            const bool leaving
                    = shown != entry.view.end() && shown->second.state == upstream_state::Leaving;
            for (const auto &order : orders)
                if (leaving && order.action == task_action::Prepare)
                    addViolation("leaving: " + upstream + " is ordered new work");
        }
    }

    // Checks the invariants that must hold at any time.
    void check()
    {
        checkAttempts();
        checkEnds();
        checkConfiguration();
        checkShares();
        for (const auto &[key, runs] : runsByKey)
            if (runs > 1)
                addViolation("at-most-once: request " + key + " ran twice");
    }

private:
    void addViolation(const std::string &text)
    {
        const auto at
                = std::chrono::duration_cast<milliseconds>(simulation->now().time_since_epoch());
        violations.push_back(std::to_string(at.count()) + " " + text);
    }

    void checkAttempts()
    {
        std::map<job_id, std::uint32_t> running;
        for (const auto &worker : simulation->workers())
            for (const auto &[task, held] : worker.tasks) {
                if (!worker.up || held.state != task_state::Running)
                    continue;
                const auto recorded = running.emplace(task.job, task.attempt).first;
                if (recorded->second != task.attempt)
                    addViolation("two attempts of job " + std::to_string(toNumber(task.job))
                                 + " run");
            }
    }

    void checkEnds()
    {
        for (const auto &[id, entry] : simulation->data().jobs) {
            if (!isTerminal(entry.state))
                continue;
            const auto recorded = ends_.emplace(id, entry.state).first;
            if (recorded->second != entry.state)
                addViolation("job " + std::to_string(toNumber(id)) + " ended twice");
            for (std::size_t i = 0; i < entry.results.size(); ++i)
                if (entry.results[i] != std::to_string(entry.attempt) + "/" + std::to_string(i))
                    addViolation("job " + std::to_string(toNumber(id)) + " has a wrong result");
        }
    }

    bool serves(const sim_entry &entry) const
    {
        return entry.up && simulation->now() < entry.leaseUntil;
    }

    void checkConfiguration()
    {
        const auto shown = simulation->leader().currentRollout(simulation->now());
        for (const auto &entry : simulation->entries()) {
            if (!serves(entry))
                continue;
            if (shown.complete && entry.applied.version < shown.version)
                addViolation("configuration: rollout is complete without " + entry.id);
            for (const auto &[version, at] : acceptedVersions)
                if (simulation->now() > at + milliseconds {3000} && entry.applied.version < version)
                    addViolation("configuration: " + entry.id + " serves an old version");
        }
    }

    void checkShares()
    {
        std::map<std::string, std::uint32_t> used;
        for (const auto &entry : simulation->entries())
            if (serves(entry))
                for (const auto &[upstream, slots] : entry.shares)
                    used[upstream] += slots;
        for (const auto &[upstream, slots] : used)
            if (slots > 8)
                addViolation("slots: " + std::to_string(slots) + " shares of " + upstream);
    }

    task_ref_set prepared_;
    std::map<job_id, std::set<std::uint32_t>> attempts_;
    std::map<job_id, job_state> ends_;
    std::map<entry_incarnation, std::uint64_t> versions_;
};

} // namespace persimmon::control::test
