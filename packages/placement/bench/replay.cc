#include "replay.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <queue>
#include <unordered_map>

namespace persimmon::placement::bench {

namespace {

constexpr std::int64_t checkpointMs = 2000;
constexpr std::int64_t urgentMs = 5500;

enum class kind : std::uint8_t { Arrive, Cancel, End, Tick, Sample };

struct timed
{
    std::int64_t at = 0;
    std::uint64_t order = 0;
    kind what = kind::Tick;
    std::uint64_t job = 0;
    std::uint32_t attempt = 0;
    attempt_end how = attempt_end::Completed;
    std::string worker;

    friend bool operator>(const timed &left, const timed &right)
    {
        return std::pair(left.at, left.order) > std::pair(right.at, right.order);
    }
};

struct job_state
{
    const arrival *info = nullptr;
    std::vector<std::string> workers;
    std::uint32_t attempt = 0;
    std::int64_t doneMs = 0; // saved by checkpoints
    std::int64_t startedMs = -1;
    std::int64_t waitingSinceMs = 0;
    std::int64_t guaranteedSinceMs = -1; // within its guarantee and not running
    bool over = false;
};

// Feeds one scheduler and plays the workers: jobs end after their run time, bad workers fail what
// they start, preempted jobs stop within the deadline, and 9 of 10 resume from their checkpoint.
class replayer
{
public:
    replayer(const workload &load, const replay_options &options);
    replay_result run();

private:
    void push(timed item);
    void handle(const timed &item);
    void step(const event &input);
    void apply(const action &item);
    void started(const place_job &placed);
    void stopped(std::uint64_t job, std::uint32_t attempt, attempt_end how);
    void leave(job_state &job);
    void forget(job_state &job);
    void sample();
    void watchGuarantee(job_state &job);
    double room(std::uint32_t accelerators) const;
    static std::string labelOf(const job_spec &spec);

