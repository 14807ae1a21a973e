#pragma once

#include "base/clock.h"
#include "batch/ledger.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

// Stalled jobs: nothing of them runs although one of their tasks could start.
namespace persimmon::batch {

struct stalled_job
{
    task_id task; // the first task that could run
    time_point since {}; // when a run of the job was last heard of, or when the task became ready
    std::optional<assignment> unheard; // its run in the ledger, which no worker has listed lately
};

// Finds the stalled jobs of a leader, and the tasks that last and don't run, whether others of
// their job do or not. A run counts as working while its worker lists it.
class stall_watch
{
public:
    // Returns when a worker last listed a run, or nothing if it never did.
    using heard_function = std::function<std::optional<time_point>(const assignment &)>;

    // Looks at all open jobs. Must be called before each scheduling pass.
    void update(const ledger &state, const heard_function &lastHeard, time_point now,
                std::int64_t wallMs);

    // Returns for how long a job has been stalled; zero if it isn't.
    std::chrono::microseconds stalledFor(const std::string &job, time_point now) const;

    // Returns whether a job has been stalled for so long that no preference may keep it from room.
    // Not while an order for one of its runs is under way, or the run may still be alive.
    bool isOverdue(const std::string &job, time_point now) const;

    // Returns whether a task that lasts has been away for so long that no preference may keep it
    // from room.
    bool isOverdue(const task_id &task, time_point now) const;

    // Ends the stall of a job, a run of which has worked and ended.
    void recordWork(const std::string &job) { jobs_.erase(job); }

    // Records that a worker was lost, and when it was last heard of.
    void recordLoss(time_point lastHeard) { newestLoss_ = std::max(newestLoss_, lastHeard); }

    // Returns whether no worker was lost for so long that suspicion no longer excuses a stall.
    bool isCalm(time_point now) const;

    // Returns the jobs whose stall has to be logged now, and again after the same time.
    std::vector<stalled_job> takeDueReports(time_point now);

    std::size_t size() const { return jobs_.size(); }

    // Returns the length of the longest stall, or zero.
    std::chrono::microseconds longest(time_point now) const;

    void clear();

private:
    struct entry
    {
        stalled_job job;
        time_point nextReport {};
    };

    // A task that lasts and doesn't run.
    struct absence
    {
        time_point since {};
        milliseconds limit {0}; // from then on no preference keeps it from room
    };

    using absence_map = std::map<task_id, absence>;

    void addAbsences(const task_id &first, const step_state &step, const heard_function &lastHeard,
                     time_point now, absence_map &found) const;
    absence newAbsence(const task_state &task, std::optional<time_point> heard,
                       time_point now) const;

    std::map<std::string, entry> jobs_;
    absence_map absences_;
    bool updated_ = false; // since the term began
    time_point newestLoss_ {};
};

} // namespace persimmon::batch
