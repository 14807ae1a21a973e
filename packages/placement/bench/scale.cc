#include "scale.h"

#include "workload.h"

#include <chrono>
#include <map>
#include <string>

namespace persimmon::placement::bench {

namespace {

constexpr std::uint32_t workspaceCount = 350;
constexpr std::uint32_t measuredSteps = 40000;

class scale_run
{
public:
    explicit scale_run(std::uint32_t workers)
        : workers_(workers)
    {
    }
    scale_cost run();

private:
    std::vector<event> joins() const;
    tables_changed tables() const;
    job_spec randomSpec();
    void step(const event &input, bool measured);
    void endOne();
    void submitOne(bool measured);
    void fill();
    void rebuild();

    struct running_job
    {
        job_spec spec;
        std::uint32_t attempt = 0;
        std::vector<std::string> workers;
        bool stopping = false;
    };

    std::uint32_t workers_;
    random_source random_ {7};
    std::unique_ptr<scheduler> core_ = scheduler::create({});
    std::int64_t nowMs_ = 1000;
    std::uint64_t nextJob_ = 1;
    std::map<std::uint64_t, job_spec> waiting_;
    std::map<std::uint64_t, running_job> running_;
    std::vector<std::uint64_t> order_; // running jobs, for random selection
    scale_cost cost_;
};

std::vector<event> scale_run::joins() const
{
    std::vector<event> events;
    for (std::uint32_t worker = 0; worker < workers_; ++worker) {
        const auto rack = worker / 8;
        const auto zone = rack % 12;
        // Accelerators come in whole racks: about 3,600 of 14,000 workers have them.
        const auto accelerators = rack / 12 % 4 == 0 ? 8U : 0U;
        events.emplace_back(
                worker_joined {"worker-" + std::to_string(worker),
                               "main",
                               {"region" + std::to_string(zone / 3), "zone" + std::to_string(zone),
                                "rack" + std::to_string(rack)},
                               {accelerators, 128, 524288}});
    }
    return events;
}

tables_changed scale_run::tables() const
{
    tables_changed tables;
    tables.pools.push_back({.name = "main"});
    for (std::uint32_t owner = 0; owner < workspaceCount; ++owner) {
        workspace row;
        row.name = "team" + std::to_string(owner);
        if (owner < 50) {
            row.guarantees.push_back({"main", {1, 8}, workers_ / 1000});
            row.guarantees.push_back({"main", {2, 8}, workers_ / 2000});
        }
        tables.workspaces.push_back(std::move(row));
    }
    return tables;
}

job_spec scale_run::randomSpec()
{
    job_spec spec;
    spec.workspace = "team" + std::to_string(random_.below(workspaceCount));
    spec.pool = "main";
    spec.priority
            = static_cast<persimmon::priority_class>(random_.below(40) == 0 ? 2 : random_.below(2));
    spec.repeatable = random_.below(10) != 0;
    spec.declaredSeconds = 600;
    const auto draw = random_.below(100);
    if (draw < 80) {
        spec.tasks = draw < 60 ? 1 + std::uint32_t(random_.below(4)) : 8;
        spec.task = {0, 8U << random_.below(3), 16384U << random_.below(3)};
    } else {
        spec.tasks = draw < 95 ? 1 : 1U << random_.below(5);
        spec.task.accelerators = spec.tasks > 1 ? 8 : 1U << random_.below(4);
        spec.task.cores = spec.task.accelerators * 4;
        spec.task.memoryMb = spec.task.accelerators * 8192;
    }
    return spec;
}

void scale_run::step(const event &input, bool measured)
{
    nowMs_ += 5;
    const auto begin = std::chrono::steady_clock::now();
    const auto actions = core_->step(time_point(milliseconds(nowMs_)), input);
    const auto end = std::chrono::steady_clock::now();
    if (measured) {
        cost_.stepMicros.push_back(std::chrono::duration<double, std::micro>(end - begin).count());
    }
    for (const auto &item : actions) {
        if (const auto *placed = std::get_if<place_job>(&item)) {
            const auto id = toNumber(placed->job);
            running_[id] = {waiting_[id], placed->attempt, placed->workers, false};
            waiting_.erase(id);
            order_.push_back(id);
        } else if (const auto *preempted = std::get_if<preempt_job>(&item)) {
            running_[toNumber(preempted->job)].stopping = true;
        } else if (const auto *ended = std::get_if<end_job>(&item)) {
            waiting_.erase(toNumber(ended->job));
        }
    }
}

void scale_run::submitOne(bool measured)
{
    const auto id = nextJob_++;
    waiting_[id] = randomSpec();
    step(job_submitted {job_id {id}, waiting_[id]}, measured);
}

void scale_run::endOne()
{
    const auto rank = random_.below(order_.size());
    const auto id = order_[rank];
    order_[rank] = order_.back();
    order_.pop_back();
    const auto job = running_[id];
    running_.erase(id);
    if (job.stopping) {
        waiting_[id] = job.spec;
    }
    step(attempt_ended {job_id {id}, job.attempt,
                        job.stopping ? attempt_end::Preempted : attempt_end::Completed, ""},
         true);
}

// Submits jobs until the backlog is 1,000 jobs.
void scale_run::fill()
{
    while (waiting_.size() < 1000) {
        submitOne(false);
    }
}

void scale_run::rebuild()
{
    const auto events = joins();
    std::vector<event> restored;
    for (const auto &[id, job] : running_) {
        restored.emplace_back(job_restored {job_id {id}, job.spec, job.attempt, job.workers, true});
    }
    const auto begin = std::chrono::steady_clock::now();
    const auto rebuilt = scheduler::create({});
    const time_point now(milliseconds {1000});
    rebuilt->step(now, tables());
    for (const auto &item : events) {
        rebuilt->step(now, item);
    }
    for (const auto &item : restored) {
        rebuilt->step(now, item);
    }
    rebuilt->step(now, clock_ticked {});
    cost_.rebuildMs
            = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin)
                      .count();
}

scale_cost scale_run::run()
{
    for (const auto &item : joins()) {
        step(item, false);
        const auto &joined = std::get<worker_joined>(item);
        cost_.accelerators += joined.capacity.accelerators;
    }
    step(tables(), false);
    fill();
    for (std::uint32_t count = 0; count < measuredSteps / 2 && !order_.empty(); ++count) {
        endOne();
        submitOne(true);
        if (count % 100 == 0) {
            step(clock_ticked {}, true);
        }
    }
    for (const auto &[id, job] : running_) {
        cost_.tasks += job.workers.size();
    }
    cost_.waiting = waiting_.size();
    cost_.stateBytes = core_->stateBytes();
    rebuild();
    return std::move(cost_);
}

} // namespace

scale_cost measureScale(std::uint32_t workers)
{
    return scale_run(workers).run();
}

} // namespace persimmon::placement::bench
