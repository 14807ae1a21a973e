#pragma once

#include "records.h"

#include <deque>
#include <map>
#include <tuple>

namespace persimmon::placement::detail {

// Equivalent waiting jobs: when the oldest can't start, none of them can.
struct job_group
{
    index_t pool = noIndex;
    index_t workspace = noIndex;
    priority_class priority = priority_class::Standard;
    index_t kind = noIndex; // job_kind of its members
    std::set<std::pair<job_id, index_t>> jobs;
    wait_reason reason = wait_reason::None; // reason of the oldest job
    job_id blockedBy {};
    job_id reportedUpTo {}; // the reason has been reported to members up to this one
    bool reportPending = false;
};

// Job size shared by several groups of a pool, so that one failed search covers all of them.
struct job_kind
{
    amount task;
    std::uint32_t tasks = 0;
    bool repeatable = true;
    std::uint32_t groups = 0;
    // By urgency: whether the last search failed, and the growth count of the pool up to which the
    // failure is known to hold.
    std::array<bool, 2> failed {};
    std::array<std::uint64_t, 2> growthSeen {};
    std::array<wait_reason, 2> reason {};
    std::array<job_id, 2> blockedBy {};
};

// Waiting jobs by pool and workspace, in groups of equal size and class.
class wait_queue
{
public:
    // Queues a job. A job that has failed on a worker gets its own group, since it avoids that
    // worker.
    void push(std::vector<job_entry> &jobs, std::deque<pool_entry> &pools, index_t job);
    void erase(std::vector<job_entry> &jobs, std::deque<pool_entry> &pools, index_t job);

    // Returns the groups of the pool by workspace.
    const std::map<index_t, std::vector<index_t>> &groupsOf(index_t pool) const;

    job_group &group(index_t id) { return groups_[id]; }
    const job_group &group(index_t id) const { return groups_[id]; }
    job_kind &kindOf(index_t group) { return kinds_[groups_[group].kind]; }
    index_t oldest(index_t group) const { return groups_[group].jobs.begin()->second; }
    std::size_t size() const { return size_; }
    std::size_t bytes() const;

private:
    using kind_key = std::tuple<index_t, std::int32_t, std::int32_t, std::int32_t, std::uint32_t,
                                bool, job_id>; // the job id only if the job avoids workers
    using group_key = std::tuple<index_t, priority_class, index_t, job_id>; // kind implies pool

    index_t kindFor(const job_entry &job);
    static kind_key keyOf(const job_entry &job);
    static group_key keyOf(const job_entry &job, index_t kind);
    void dropGroup(index_t id, const job_entry &job);

    std::deque<job_group> groups_;
    std::deque<job_kind> kinds_;
    std::vector<index_t> freeGroups_;
    std::vector<index_t> freeKinds_;
    std::map<kind_key, index_t> kindByKey_;
    std::map<group_key, index_t> groupByKey_;
    std::vector<std::map<index_t, std::vector<index_t>>> byPool_;
    std::size_t size_ = 0;
};

// Returns whether a job needs more than one whole worker, which entitles it to an early
// reservation.
inline bool isLarge(const job_entry &job)
{
    return job.tasks > 1 && job.accelerators() > 8;
}

} // namespace persimmon::placement::detail
