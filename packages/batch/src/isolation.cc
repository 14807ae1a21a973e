#include "scheduler-pass.h"

#include <algorithm>

// Keeps tasks under which a worker was lost apart from each other and, after a second loss, from
// all other jobs, so that the next loss tells which task is the cause and takes nothing else with
// it.
namespace persimmon::batch {

namespace {

// A task that has worked for this long isn't kept apart from others any more.
constexpr std::chrono::seconds isolationTime {10};

} // namespace

void scheduler::pass::collectSuspects()
{
    for (const auto &[task, record] : input_.state->losses()) {
        const auto &state = input_.state->findJob(task.job)->taskOf(task);
        const auto worker = workerIndexes_.find(state.worker);
        if (!state.active || record.counted() == 0 || worker == workerIndexes_.end()
            || hasWorkedForLong(task))
            continue;
        auto &there = suspectsOn_[worker->second];
        there.jobs.insert(task.job);
        there.isolated |= record.counted() >= detail::isolationLosses
                && !runsOtherJobs(worker->second, task.job);
    }
}

bool scheduler::pass::hasWorkedForLong(const task_id &task) const
{
    const auto &state = input_.state->findJob(task.job)->taskOf(task);
    const auto progress = input_.progress({task, state.run, state.worker, state.incarnation});
    return progress && progress->started + isolationTime <= input_.now;
}

bool scheduler::pass::runsOtherJobs(std::size_t worker, std::string_view job) const
{
    const auto isOther = [job](std::string_view other) { return other != job; };
    const auto started = startedJobs_.find(worker);
    if (started != startedJobs_.end() && std::ranges::any_of(started->second, isOther))
        return true;
    return std::ranges::any_of(input_.state->runsOn(reportOf(worker).id),
                               [&](const auto &item) { return isOther(item.first.job); });
}

std::size_t scheduler::pass::runCount(std::size_t worker) const
{
    const auto started = startedJobs_.find(worker);
    return input_.state->runsOn(reportOf(worker).id).size()
            + (started == startedJobs_.end() ? 0 : started->second.size());
}

// Long-running work must not wait for long, so it isn't kept off isolated workers.
bool scheduler::pass::mayShare(const unit &item, std::size_t worker) const
{
    if (item.waived.isolation)
        return true;
    const auto &job = item.job->id;
    const auto there = suspectsOn_.find(worker);
    const bool isolatedThere
            = there != suspectsOn_.end() && there->second.isolated && !item.spec->longRunning;
    if (there != suspectsOn_.end() && (isolatedThere || item.keptApart)
        && std::ranges::any_of(there->second.jobs,
                               [&job](std::string_view other) { return other != job; }))
        return false;
    return !item.isolated || !runsOtherJobs(worker, job);
}

} // namespace persimmon::batch
