// Measures the processor time of a leader for a heartbeat, for a scheduling pass with waiting work
// and for one that stops other work for urgent jobs, by the size of the fleet.
#include "batch/controller.h"

#include <chrono>
#include <cstdio>

using namespace persimmon;
using namespace persimmon::batch;

namespace {

constexpr int sizes[] = {300, 1000, 3000, 14000};
constexpr int tasksPerWorker = 4;
constexpr int rounds = 5;

double microsecondsSince(std::chrono::steady_clock::time_point begin)
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin)
            .count();
}

class fleet
{
public:
    explicit fleet(int workers)
        : controller_(state_, controller_options {},
                      [this](const command &value, const std::function<void(status)> &done) {
                          state_.apply(value);
                          done(std::monostate {});
                      })
    {
        controller_.beginTerm(1, now_);
        configuration value;
        value.version = 1;
        value.queues.push_back({"q", "host", "/q/", "pool", 1, 3, 3.0, 1000, true, 0});
        value.queues.push_back({"u", "host", "/u/", "pool", 0, 3, 3.0, 1000, true, 0});
        state_.apply(command {set_configuration {value}});
        for (int i = 0; i < workers; ++i) {
            auto &report = reports_.emplace_back();
            report.id = "i-" + std::to_string(i);
            report.incarnation = 1;
            report.pool = "pool";
            report.address = "10.0.0.1:" + std::to_string(i);
            report.rack = "r-" + std::to_string(i / 8);
            report.labels = {"a", report.rack};
            report.capacity = {128000, 500000, 8};
        }
        heartbeats();
        submit(workers * tasksPerWorker, 1);
        heartbeats();
        submit(workers, 8); // exceeds the capacity, so it waits
    }

    // Returns the mean time of a heartbeat in microseconds.
    double heartbeats()
    {
        const auto begin = std::chrono::steady_clock::now();
        for (auto &report : reports_) {
            ++report.sequence;
            report.running.clear();
            for (const auto &[task, run] : state_.runsOn(report.id))
                report.running.push_back({task, run.run, {}, 10, 0});
            controller_.heartbeat(now_, wallMs_, report, [](const result<worker_orders> &) {});
        }
        return microsecondsSince(begin) / static_cast<double>(reports_.size());
    }

    // Returns the time of a pass with ten urgent jobs that other work has to be stopped for.
    double urgentPass()
    {
        constexpr int urgentJobs = 10;
        for (int i = 0; i < urgentJobs; ++i)
            accept(8, 8, 250, 1);
        return pass();
    }

    // Returns the time of one pass in microseconds.
    double pass()
    {
        now_ += milliseconds {200};
        wallMs_ += 200;
        const auto begin = std::chrono::steady_clock::now();
        controller_.tick(now_, wallMs_);
        return microsecondsSince(begin);
    }

private:
    void submit(int tasks, int accelerators)
    {
        constexpr int tasksPerJob = 16;
        for (int first = 0; first < tasks; first += tasksPerJob)
            accept(tasksPerJob, accelerators, 60000, 0);
        pass();
        pass();
    }

    void accept(std::uint32_t tasks, int accelerators, std::uint32_t estimateMs, std::size_t queue)
    {
        step_spec step;
        step.count = tasks;
        step.need = {1000, 1000, accelerators};
        step.estimateMs = estimateMs;
        job_spec spec;
        spec.steps = {step};
        state_.apply(
                command {accept_job {"job" + std::to_string(++jobs_), "t",
                                     state_.currentConfiguration().queues[queue], spec, wallMs_}});
    }

    ledger state_;
    controller controller_;
    std::vector<worker_report> reports_;
    time_point now_ {std::chrono::seconds {100}};
    std::int64_t wallMs_ = 1'000'000;
    int jobs_ = 0;
};

} // namespace

int main()
{
    std::printf("%8s %20s %16s %20s\n", "workers", "heartbeat, us each", "pass, ms",
                "urgent pass, ms");
    for (const auto size : sizes) {
        fleet measured(size);
        double heartbeat = 0;
        double pass = 0;
        for (int i = 0; i < rounds; ++i) {
            heartbeat += measured.heartbeats() / rounds;
            pass += measured.pass() / rounds / 1000;
        }
        double urgent = 0;
        for (int i = 0; i < rounds; ++i) {
            measured.heartbeats();
            urgent += measured.urgentPass() / rounds / 1000;
        }
        std::printf("%8d %20.1f %16.2f %20.2f\n", size, heartbeat, pass, urgent);
    }
}
