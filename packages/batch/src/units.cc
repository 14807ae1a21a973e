#include "units.h"

#include "preemption_timing.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>

namespace persimmon::batch::detail {

namespace {

// Completing an occurrence has no value once this many times its objective has passed.
constexpr std::int64_t finalDeadlineObjectives = 3;

// A suspect that finds no worker of its own, or if it is long-running none without other suspects,
// for this time is started beside others.
constexpr std::int64_t isolationWaitMs = 2000;

// The same for a suspect that isn't long-running and finds no worker without other suspects.
constexpr std::int64_t separationWaitMs = 10'000;

// Suspects of every second job wait for this time. It is longer than the times between losses that
// are taken for one, so that jobs that crash workers are told from a common cause.
constexpr std::int64_t startApartMs = 2500;

// Returns whether less than a limit has passed since the newest loss. The clock may have been set
// back since then.
bool isWithin(const loss_record &record, std::int64_t limitMs, std::int64_t wallMs)
{
    return wallMs >= record.newestMs && wallMs < record.newestMs + limitMs;
}

// Returns every second job with a suspect.
std::set<std::string_view> jobsToStartLater(const ledger &state)
{
    std::set<std::string_view> later;
    std::string_view previous;
    bool isSecond = true;
    for (const auto &[task, record] : state.losses()) {
        if (record.counted() == 0 || task.job == previous)
            continue;
        previous = task.job;
        isSecond = !isSecond;
        if (isSecond)
            later.insert(task.job);
    }
    return later;
}

// What is common to the units of a pass.
struct collection
{
    const schedule_input &input;
    std::set<std::string_view> startLater;
    std::vector<unit> units;
};

// Marks a unit if a worker was lost under one of its tasks.
void markSuspected(const task_id &task, const collection &all, unit &item)
{
    const auto &losses = all.input.state->losses();
    const auto found = losses.find(task);
    if (found == losses.end() || found->second.counted() == 0)
        return;
    const auto wallMs = all.input.wallMs;
    item.suspected = true;
    item.keptApart |= isWithin(found->second,
                               item.spec->longRunning ? isolationWaitMs : separationWaitMs, wallMs);
    item.isLikelyCause |= found->second.counted() >= isolationLosses;
    item.isolated |= found->second.counted() >= isolationLosses
            && isWithin(found->second, isolationWaitMs, wallMs);
    item.startsLater
            |= all.startLater.contains(task.job) && isWithin(found->second, startApartMs, wallMs);
}

void addGang(const step_state &step, unit item, collection &all)
{
    if (step.activeCount > 0)
        return;
    item.lastAttempt = step.failedRuns > 0 && step.failedRuns + 1 >= item.job->source.attempts;
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
        item.indexes.push_back(i);
        if (step.tasks[i].failures > 0)
            item.avoidedWorkers.push_back(step.tasks[i].failedOn);
        auto task = item.first;
        task.index = i;
        markSuspected(task, all, item);
    }
    all.units.push_back(std::move(item));
}

void addTasks(const step_state &step, const unit &base, collection &all)
{
    unit fresh = base;
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
        const auto &task = step.tasks[i];
        if (task.done || task.active)
            continue;
        unit retried = base;
        retried.first.index = i;
        markSuspected(retried.first, all, retried);
        if (task.failures == 0 && !retried.suspected) {
            fresh.indexes.push_back(i);
            continue;
        }
        retried.indexes = {i};
        if (task.failures > 0)
            retried.avoidedWorkers = {task.failedOn};
        retried.lastAttempt = task.failures > 0 && task.failures + 1 >= base.job->source.attempts;
        all.units.push_back(std::move(retried));
    }
    if (fresh.indexes.empty())
        return;
    fresh.first.index = fresh.indexes.front();
    all.units.push_back(std::move(fresh));
}

// Returns the most accelerators that one occurrence of a job uses at once if its steps run one
// after another.
std::int64_t maxStepAccelerators(const job_record &job)
{
    std::int64_t maxAccelerators = 0;
    for (const auto &step : job.spec.steps)
        maxAccelerators
                = std::max(maxAccelerators, std::int64_t {step.count} * step.need.accelerators);
    return maxAccelerators;
}