    const workload &load_;
    replay_result out_;
    std::unique_ptr<scheduler> core_;
    std::priority_queue<timed, std::vector<timed>, std::greater<>> events_;
    std::uint64_t order_ = 0;
    std::int64_t nowMs_ = 0;
    std::unordered_map<std::uint64_t, job_state> jobs_;
    std::unordered_map<std::string, std::size_t> workerByName_;
    std::vector<std::uint32_t> used_;
    std::map<std::string, std::uint64_t> tasks_; // by workspace: running, or waiting within cells
    std::uint64_t samples_ = 0;
    std::uint64_t gaps_ = 0; // samples with a waiting gang and free accelerators
    std::size_t open_ = 0;
};

replayer::replayer(const workload &load, const replay_options &options)
    : load_(load)
{
    scheduler_options settings;
    settings.strategy = options.strategy;
    settings.completionWeight = options.completionWeight;
    settings.fragmentationWeight = options.fragmentationWeight;
    settings.reservationDelay = options.reservationDelay;
    core_ = scheduler::create(settings);
    auto tables = load.tables;
    tables.pools.front().strategy = options.strategy;
    for (std::size_t worker = 0; worker < load.workers.size(); ++worker) {
        workerByName_[load.workers[worker].worker] = worker;
        core_->step(time_point {}, load.workers[worker]);
    }
    used_.resize(load.workers.size());
    core_->step(time_point {}, tables);
    for (const auto &item : load.arrivals) {
        push({item.atMs, 0, kind::Arrive, item.job, 0, {}, {}});
        if (item.cancelMs > 0) {
            push({item.cancelMs, 0, kind::Cancel, item.job, 0, {}, {}});
        }
    }
    push({1000, 0, kind::Tick, 0, 0, {}, {}});
    push({30000, 0, kind::Sample, 0, 0, {}, {}});
    open_ = load.arrivals.size();
}

void replayer::push(timed item)
{
    item.order = ++order_;
    events_.push(std::move(item));
}

void replayer::step(const event &input)
{
    const auto begin = std::chrono::steady_clock::now();
    const auto actions = core_->step(time_point(milliseconds(nowMs_)), input);
    const auto end = std::chrono::steady_clock::now();
    out_.decisionMicros.push_back(std::chrono::duration<double, std::micro>(end - begin).count());
    for (const auto &item : actions) {
        apply(item);
    }
}

std::string replayer::labelOf(const job_spec &spec)
{
    const auto total = spec.tasks * spec.task.accelerators;
    const auto *size = total <= 8 ? "small" : total <= 32 ? "medium" : "large";
    return std::string(toName(spec.priority)) + " " + size;
}

void replayer::leave(job_state &job)
{
    for (const auto &worker : job.workers) {
        used_[workerByName_[worker]] -= job.info->spec.task.accelerators;
    }
    tasks_[job.info->spec.workspace] -= job.workers.size();
    job.workers.clear();
    job.startedMs = -1;
    job.waitingSinceMs = nowMs_;
}

// Ends the watch over a wait within the guarantee.
void replayer::forget(job_state &job)
{
    if (job.guaranteedSinceMs >= 0) {
        tasks_[job.info->spec.workspace] -= job.info->spec.tasks;
    }
    job.guaranteedSinceMs = -1;
}

void replayer::started(const place_job &placed)
{
    auto &job = jobs_[toNumber(placed.job)];
    job.workers = placed.workers;
    job.attempt = placed.attempt;
    job.startedMs = nowMs_;
    const auto &spec = job.info->spec;
    if (spec.tasks * spec.task.accelerators > 32) {
        const auto waited = double(nowMs_ - job.waitingSinceMs) / 1000;
        out_.longestLargeWait = std::max(out_.longestLargeWait, waited);
    }
    if (job.guaranteedSinceMs >= 0) {
        const auto waited = nowMs_ - job.guaranteedSinceMs;
        const auto urgent = placed.reason == "after preemption";
        out_.guaranteeStarts += urgent ? 0 : 1;
        out_.guaranteeWaits += !urgent && waited > checkpointMs ? 1 : 0;
        out_.urgentClaims += urgent ? 1 : 0;
        out_.lateUrgentClaims += urgent && waited > urgentMs ? 1 : 0;
    }
    forget(job);
    tasks_[spec.workspace] += spec.tasks;
    timed end {nowMs_ + job.info->runMs - job.doneMs,
               0,
               kind::End,
               job.info->job,
               job.attempt,
               {},
               {}};
    for (const auto &worker : placed.workers) {
        used_[workerByName_[worker]] += spec.task.accelerators;
        if (job.info->broken || load_.bad[workerByName_[worker]]) {
            end.at = nowMs_ + 3000;
            end.how = attempt_end::TaskFailed;
            end.worker = worker;
        }
    }
    push(std::move(end));
}

void replayer::stopped(std::uint64_t id, std::uint32_t attempt, attempt_end how)
{
    auto &job = jobs_[id];
    if (how == attempt_end::Preempted) {
        ++out_.preemptions;
        const auto size = job.info->spec.tasks * job.info->spec.task.accelerators;
        const auto done = nowMs_ - job.startedMs;
        // One job in 10 misses the checkpoint deadline and loses the attempt; for the others a
        // restart costs 5 s.
        const auto saved = id % 10 == 0 ? 0 : std::max<std::int64_t>(done - 5000, 0);
        job.doneMs += saved;
        out_.lostHours += double(done - saved) / 3600000 * size;
    }
    // A checkpoint takes between 0.5 s and the whole deadline, the same for every run.
    const auto delay = how == attempt_end::Cancelled ? 500 : 500 + std::int64_t(id * 7919 % 1500);
    push({nowMs_ + delay, 0, kind::End, id, attempt, how, {}});
}

void replayer::apply(const action &item)
{
    if (const auto *placed = std::get_if<place_job>(&item)) {
        started(*placed);
    } else if (const auto *preempted = std::get_if<preempt_job>(&item)) {
        stopped(toNumber(preempted->job), preempted->attempt, attempt_end::Preempted);
    } else if (const auto *stop = std::get_if<stop_job>(&item)) {
        stopped(toNumber(stop->job), stop->attempt, attempt_end::Cancelled);
    } else if (const auto *ended = std::get_if<end_job>(&item)) {
        auto &job = jobs_[toNumber(ended->job)];
        job.over = true;
        --open_;
        ++out_.ended;
        forget(job);
    } else if (const auto *waits = std::get_if<job_waits>(&item)) {
        auto &job = jobs_[toNumber(waits->job)];
        if (waits->reason == wait_reason::PreemptionPending && job.guaranteedSinceMs < 0) {
            job.guaranteedSinceMs = nowMs_; // a reclaim has begun
            tasks_[job.info->spec.workspace] += job.info->spec.tasks;
        }
    }
}

void replayer::handle(const timed &item)
{
    if (item.what == kind::Tick) {
        step(clock_ticked {});
        if (open_ > 0) {
            push({nowMs_ + 1000, 0, kind::Tick, 0, 0, {}, {}});
        }
    } else if (item.what == kind::Sample) {
        sample();
        if (open_ > 0) {
            push({nowMs_ + 30000, 0, kind::Sample, 0, 0, {}, {}});
        }
    } else if (item.what == kind::Arrive) {
        const auto &info = load_.arrivals[item.job - 1];
        auto &job = jobs_[item.job];
        job.info = &info;
        job.waitingSinceMs = nowMs_;
        watchGuarantee(job);
        step(job_submitted {job_id {item.job}, info.spec});
    } else if (item.what == kind::Cancel) {
        if (!jobs_[item.job].over) {
            step(job_cancelled {job_id {item.job}});
        }
    } else {
        auto &job = jobs_[item.job];
        if (job.over || job.attempt != item.attempt || job.startedMs < 0) {
            return; // the attempt has already ended in another way
        }
        leave(job);
        if (item.how == attempt_end::Completed) {
            job.over = true;
            --open_;
            const auto seconds = double(nowMs_ - job.info->atMs) / 1000;
            out_.completionSeconds["all"].push_back(seconds);
            out_.completionSeconds[labelOf(job.info->spec)].push_back(seconds);
        }
        step(attempt_ended {job_id {item.job}, item.attempt, item.how, item.worker});
    }
}

// Free accelerators that tasks of the given size can use.
double replayer::room(std::uint32_t accelerators) const
{
    std::uint32_t held = 0;
    for (const auto used : used_) {
        held += (8 - used) / accelerators * accelerators;
    }
    return held;
}

void replayer::sample()
{
    std::uint64_t used = 0;
    for (const auto count : used_) {
        used += count;
    }
    const auto total = double(used_.size()) * 8;
    if (nowMs_ <= load_.arrivals.back().atMs) {
        out_.utilization += double(used) / total;
        ++samples_;
    }
    std::uint32_t largest = 0;
    std::uint32_t width = 0; // accelerators of one task of the largest gang
    for (const auto &[id, job] : jobs_) {
        const auto &spec = job.info->spec;
        if (!job.over && job.startedMs < 0 && spec.tasks > 1 && spec.task.accelerators <= 8) {
            const auto size = spec.tasks * spec.task.accelerators;
            width = size > largest ? spec.task.accelerators : width;
            largest = std::max(largest, size);
        }
    }
    const auto free = total - double(used);
    if (largest > 0 && free >= 1 && nowMs_ <= load_.arrivals.back().atMs) {
        out_.fragmentation += 1 - room(width) / free;
        ++gaps_;
    }
}

// A job is surely within its guarantee when its workspace has more cells that hold it than tasks
// that run or wait within the guarantee, since a task touches at most one cell.
void replayer::watchGuarantee(job_state &job)
{
    const auto &spec = job.info->spec;
    std::uint64_t cells = 0;
    for (const auto &owner : load_.tables.workspaces) {
        for (const auto &row : owner.guarantees) {
            const auto rows = spec.task.accelerators == 0 || spec.task.accelerators > 8
                    ? 0
                    : row.block.accelerators / spec.task.accelerators * row.block.workers;
            cells += owner.name == spec.workspace && rows >= spec.tasks ? row.count : 0;
        }
    }
    if (tasks_[spec.workspace] < cells && job.guaranteedSinceMs < 0) {
        job.guaranteedSinceMs = nowMs_;
        tasks_[spec.workspace] += spec.tasks;
    }
}

replay_result replayer::run()
{
    constexpr std::int64_t limitMs = 90LL * 24 * 3600 * 1000;
    while (!events_.empty() && nowMs_ < limitMs) {
        const auto next = events_.top();
        events_.pop();
        nowMs_ = next.at;
        handle(next);
    }
    out_.unfinished = open_;
    out_.utilization /= std::max<double>(1, double(samples_));
    out_.fragmentation /= std::max<double>(1, double(gaps_));
    return std::move(out_);
}

} // namespace

replay_result replay(const workload &load, const replay_options &options)
{
    return replayer(load, options).run();
}

} // namespace persimmon::placement::bench
