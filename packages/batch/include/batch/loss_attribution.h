#pragma once

#include "batch/worker_loss.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace persimmon::batch {

// Decides which runs are to be blamed for the loss of their worker. A worker that is lost together
// with others that ran other jobs, most of which had not just begun a run, was lost to a common
// cause, such as power or the network: nobody is blamed. Keeps the recent losses, because the
// others may be found later, and because a silent worker may turn out to be running.
class loss_attribution
{
public:
    // What is known of the other workers and of earlier losses.
    struct fleet_state
    {
        std::vector<worker_loss> silent; // workers that are silent now and may be lost too
        std::size_t workers = 0; // present ones, with those that are silent
        const std::map<task_id, loss_record> &recorded; // losses of the tasks of open jobs
    };

    // Adds losses that were found at the same time. Returns what is known of the runs, also of
    // those of earlier losses if that has changed.
    std::vector<lost_run> add(std::vector<worker_loss> losses, const fleet_state &fleet,
                              time_point now);

    // Records that an incarnation of a worker, and all earlier ones, have ended.
    std::vector<lost_run> recordRestart(const std::string &worker, std::int64_t incarnation);

    // Records that an incarnation of a worker that was given up as silent wasn't lost.
    std::vector<lost_run> recordReturn(const std::string &worker, std::int64_t incarnation);

    // Drops all losses. Called when a term begins.
    void reset()
    {
        recent_.clear();
        excused_.clear();
    }

private:
    struct entry
    {
        worker_loss loss;
        time_point foundAt {};
        bool excused = false;
    };

    bool isKnown(const std::string &worker, std::int64_t incarnation) const;
    std::vector<const worker_loss *> lostTogether(const worker_loss &loss,
                                                  const fleet_state &fleet) const;
    std::size_t countTogether(const worker_loss &loss, const fleet_state &fleet) const;
    std::size_t allowedExcuses(const worker_loss &loss, const fleet_state &fleet,
                               std::span<const worker_loss *const> together) const;
    std::size_t excusesOf(const assignment &run, const fleet_state &fleet) const;
    void excuse(const worker_loss &loss, const fleet_state &fleet, std::size_t allowed,
                std::vector<lost_run> &runs);
    void prune(time_point now);

    std::multimap<std::string, entry> recent_; // by worker
    std::map<task_id, std::set<std::uint32_t>> excused_; // runs of recent losses
};

// Confirms the suspicions against each task that is lost once more, was excused for some losses,
// and has reached the number of starts after which a task that crashes its workers must be given
// up: from then on, a worker that is silent counts as crashed, and the task is blamed alone,
// whatever ran beside it. `losses` are those recorded so far; confirmations are added to `runs`.
void confirmLastSuspicions(const std::map<task_id, loss_record> &losses,
                           std::vector<lost_run> &runs);

} // namespace persimmon::batch
