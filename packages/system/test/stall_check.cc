#include "stall_check.h"

#include <algorithm>
#include <limits>

namespace persimmon::system_test {

namespace {

// Bounds of the users' page, with contact_ms, cancel_ms and stop_ms of their sites.
constexpr std::int64_t stallMs = 3000;
constexpr std::int64_t calmBeforeMs = 4000;
constexpr std::int64_t visibleMs = 3000;
constexpr std::int64_t cancelledMs = 4000 + 900;

// A job whose last task has ended is shown so in the time in which all nodes see what was
// confirmed. An end whose confirmation was lost may have to be run again first, which starts in the
// time of a stall.
constexpr std::int64_t shownEndMs = visibleMs + stallMs;

std::string nameOf(const std::string &job, std::int64_t index)
{
    return job + ".0.0." + std::to_string(index);
}

int countOf(const std::map<std::string, int> &counts, const std::string &task)
{
    const auto found = counts.find(task);
    return found == counts.end() ? 0 : found->second;
}

bool isTaskRunning(const platform::standin_fleet &fleet, const std::string &task)
{
    return std::ranges::any_of(fleet.workers, [&task](const platform::standin_worker &worker) {
        return worker.up && worker.running.contains(task);
    });
}

// Returns how many tasks of a job fit beside all that runs on a worker, what is stopping included.
std::int64_t roomOn(const platform::standin_worker &worker, const platform::standin_job &job)
{
    auto cpu = worker.capacity;
    auto gpu = worker.gpu;
    for (const auto &[task, run] : worker.running) {
        cpu -= run.cpu;
        gpu -= run.gpu;
    }
    auto room = std::numeric_limits<std::int64_t>::max();
    if (job.cpu > 0)
        room = std::min(room, cpu / job.cpu);
    if (job.gpu > 0)
        room = std::min(room, gpu / job.gpu);
    return std::max<std::int64_t>(0, room);
}

} // namespace

stall_check::survey stall_check::surveyOf(const std::string &job) const
{
    survey found;
    for (std::int64_t i = 0; i < fleet_.jobs.at(job).count; ++i) {
        const auto task = nameOf(job, i);
        found.running = found.running || isTaskRunning(fleet_, task);
        found.gaveUp = found.gaveUp || countOf(fleet_.failedRuns, task) >= attempts;
        found.unsettled = found.unsettled || fleet_.unsettledTasks.contains(task);
        if (found.waiting.empty() && !fleet_.doneRuns.contains(task))
            found.waiting = task;
    }
    return found;
}

std::int64_t stall_check::roomFor(const platform::standin_job &job) const
{
    std::int64_t room = 0;
    for (const auto &worker : fleet_.workers) {
        if (worker.up && !worker.draining)
            room += roomOn(worker, job);
    }
    return room;
}

// Returns how long something has lasted without a disturbance in that time or shortly before.
std::int64_t stall_check::calmFor(std::int64_t sinceMs, std::int64_t nowMs) const
{
    return sinceMs < 0 ? 0 : nowMs - std::max(sinceMs, disturbedMs_ + calmBeforeMs);
}

void stall_check::update(std::int64_t nowMs)
{
    for (auto &[id, job] : jobs_)
        updateJob(id, job, nowMs);
}

void stall_check::updateJob(const std::string &id, followed_job &job, std::int64_t nowMs)
{
    if (job.shownEnd && !job.cancelling)
        return;
    const auto found = surveyOf(id);
    if (job.cancelling) {
        if (job.goneMs >= 0 && found.running && calmFor(job.goneMs, nowMs) >= cancelledMs)
            violations_["cancel " + id] = id + " runs after its cancel";
        return;
    }
    const auto &shape = fleet_.jobs.at(id);
    const auto unit = shape.gang ? shape.count : 1;
    const bool hasRoom = roomFor(shape) >= 2 * unit;
    const bool hasWork = !found.waiting.empty() && !found.gaveUp;
    const auto follow = [nowMs](std::int64_t &since, bool holds) {
        since = !holds ? -1 : since < 0 ? nowMs : since;
    };
    follow(job.stallSinceMs, hasWork && !found.running && hasRoom);
    follow(job.endSinceMs, !hasWork && !found.running && (hasRoom || !found.unsettled));
    checkStall(id, job, found, nowMs);
}

void stall_check::checkStall(const std::string &id, const followed_job &job, const survey &found,
                             std::int64_t nowMs)
{
    longestStallMs_ = std::max(longestStallMs_, calmFor(job.stallSinceMs, nowMs));
    if (calmFor(job.stallSinceMs, nowMs) >= stallMs) {
        violations_["stall " + id] = found.waiting + " of " + id + " has waited "
                + std::to_string(nowMs - job.stallSinceMs) + " ms, of them calm "
                + std::to_string(calmFor(job.stallSinceMs, nowMs)) + " ms, beside room for "
                + std::to_string(roomFor(fleet_.jobs.at(id))) + ", runs so far "
                + std::to_string(countOf(fleet_.startedRuns, found.waiting)) + ", accepted "
                + std::to_string(nowMs - job.acceptedMs) + " ms ago";
    }
    if (calmFor(job.endSinceMs, nowMs) >= shownEndMs) {
        violations_["end " + id] = id + " isn't shown as ended "
                + std::to_string(nowMs - job.endSinceMs) + " ms after its last run"
                + (found.unsettled ? ", an end is unsettled" : "");
    }
}

void stall_check::show(const std::string &job, const std::string &state, std::int64_t sentMs)
{
    auto &item = jobs_.at(job);
    const auto found = surveyOf(job);
    if (state.empty() && !item.cancelling && calmFor(item.acceptedMs, sentMs) >= visibleMs)
        violations_["known " + job] = job + " is accepted, but unknown";
    if (state == "done" && !found.waiting.empty())
        violations_["done " + job] = job + " is shown as done before the end of " + found.waiting;
    if (state == "failed" && !found.gaveUp)
        violations_["failed " + job] = job + " is shown as failed without a cause";
    if (state == "cancelled" && !item.cancelling)
        violations_["cancelled " + job] = job + " is shown as cancelled without a cause";
    item.shownEnd = item.shownEnd || state == "done" || state == "failed" || state == "cancelled";
}

bool stall_check::hasEnded(const std::string &job) const
{
    const auto found = surveyOf(job);
    return !found.running && (found.waiting.empty() || found.gaveUp);
}

std::vector<std::string> stall_check::violations() const
{
    std::vector<std::string> texts;
    for (const auto &[key, text] : violations_)
        texts.push_back(text);
    return texts;
}

} // namespace persimmon::system_test
