#pragma once

#include "control/commands.h"
#include "control/coordinator.h"
#include "control/ledger.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>

// Stubs of the replicated log and of placement.
namespace persimmon::control::test {

inline tables sampleTables()
{
    tables rows;
    rows.pools.emplace_back().name = "gpu";
    rows.workspaces.emplace_back().name = "moreton";
    auto &row = rows.routes.emplace_back();
    row.name = "boards";
    row.workspace = "moreton";
    row.pathPrefix = "/";
    row.pool = "gpu";
    return rows;
}

inline job_spec sampleJob(std::uint32_t tasks = 2)
{
    job_spec spec;
    spec.workspace = "moreton";
    spec.pool = "gpu";
    spec.tasks = tasks;
    return spec;
}

// Log with a single voter. Applies commands immediately, or on release() while held. A command
// whose reply is lost is applied and completes with NoQuorum.
class single_voter_log : public proposer
{
public:
    explicit single_voter_log(ledger &state)
        : state_(&state)
    {
    }

    void propose(consensus::byte_buffer command, consensus::node::completion done) override
    {
        waiting_.push_back({std::move(command), std::move(done)});
        if (!held)
            release();
    }

    // Applies the waiting commands in order.
    void release()
    {
        while (!waiting_.empty()) {
            auto next = std::move(waiting_.front());
            waiting_.pop_front();
            auto bytes = state_->apply(++index, next.command);
            if (loseReplies > 0) {
                --loseReplies;
                next.done(error {result_code::NoQuorum, {}, {}, {}});
            } else {
                next.done(std::move(bytes));
            }
        }
    }

    // Ends the term. Applies only the first `applied` commands, and completes all with NotLeader.
    void abandon(std::size_t applied)
    {
        auto waiting = std::move(waiting_);
        waiting_.clear();
        for (std::size_t i = 0; i < waiting.size(); ++i) {
            if (i < applied)
                state_->apply(++index, waiting[i].command);
            waiting[i].done(error {result_code::NotLeader, {}, {}, {}});
        }
    }

    void replaceState(ledger &state) { state_ = &state; }
    std::size_t waiting() const { return waiting_.size(); }

    bool held = false;
    int loseReplies = 0;
    std::uint64_t index = 0;

private:
    struct proposal
    {
        consensus::byte_buffer command;
        consensus::node::completion done;
    };

    ledger *state_;
    std::deque<proposal> waiting_;
};

// First-fit scheduler with at most one task on each worker. Urgent jobs preempt others. A job ends
// with CannotRun after three failures.
class first_fit : public placement::scheduler
{
public:
    std::vector<placement::action> step(time_point, const placement::event &input) override
    {
        actions_.clear();
        std::visit([this](const auto &value) { handle(value); }, input);
        place();
        return std::move(actions_);
    }

    status validate(std::span<const pool>, std::span<const workspace> rows) const override
    {
        std::uint32_t required = 0;
        for (const auto &row : rows)
            for (const auto &item : row.guarantees)
                required += item.count * item.block.workers;
        if (!workers_.empty() && required > workers_.size())
            return error {result_code::GuaranteeUnbindable, "too many workers", {}, {}};
        return {};
    }

    std::vector<placement::pool_usage> poolUsage() const override { return {}; }
    std::vector<placement::workspace_usage> workspaceUsage() const override { return {}; }

private:
    struct job
    {
        job_spec spec;
        std::uint32_t attempt = 0;
        std::vector<std::string> workers; // of the open attempt
        bool cancelled = false;
        bool preempted = false;
        bool waitReported = false;
        int failures = 0;
    };

    struct worker
    {
        bool leaving = false;
        bool present = true;
        job_id holder {};
    };

    void handle(const placement::worker_joined &value)
    {
        auto &target = workers_[value.worker];
        target.leaving = false;
        target.present = true;
    }
    void handle(const placement::worker_left &value) { workers_[value.worker].present = false; }
    void handle(const placement::worker_leaving &value) { workers_[value.worker].leaving = true; }
    void handle(const placement::tables_changed &) { }
    void handle(const placement::clock_ticked &) { }
    void handle(const placement::job_submitted &value) { jobs_[value.job].spec = value.spec; }

    void handle(const placement::job_restored &value)
    {
        jobs_[value.job] = {value.spec, value.attempt, value.workers};
        for (const auto &name : value.workers)
            workers_[name].holder = value.job;
    }

    void handle(const placement::job_cancelled &value)
    {
        const auto found = jobs_.find(value.job);
        if (found == jobs_.end())
            return;
        if (found->second.workers.empty()) {
            jobs_.erase(found);
            actions_.push_back(placement::end_job {value.job, result_code::Cancelled, {}});
            return;
        }
        found->second.cancelled = true;
        actions_.push_back(placement::stop_job {value.job, found->second.attempt});
    }

    void handle(const placement::attempt_ended &value)
    {
        const auto found = jobs_.find(value.job);
        if (found == jobs_.end())
            return;
        for (const auto &name : found->second.workers)
            workers_[name].holder = {};
        found->second.workers.clear();
        found->second.preempted = false;
        found->second.failures += value.how == placement::attempt_end::TaskFailed ? 1 : 0;
        if (found->second.failures >= 3 && !found->second.cancelled)
            actions_.push_back(placement::end_job {value.job, result_code::CannotRun, {}});
        if (value.how == placement::attempt_end::Completed || found->second.cancelled
            || found->second.failures >= 3)
            jobs_.erase(found);
    }

    bool tryPlace(job_id id, job &target)
    {
        std::vector<std::string> chosen;
        for (const auto &[name, candidate] : workers_)
            if (candidate.present && !candidate.leaving && candidate.holder == job_id {}
                && chosen.size() < target.spec.tasks)
                chosen.push_back(name);
        if (chosen.size() < target.spec.tasks)
            return false;
        for (const auto &name : chosen)
            workers_[name].holder = id;
        target.workers = chosen;
        target.waitReported = false;
        actions_.push_back(placement::place_job {id, ++target.attempt, chosen, false, "first fit"});
        return true;
    }

    void preemptFor(job_id id)
    {
        for (auto &[other, target] : jobs_) {
            if (target.spec.priority == priority_class::Urgent || target.workers.empty()
                || target.preempted)
                continue;
            target.preempted = true;
            actions_.push_back(
                    placement::preempt_job {other, target.attempt, id, milliseconds {2000}});
            return;
        }
    }

    // Places urgent jobs first. No other job is placed while an urgent job waits.
    void place()
    {
        bool blocked = false;
        for (const auto priority : {priority_class::Urgent, priority_class::Standard})
            for (auto &[id, target] : jobs_)
                if (target.spec.priority == priority && target.workers.empty() && !target.cancelled
                    && (blocked || !tryPlace(id, target)))
                    blocked = wait(id, target) || blocked;
    }

    bool wait(job_id id, job &target)
    {
        if (!target.waitReported)
            actions_.push_back(
                    placement::job_waits {id, wait_reason::NoFreeBlock, {}, "first fit"});
        target.waitReported = true;
        const bool urgent = target.spec.priority == priority_class::Urgent;
        if (urgent
            && std::ranges::none_of(jobs_, [](const auto &item) { return item.second.preempted; }))
            preemptFor(id);
        return urgent;
    }

    std::map<job_id, job> jobs_;
    std::map<std::string, worker> workers_;
    std::vector<placement::action> actions_;
};

} // namespace persimmon::control::test
