#include "replay.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <queue>
#include <unordered_map>

namespace persimmon::placement::bench {

namespace {

constexpr std::int64_t checkpointMs = 2000;
constexpr std::int64_t urgentClaimLimitMs = 5500;

enum class event_kind : std::uint8_t { Arrive, Cancel, End, Tick, Sample };

struct timed_event
{
    std::int64_t at = 0;
    std::uint64_t order = 0;
    event_kind kind = event_kind::Tick;
    std::uint64_t job = 0;
    std::uint32_t attempt = 0;
    attempt_end how = attempt_end::Completed;
    std::string worker;

    friend bool operator>(const timed_event &left, const timed_event &right)
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
    std::int64_t guaranteedSinceMs = -1; // start of a wait within its guarantee; -1: none
    bool finished = false;
};

// Drives one scheduler and simulates the workers: jobs end after their run time, faulty workers
// fail every job, preempted jobs stop within the deadline, and 9 of 10 resume from their
// checkpoint.
class replayer
{
public:
    replayer(const workload &load, const replay_options &options);
    replay_result run();

private:
    void push(timed_event item);
    void handle(const timed_event &item);
    void step(const event &input);
    void apply(const action &item);
    void onPlaced(const place_job &placed);
    void scheduleStop(std::uint64_t job, std::uint32_t attempt, attempt_end how);
    void releaseWorkers(job_state &job);
    void stopTrackingGuarantee(job_state &job);
    void sample();
    void trackGuarantee(job_state &job);
    double usableAccelerators(std::uint32_t accelerators) const;
    static std::string labelOf(const job_spec &spec);

