#include "batch/ledger.h"

#include <algorithm>
#include <array>

// Losses of workers that count against the tasks that they ran.
namespace persimmon::batch {

namespace {

// Confirmed losses after which a task is given up, if it has crashed a worker that it did not share
// with other jobs.
constexpr std::uint32_t maxConfirmedLosses = 3;

// Losses after which a task is given up in any case.
constexpr std::uint32_t maxCountedLosses = 4;

// Excused losses of a task that are kept. A loss that may still be corrected is among them: it is
// a minute old at most, and each takes the lease of a worker.
constexpr std::ptrdiff_t maxExcusedLosses = 16;

bool isExcused(const std::pair<const std::uint32_t, loss_record::entry> &item)
{
    return item.second.kind == run_loss::Excused;
}

void removeOldExcuses(loss_record &record)
{
    while (std::ranges::count_if(record.runs, isExcused) > maxExcusedLosses)
        record.runs.erase(std::ranges::find_if(record.runs, isExcused));
}

} // namespace

std::string_view toName(run_loss kind)
{
    static constexpr std::array<std::string_view, 3> names {"suspected", "crashed", "excused"};
    return names.at(static_cast<std::size_t>(kind));
}

std::uint32_t loss_record::counted() const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(
            runs, [](const auto &item) { return item.second.kind != run_loss::Excused; }));
}

bool loss_record::isConclusive() const
{
    const auto isConfirmed = [](const auto &item) { return item.second.kind == run_loss::Crashed; };
    const auto wasAlone = [&](const auto &item) { return isConfirmed(item) && item.second.alone; };
    return counted() >= maxCountedLosses
            || (std::ranges::count_if(runs, isConfirmed) >= maxConfirmedLosses
                && std::ranges::any_of(runs, wasAlone));
}

std::uint32_t ledger::countedLosses(const task_id &task) const
{
    const auto found = losses_.find(task);
    return found == losses_.end() ? 0 : found->second.counted();
}

const std::set<run_key> &ledger::suspectedRuns(const std::string &worker) const
{
    static const std::set<run_key> none;
    const auto found = suspicions_.find(worker);
    return found == suspicions_.end() ? none : found->second;
}

void ledger::handle(const record_losses &input)
{
    for (const auto &lost : input.runs)
        recordLoss(lost, input.wallMs);
}

// Long-running tasks are given up as well: they would crash workers for as long as they are
// restarted.
void ledger::recordLoss(const lost_run &lost, std::int64_t wallMs)
{
    const auto *task = findTask(lost.task);
    if (task == nullptr || lost.run == 0 || lost.run > task->run)
        return;
    auto &job = jobs_.at(lost.task.job);
    if (job.ended() || task->done)
        return;
    auto &record = losses_[lost.task];
    const auto [known, added] = record.runs.try_emplace(lost.run);
    auto &entry = known->second;
    if (!added && entry.kind >= lost.kind)
        return;
    entry.kind = lost.kind;
    if (added) {
        entry.alone = lost.alone;
        record.newestMs = wallMs;
    }
    if (added && lost.run == task->run) {
        entry.worker = task->worker;
        entry.incarnation = task->incarnation;
    }
    indexSuspicion({lost.task, lost.run}, entry);
    appendEvent(job,
                {wallMs, "lost", std::string(toName(lost.kind)), lost.run,
                 shortName(lost.task) + " on " + (lost.run == task->run ? task->worker : "-")});
    observer_({ledger_event_kind::RunLost, &job, {}, lost.kind});
    if (lost.kind == run_loss::Excused)
        removeOldExcuses(record);
    if (record.isConclusive())
        closeJob(job, job_state::Failed, wallMs);
}

void ledger::indexSuspicion(const run_key &run, const loss_record::entry &loss)
{
    if (loss.kind != run_loss::Suspected)
        return removeSuspicion(run, loss);
    if (!loss.worker.empty())
        suspicions_[loss.worker].insert(run);
}

void ledger::removeSuspicion(const run_key &run, const loss_record::entry &loss)
{
    const auto found = suspicions_.find(loss.worker);
    if (found == suspicions_.end())
        return;
    found->second.erase(run);
    if (found->second.empty())
        suspicions_.erase(found);
}

void ledger::forgetLosses(const std::string &job)
{
    auto item = losses_.lower_bound({job, 0, 0, 0});
    while (item != losses_.end() && item->first.job == job) {
        for (const auto &[number, loss] : item->second.runs)
            removeSuspicion({item->first, number}, loss);
        item = losses_.erase(item);
    }
}

void ledger::rebuildSuspicions()
{
    suspicions_.clear();
    for (const auto &[task, record] : losses_) {
        for (const auto &[number, loss] : record.runs)
            indexSuspicion({task, number}, loss);
    }
}

} // namespace persimmon::batch
