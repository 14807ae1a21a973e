#include "batch/loss_attribution.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <limits>
#include <set>
#include <string_view>
#include <utility>

namespace persimmon::batch {

namespace {

// Workers whose last heartbeats are no further apart were lost together. A worker that crashes has
// reported up to a heartbeat period before, or up to the time for which an answer is held.
constexpr milliseconds togetherWindow {1500};

// Fewer workers can be lost together by the tasks of several jobs.
constexpr std::size_t minCommonCause = 3;

// Losses that are compared with each other at most, so that the loss of a zone takes a bounded time
// for each worker. As many show a common cause well enough.
constexpr std::size_t maxCompared = 64;

// Losses found at the same time for which others are excused at most. Each of these covers those
// within its window, so a zone whose losses can't be excused takes a bounded time.
constexpr std::size_t maxSearches = 64;

// How often the loss of a worker under a task may be taken for the common cause of others: without
// evidence, and with some. Where workers crash all the time, there is evidence each time.
constexpr std::size_t maxExcuses = 1;
constexpr std::size_t maxExcusesWithEvidence = 2;

// Losses of a task, with those that were excused, after which it isn't started again if most of
// them count.
constexpr std::size_t maxLosses = 5;

// Of them, those that count.
constexpr std::uint32_t minCountedOfMaxLosses = 3;

// Time after which a loss can't be confirmed or excused any more.
constexpr std::chrono::minutes retention {1};

// Workers that have not reported in this term were lost before or as it began, at an unknown time.
bool isTogether(const worker_loss &left, const worker_loss &right)
{
    return left.heard == right.heard
            && std::chrono::abs(left.lastHeartbeat - right.lastHeartbeat) <= togetherWindow;
}

// Returns whether two losses can't have been one event: a worker was lost twice, or a task was
// started again between them.
bool isSequence(const worker_loss &left, const worker_loss &right)
{
    return left.worker == right.worker
            || std::ranges::any_of(left.suspects, [&right](const assignment &run) {
                   return std::ranges::any_of(right.suspects, [&run](const assignment &other) {
                       return other.task == run.task;
                   });
               });
}

// Returns whether one job had runs on all of the workers.
bool haveCommonJob(std::span<const worker_loss *const> losses)
{
    const auto jobs = losses.front()->jobs();
    return std::ranges::any_of(jobs, [&](const std::string &job) {
        return std::ranges::all_of(losses, [&](const worker_loss *loss) {
            return std::ranges::any_of(loss->runs,
                                       [&](const assignment &run) { return run.task.job == job; });
        });
    });
}

bool isCommonCause(std::span<const worker_loss *const> losses)
{
    if (losses.size() < minCommonCause || haveCommonJob(losses))
        return false;
    const auto began = std::ranges::count_if(
            losses, [](const worker_loss *loss) { return loss->unreportedRuns > 0; });
    return static_cast<std::size_t>(began) * 2 < losses.size();
}

// Returns whether tasks are unlikely to be the cause: a worker that ran nothing was lost too, or
// tasks that started apart were lost together. Suspects of several jobs are started apart for this.
bool isUnlikelyCausedByTasks(std::span<const worker_loss *const> losses)
{
    std::optional<milliseconds> shortest;
    std::optional<milliseconds> longest;
    for (const auto *loss : losses) {
        if (loss->isIdle())
            return true;
        if (!loss->suspectAge)
            continue;
        shortest = std::min(shortest.value_or(*loss->suspectAge), *loss->suspectAge);
        longest = std::max(longest.value_or(*loss->suspectAge), *loss->suspectAge);
    }
    return shortest && *longest - *shortest > togetherWindow;
}

// Returns what is known of a task after some more of its losses were recorded.
loss_record recordAfter(const std::map<task_id, loss_record> &losses, const task_id &task,
                        std::span<const lost_run> runs)
{
    const auto known = losses.find(task);
    auto record = known == losses.end() ? loss_record {} : known->second;
    for (const auto &lost : runs) {
        if (lost.task != task)
            continue;
        auto &entry = record.runs.try_emplace(lost.run, loss_record::entry {lost.kind, lost.alone})
                              .first->second;
        entry.kind = std::max(entry.kind, lost.kind);
    }
    return record;
}

void append(const worker_loss &loss, run_loss kind, std::vector<lost_run> &runs)
{
    const bool alone = std::ranges::all_of(loss.suspects, [&](const assignment &run) {
        return run.task.job == loss.suspects.front().task.job;
    });
    for (const auto &run : loss.suspects)
        runs.push_back({run.task, run.run, kind, alone});
}

} // namespace

std::vector<lost_run> loss_attribution::add(std::vector<worker_loss> losses,
                                            const fleet_state &fleet, time_point now)
{
    prune(now);
    std::vector<lost_run> runs;
    std::vector<std::multimap<std::string, entry>::const_iterator> added;
    for (auto &loss : losses) {
        if (loss.evidence == loss_evidence::Left)
            continue;
        if (isKnown(loss.worker, loss.incarnation)) {
            if (loss.evidence != loss_evidence::Silent)
                std::ranges::copy(recordRestart(loss.worker, loss.incarnation),
                                  std::back_inserter(runs));
            continue;
        }
        auto worker = loss.worker;
        added.push_back(recent_.emplace(std::move(worker), entry {std::move(loss), now, false}));
    }
    std::size_t searches = 0;
    for (const auto &item : added) {
        if (item->second.excused)
            continue; // together with an earlier one
        const auto &loss = item->second.loss;
        const auto together = lostTogether(loss, fleet);
        if (isCommonCause(together) && ++searches <= maxSearches)
            excuse(loss, fleet, allowedExcuses(loss, fleet, together), runs);
        if (item->second.excused)
            continue;
        append(loss,
               loss.evidence == loss_evidence::Silent ? run_loss::Suspected : run_loss::Crashed,
               runs);
    }
    return runs;
}

bool loss_attribution::isKnown(const std::string &worker, std::int64_t incarnation) const
{
    const auto [begin, end] = recent_.equal_range(worker);
    return std::any_of(begin, end, [incarnation](const auto &item) {
        return item.second.loss.incarnation == incarnation;
    });
}

// Returns losses that may have the cause of a known loss, including it. A worker that was lost
// twice and a task that was started again between two losses count once.
std::vector<const worker_loss *> loss_attribution::lostTogether(const worker_loss &loss,
                                                                const fleet_state &fleet) const
{
    std::vector<const worker_loss *> together {&loss};
    std::set<std::string_view> workers {loss.worker};
    std::set<task_id> suspects;
    for (const auto &run : loss.suspects)
        suspects.insert(run.task);
    const auto isSuspect = [&](const assignment &run) { return suspects.contains(run.task); };
    const auto add = [&](const worker_loss &other) {
        if (!isTogether(other, loss) || std::ranges::any_of(other.suspects, isSuspect)
            || !workers.insert(other.worker).second)
            return;
        for (const auto &run : other.suspects)
            suspects.insert(run.task);
        together.push_back(&other);
    };
    for (const auto &[worker, other] : recent_) {
        if (together.size() >= maxCompared)
            return together;
        add(other.loss);
    }
    for (const auto &other : fleet.silent) {
        if (together.size() >= maxCompared)
            return together;
        if (!isKnown(other.worker, other.incarnation))
            add(other);
    }
    return together;
}

// Returns the number of workers that were lost together with one, including it.
std::size_t loss_attribution::countTogether(const worker_loss &loss, const fleet_state &fleet) const
{
    std::set<std::string_view> workers;
    for (const auto &[worker, other] : recent_) {
        if (isTogether(other.loss, loss))
            workers.insert(worker);
    }
    for (const auto &other : fleet.silent) {
        if (isTogether(other, loss))
            workers.insert(other.worker);
    }
    return workers.size();
}

// Returns how many losses of a task may be excused if a loss and those together with it are. What
// takes most workers and isn't likely to be caused by tasks is none of them, however often.
std::size_t loss_attribution::allowedExcuses(const worker_loss &loss, const fleet_state &fleet,
                                             std::span<const worker_loss *const> together) const
{
    if (!isUnlikelyCausedByTasks(together))
        return maxExcuses;
    return countTogether(loss, fleet) * 2 > fleet.workers ? std::numeric_limits<std::size_t>::max()
                                                          : maxExcusesWithEvidence;
}

// Returns how many losses of a task were excused, beside that of one run. The newest excuses may
// not be committed yet.
std::size_t loss_attribution::excusesOf(const assignment &run, const fleet_state &fleet) const
{
    std::set<std::uint32_t> excused;
    if (const auto recent = excused_.find(run.task); recent != excused_.end())
        excused = recent->second;
    if (const auto record = fleet.recorded.find(run.task); record != fleet.recorded.end()) {
        for (const auto &[number, entry] : record->second.runs) {
            if (entry.kind == run_loss::Excused)
                excused.insert(number);
        }
    }
    excused.erase(run.run);
    return excused.size();
}

// Excuses the runs of a loss and of all others within the window around it. Those with a task that
// was excused as often as allowed are left out.
void loss_attribution::excuse(const worker_loss &loss, const fleet_state &fleet,
                              std::size_t allowed, std::vector<lost_run> &runs)
{
    const auto isExcusable = [&](const assignment &run) { return excusesOf(run, fleet) < allowed; };
    for (auto &[worker, other] : recent_) {
        const bool mayShareCause = &other.loss == &loss
                || (isTogether(other.loss, loss) && !isSequence(other.loss, loss));
        if (!mayShareCause || other.excused
            || !std::ranges::all_of(other.loss.suspects, isExcusable))
            continue;
        other.excused = true;
        append(other.loss, run_loss::Excused, runs);
        for (const auto &run : other.loss.suspects)
            excused_[run.task].insert(run.run);
    }
}

std::vector<lost_run> loss_attribution::recordRestart(const std::string &worker,
                                                      std::int64_t incarnation)
{
    std::vector<lost_run> runs;
    const auto [begin, end] = recent_.equal_range(worker);
    for (auto item = begin; item != end; ++item) {
        auto &[loss, foundAt, excused] = item->second;
        if (excused || loss.incarnation > incarnation || loss.evidence != loss_evidence::Silent)
            continue;
        append(loss, run_loss::Crashed, runs);
        loss.evidence = loss_evidence::Restarted;
    }
    return runs;
}

// The worker may be lost once more, so what is known of this loss is dropped.
std::vector<lost_run> loss_attribution::recordReturn(const std::string &worker,
                                                     std::int64_t incarnation)
{
    std::vector<lost_run> runs;
    auto [item, end] = recent_.equal_range(worker);
    while (item != end) {
        if (item->second.loss.incarnation != incarnation) {
            ++item;
            continue;
        }
        if (!item->second.excused)
            append(item->second.loss, run_loss::Excused, runs);
        item = recent_.erase(item);
    }
    return runs;
}

void loss_attribution::prune(time_point now)
{
    const auto isOld = [now](const auto &item) { return item.second.foundAt + retention < now; };
    if (std::erase_if(recent_, isOld) == 0)
        return;
    excused_.clear();
    for (const auto &[worker, item] : recent_) {
        if (!item.excused)
            continue;
        for (const auto &run : item.loss.suspects)
            excused_[run.task].insert(run.run);
    }
}

void confirmLastSuspicions(const std::map<task_id, loss_record> &losses,
                           std::vector<lost_run> &runs)
{
    std::set<task_id> tasks;
    for (const auto &lost : runs)
        tasks.insert(lost.task);
    for (const auto &task : tasks) {
        const auto record = recordAfter(losses, task, runs);
        if (record.runs.size() < maxLosses || record.counted() < minCountedOfMaxLosses)
            continue;
        for (auto &lost : runs)
            lost.alone |= lost.task == task;
        for (const auto &[run, entry] : record.runs) {
            if (entry.kind == run_loss::Suspected)
                runs.push_back({task, run, run_loss::Crashed, true});
        }
    }
}

} // namespace persimmon::batch