    const workload &load_;
    replay_result result_;
    std::unique_ptr<scheduler> core_;
    std::priority_queue<timed_event, std::vector<timed_event>, std::greater<>> events_;
    std::uint64_t lastOrder_ = 0;
    std::int64_t nowMs_ = 0;
    std::unordered_map<std::uint64_t, job_state> jobs_;
    std::unordered_map<std::string, std::size_t> workerByName_;
    std::vector<std::uint32_t> used_;
    // By workspace: tasks that run or wait within the guarantee.
    std::map<std::string, std::uint64_t> tasks_;
    std::uint64_t samples_ = 0;
    std::uint64_t fragmentationSamples_ = 0; // samples with a waiting gang and free accelerators
    std::size_t unfinished_ = 0;
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
        push({item.atMs, 0, event_kind::Arrive, item.job, 0, {}, {}});
        if (item.cancelMs > 0) {
            push({item.cancelMs, 0, event_kind::Cancel, item.job, 0, {}, {}});
        }
    }
    push({1000, 0, event_kind::Tick, 0, 0, {}, {}});
    push({30000, 0, event_kind::Sample, 0, 0, {}, {}});
    unfinished_ = load.arrivals.size();
}

void replayer::push(timed_event item)
{
    item.order = ++lastOrder_;
    events_.push(std::move(item));
}

void replayer::step(const event &input)
{
    const auto begin = std::chrono::steady_clock::now();
    const auto actions = core_->step(time_point(milliseconds(nowMs_)), input);
    const auto end = std::chrono::steady_clock::now();
    result_.decisionMicros.push_back(
            std::chrono::duration<double, std::micro>(end - begin).count());
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

void replayer::releaseWorkers(job_state &job)
{
    for (const auto &worker : job.workers) {
        used_[workerByName_[worker]] -= job.info->spec.task.accelerators;
    }
    tasks_[job.info->spec.workspace] -= job.workers.size();
    job.workers.clear();
    job.startedMs = -1;
    job.waitingSinceMs = nowMs_;
}

// Stops tracking a wait within the guarantee.
void replayer::stopTrackingGuarantee(job_state &job)
{
    if (job.guaranteedSinceMs >= 0) {
        tasks_[job.info->spec.workspace] -= job.info->spec.tasks;
    }
    job.guaranteedSinceMs = -1;
}

void replayer::onPlaced(const place_job &placed)
{
    auto &job = jobs_[toNumber(placed.job)];
    job.workers = placed.workers;
    job.attempt = placed.attempt;
    job.startedMs = nowMs_;
    const auto &spec = job.info->spec;
    if (spec.tasks * spec.task.accelerators > 32) {
        const auto waited = double(nowMs_ - job.waitingSinceMs) / 1000;
        result_.longestLargeWait = std::max(result_.longestLargeWait, waited);
    }
    if (job.guaranteedSinceMs >= 0) {
        const auto waited = nowMs_ - job.guaranteedSinceMs;
        const auto urgent = placed.reason == "after preemption";
        result_.guaranteeStarts += urgent ? 0 : 1;
        result_.guaranteeWaits += !urgent && waited > checkpointMs ? 1 : 0;
        result_.urgentClaims += urgent ? 1 : 0;
        result_.lateUrgentClaims += urgent && waited > urgentClaimLimitMs ? 1 : 0;
    }
    stopTrackingGuarantee(job);
    tasks_[spec.workspace] += spec.tasks;
    timed_event end {nowMs_ + job.info->runMs - job.doneMs,
                     0,
                     event_kind::End,
                     job.info->job,
                     job.attempt,
                     {},
                     {}};
    for (const auto &worker : placed.workers) {
        used_[workerByName_[worker]] += spec.task.accelerators;
        if (job.info->alwaysFails || load_.faulty[workerByName_[worker]]) {
            end.at = nowMs_ + 3000;
            end.how = attempt_end::TaskFailed;
            end.worker = worker;
        }
    }
    push(std::move(end));
}

void replayer::scheduleStop(std::uint64_t id, std::uint32_t attempt, attempt_end how)
{
    auto &job = jobs_[id];
    if (how == attempt_end::Preempted) {
        ++result_.preemptions;
        const auto size = job.info->spec.tasks * job.info->spec.task.accelerators;
        const auto done = nowMs_ - job.startedMs;
        // One job in 10 misses the checkpoint deadline and loses the progress of the attempt; the
        // others lose 5 s to the restart.
        const auto saved = id % 10 == 0 ? 0 : std::max<std::int64_t>(done - 5000, 0);
        job.doneMs += saved;
        result_.lostAcceleratorHours += double(done - saved) / 3600000 * size;
    }
    // A checkpoint takes between 0.5 s and the full deadline, depending only on the job id.
    const auto delay = how == attempt_end::Cancelled ? 500 : 500 + std::int64_t(id * 7919 % 1500);
    push({nowMs_ + delay, 0, event_kind::End, id, attempt, how, {}});
}

void replayer::apply(const action &item)
{
    if (const auto *placed = std::get_if<place_job>(&item)) {
        onPlaced(*placed);
    } else if (const auto *preempted = std::get_if<preempt_job>(&item)) {
        scheduleStop(toNumber(preempted->job), preempted->attempt, attempt_end::Preempted);
    } else if (const auto *stop = std::get_if<stop_job>(&item)) {
        scheduleStop(toNumber(stop->job), stop->attempt, attempt_end::Cancelled);
    } else if (const auto *ended = std::get_if<end_job>(&item)) {
        auto &job = jobs_[toNumber(ended->job)];
        job.finished = true;
        --unfinished_;
        ++result_.ended;
        stopTrackingGuarantee(job);
    } else if (const auto *waits = std::get_if<job_waits>(&item)) {
        auto &job = jobs_[toNumber(waits->job)];
        if (waits->reason == wait_reason::PreemptionPending && job.guaranteedSinceMs < 0) {
            job.guaranteedSinceMs = nowMs_; // a claim is pending
            tasks_[job.info->spec.workspace] += job.info->spec.tasks;
        }
    }
}

void replayer::handle(const timed_event &item)
{
    if (item.kind == event_kind::Tick) {
        step(clock_ticked {});
        if (unfinished_ > 0) {
            push({nowMs_ + 1000, 0, event_kind::Tick, 0, 0, {}, {}});
        }
    } else if (item.kind == event_kind::Sample) {
        sample();
        if (unfinished_ > 0) {
            push({nowMs_ + 30000, 0, event_kind::Sample, 0, 0, {}, {}});
        }
    } else if (item.kind == event_kind::Arrive) {
        const auto &info = load_.arrivals[item.job - 1];
        auto &job = jobs_[item.job];
        job.info = &info;
        job.waitingSinceMs = nowMs_;
        trackGuarantee(job);
        step(job_submitted {job_id {item.job}, info.spec});
    } else if (item.kind == event_kind::Cancel) {
        if (!jobs_[item.job].finished) {
            step(job_cancelled {job_id {item.job}});
        }
    } else {
        auto &job = jobs_[item.job];
        if (job.finished || job.attempt != item.attempt || job.startedMs < 0) {
            return; // the attempt has already ended
        }
        releaseWorkers(job);
        if (item.how == attempt_end::Completed) {
            job.finished = true;
            --unfinished_;
            const auto seconds = double(nowMs_ - job.info->atMs) / 1000;
            result_.completionSeconds["all"].push_back(seconds);
            result_.completionSeconds[labelOf(job.info->spec)].push_back(seconds);
        }
        step(attempt_ended {job_id {item.job}, item.attempt, item.how, item.worker});
    }
}

// Returns the number of free accelerators that tasks of the given size can use.
double replayer::usableAccelerators(std::uint32_t accelerators) const
{
    std::uint32_t usable = 0;
    for (const auto used : used_) {
        usable += (8 - used) / accelerators * accelerators;
    }
    return usable;
}

void replayer::sample()
{
    std::uint64_t used = 0;
    for (const auto count : used_) {
        used += count;
    }
    const auto total = double(used_.size()) * 8;
    if (nowMs_ <= load_.arrivals.back().atMs) {
        result_.utilization += double(used) / total;
        ++samples_;
    }
    std::uint32_t largest = 0;
    std::uint32_t taskSize = 0; // accelerators of one task of the largest gang
    for (const auto &[id, job] : jobs_) {
        const auto &spec = job.info->spec;
        if (!job.finished && job.startedMs < 0 && spec.tasks > 1 && spec.task.accelerators <= 8) {
            const auto size = spec.tasks * spec.task.accelerators;
            taskSize = size > largest ? spec.task.accelerators : taskSize;
            largest = std::max(largest, size);
        }
    }
    const auto free = total - double(used);
    if (largest > 0 && free >= 1 && nowMs_ <= load_.arrivals.back().atMs) {
        result_.fragmentation += 1 - usableAccelerators(taskSize) / free;
        ++fragmentationSamples_;
    }
}

// Tracks the wait of a job that is certain to be within its guarantee: its workspace has more cells
// that can hold it than tasks that run or wait within the guarantee, and a task uses at most one
// cell.
void replayer::trackGuarantee(job_state &job)
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
    result_.unfinished = unfinished_;
    result_.utilization /= std::max<double>(1, double(samples_));
    result_.fragmentation /= std::max<double>(1, double(fragmentationSamples_));
    return std::move(result_);
}

} // namespace

replay_result replay(const workload &load, const replay_options &options)
{
    return replayer(load, options).run();
}

} // namespace persimmon::placement::bench
