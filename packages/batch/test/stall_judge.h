#pragma once

#include "crash_fleet.h"

#include <deque>

namespace persimmon::batch {

// Finds jobs of which nothing runs on any worker that is up while a ready task is missing, beside
// room for it twice over that stands for 3 s, with no disturbance in that time or in the 4 s before
// it. Each task that lasts counts by itself, from 6 s after its last run. What a job waits for
// doesn't matter, nor how full the fleet is.
class stall_judge
{
public:
    // Records a disturbance at this moment.
    void recordDisturbance(const crash_fleet &fleet) { disturbedMs_ = fleet.leader.wallMs; }

    // Looks at the fleet, in steps of at most 100 ms. Returns a description of a job that stalls.
    std::optional<std::string> look(const crash_fleet &fleet)
    {
        nowMs_ = fleet.leader.wallMs;
        recordRooms(fleet);
        collectMissing(fleet);
        for (const auto &[task, sinceMs] : missing_) {
            if (nowMs_ - sinceMs < stallMs || nowMs_ - disturbedMs_ < stallMs + calmMs)
                continue;
            const auto &spec = fleet.leader.state.findJob(task.job)->spec.steps[task.step];
            const auto room = standingRoom(fleet, task, spec);
            if (room < wantedRoom(spec))
                continue;
            return task.job + "." + shortName(task) + " is missing for "
                    + std::to_string(nowMs_ - sinceMs) + " ms beside room for "
                    + std::to_string(room) + " at " + std::to_string(nowMs_);
        }
        return std::nullopt;
    }

private:
    static constexpr std::int64_t stallMs = 3000; // for which a job may wait beside room
    static constexpr std::int64_t calmMs = 4000; // without a disturbance before that
    static constexpr std::int64_t restartMs = 6000; // in which work that lasts needs no new run

    using rooms_by_worker = std::map<std::string, crash_fleet::room>;

    struct moment
    {
        std::int64_t atMs = 0;
        rooms_by_worker rooms;
    };

    static std::int64_t wantedRoom(const step_spec &spec)
    {
        return spec.gang ? 2 * std::int64_t {spec.count} : 2;
    }

    void recordRooms(const crash_fleet &fleet)
    {
        auto &current = history_.emplace_back();
        current.atMs = nowMs_;
        for (const auto &room : fleet.rooms()) {
            if (room.inTouch)
                current.rooms[room.worker] = room;
        }
        while (history_.front().atMs < nowMs_ - stallMs)
            history_.pop_front();
    }

    // Returns how many tasks of a step have had room all the time. Each worker counts with the
    // least room that it has had, and only if it was there all the time.
    std::int64_t standingRoom(const crash_fleet &fleet, const task_id &task,
                              const step_spec &spec) const
    {
        std::int64_t total = 0;
        for (const auto &[worker, room] : history_.back().rooms) {
            const bool eligible = spec.requiredLabel.empty()
                    || std::ranges::find(room.labels, spec.requiredLabel) != room.labels.end();
            if (!eligible)
                continue;
            auto times = leastRoom(worker, spec);
            if (spec.maxPerWorker > 0)
                times = std::min(times,
                                 std::int64_t {spec.maxPerWorker} - runsOf(fleet, task, worker));
            total += std::max<std::int64_t>(0, times);
        }
        return total;
    }

    std::int64_t leastRoom(const std::string &worker, const step_spec &spec) const
    {
        auto least = std::numeric_limits<std::int64_t>::max();
        for (const auto &[atMs, rooms] : history_) {
            const auto found = rooms.find(worker);
            if (found == rooms.end())
                return 0;
            least = std::min(least, timesFitting(found->second.available, spec.charged()));
        }
        return least;
    }

    // Returns how many tasks of a step are active on a worker by the ledger.
    static std::int64_t runsOf(const crash_fleet &fleet, const task_id &task,
                               const std::string &worker)
    {
        return std::ranges::count_if(fleet.leader.state.runsOn(worker), [&](const auto &item) {
            return stepOf(item.first) == stepOf(task);
        });
    }

    void collectMissing(const crash_fleet &fleet)
    {
        std::map<task_id, std::int64_t> missing;
        fleet.leader.state.forEachOpenJob([&](const job_record &job) {
            if (!job.ended())
                collectMissingOf(fleet, job, missing);
        });
        missing_ = std::move(missing);
    }

    void collectMissingOf(const crash_fleet &fleet, const job_record &job,
                          std::map<task_id, std::int64_t> &missing)
    {
        std::vector<task_id> waiting;
        bool anyRuns = false;
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            const auto &spec = job.spec.steps[step];
            const bool ready = std::ranges::all_of(spec.dependsOn, [&](std::uint32_t earlier) {
                return job.occurrences[0][earlier].done();
            });
            for (std::uint32_t i = 0; ready && i < spec.count; ++i) {
                const task_id task {job.id, 0, step, i};
                if (job.taskOf(task).done)
                    continue;
                const bool runs = fleet.isRunning(task);
                anyRuns |= runs;
                if (runs && spec.longRunning)
                    restartDueMs_[task] = nowMs_ + restartMs;
                if (!runs && spec.longRunning && nowMs_ >= restartDueMs_[task])
                    missing[task] = sinceOf(task);
                if (!runs && !spec.longRunning)
                    waiting.push_back(task);
            }
        }
        for (const auto &task : waiting) {
            if (!anyRuns)
                missing[task] = sinceOf(task);
        }
    }

    std::int64_t sinceOf(const task_id &task) const
    {
        const auto found = missing_.find(task);
        return found == missing_.end() ? nowMs_ : found->second;
    }

    std::int64_t nowMs_ = 0;
    std::int64_t disturbedMs_ = 0;
    std::deque<moment> history_;
    std::map<task_id, std::int64_t> missing_; // that must run, and since when
    std::map<task_id, std::int64_t> restartDueMs_; // of tasks that last
};

} // namespace persimmon::batch