std::int64_t runningAccelerators(const job_record &job)
{
    std::int64_t running = 0;
    for (const auto &steps : job.occurrences) {
        for (std::size_t i = 0; i < steps.size(); ++i)
            running += std::int64_t {steps[i].activeCount} * job.spec.steps[i].need.accelerators;
    }
    return running;
}

// Returns for each step the expected time from its start to the end of the job.
std::vector<std::int64_t> timesToEnd(const job_spec &spec)
{
    std::vector<std::int64_t> times(spec.steps.size());
    for (auto i = spec.steps.size(); i-- > 0;) {
        times[i] += spec.steps[i].estimateMs;
        for (const auto dependency : spec.steps[i].dependsOn)
            times[dependency] = std::max(times[dependency], times[i]);
    }
    return times;
}

void addUnits(const job_record &job, bool guaranteed, collection &all)
{
    const auto wallMs = all.input.wallMs;
    const auto objective = job.objectiveMs();
    const auto toEnd = timesToEnd(job.spec);
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence) {
        if (scheduledMs(job, occurrence) > wallMs)
            break;
        const auto due = dueMs(job, occurrence);
        for (std::uint32_t stepIndex = 0; stepIndex < job.occurrences[occurrence].size();
             ++stepIndex) {
            const auto &spec = job.spec.steps[stepIndex];
            const auto &step = job.occurrences[occurrence][stepIndex];
            if (step.doneCount + step.activeCount >= step.tasks.size()
                || !isReady(job, occurrence, spec))
                continue;
            unit base;
            base.job = &job;
            base.spec = &spec;
            base.first = {job.id, occurrence, stepIndex, 0};
            base.latestStartMs = due + objective - toEnd[stepIndex];
            base.latestLateStartMs = finalDeadlineMs(job, occurrence) - toEnd[stepIndex];
            base.preemptFromMs
                    = preemptFromMs({due, base.latestStartMs, base.latestLateStartMs, guaranteed});
            base.patienceMs = base.preemptFromMs - due;
            // Long-running tasks have value for as long as they run.
            base.pastFinalDeadline = !spec.longRunning && wallMs > finalDeadlineMs(job, occurrence);
            base.guaranteed = guaranteed;
            if (spec.gang)
                addGang(step, std::move(base), all);
            else
                addTasks(step, base, all);
        }
    }
}

} // namespace

bool isReady(const job_record &job, std::uint32_t occurrence, const step_spec &spec)
{
    return std::ranges::all_of(spec.dependsOn, [&](std::uint32_t dependency) {
        return job.occurrences[occurrence][dependency].done();
    });
}

std::int64_t scheduledMs(const job_record &job, std::uint32_t occurrence)
{
    return job.spec.firstDueMs + static_cast<std::int64_t>(occurrence) * job.spec.intervalMs;
}

std::int64_t dueMs(const job_record &job, std::uint32_t occurrence)
{
    return std::max(job.acceptedMs, scheduledMs(job, occurrence));
}

std::int64_t finalDeadlineMs(const job_record &job, std::uint32_t occurrence)
{
    return dueMs(job, occurrence) + finalDeadlineObjectives * job.objectiveMs();
}

std::map<std::string, urgent_use> urgentUse(const ledger &state)
{
    std::map<std::string, urgent_use> uses;
    for (const auto &owner : state.currentConfiguration().tenants)
        uses[owner.name].reserved = owner.reservedAccelerators;
    state.forEachOpenJob([&uses](const job_record &job) {
        if (job.source.priority != 0 || job.tenant.empty())
            return;
        auto &use = uses[job.tenant];
        use.running += runningAccelerators(job);
        if (!job.ended())
            use.wanted += maxStepAccelerators(job);
    });
    return uses;
}

std::vector<unit> collectUnits(const schedule_input &input,
                               const std::map<std::string, urgent_use> &uses)
{
    collection all {input, jobsToStartLater(*input.state), {}};
    input.state->forEachOpenJob([&](const job_record &job) {
        if (job.ended())
            return;
        const auto use = uses.find(job.tenant);
        const bool guaranteed
                = job.source.priority == 0 && use != uses.end() && use->second.withinReservation();
        addUnits(job, guaranteed, all);
    });
    std::ranges::stable_sort(all.units, {}, [](const unit &item) {
        return std::tuple(!item.guaranteed, item.pastFinalDeadline, item.job->source.priority,
                          item.latestStartMs);
    });
    return std::move(all.units);
}

} // namespace persimmon::batch::detail
