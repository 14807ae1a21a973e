#pragma once

#include "records.h"

#include <deque>
#include <map>
#include <tuple>

namespace persimmon::placement::detail {

// Waiting jobs that can replace each other: when the oldest can't start, none of them can.
struct job_group
{
    index_t pool = noIndex;
    index_t workspace = noIndex;
    priority_class priority = priority_class::Standard;
    index_t kind = noIndex; // job_kind of its members
    std::set<std::pair<job_id, index_t>> jobs;
    wait_reason reason = wait_reason::None; // why the oldest waits
    job_id behind {};
    job_id reported {}; // members up to this one have been told the reason
    bool reporting = false;
};

// Sizes that several groups of a pool share; one failed search answers for all of them.
struct job_kind
{
    amount task;
    std::uint32_t tasks = 0;
    bool repeatable = true;
    std::uint32_t groups = 0;
    // By urgency: whether the last search failed, and how many changes of the pool it had seen.
    std::array<bool, 2> failed {};
    std::array<std::uint64_t, 2> seen {};
    std::array<wait_reason, 2> reason {};
    std::array<job_id, 2> behind {};
};

// Waiting jobs by pool and workspace, in groups of equal size and class.
class wait_queue
{
public:
    // Queues a job. A job that failed before forms its own group, since it avoids some workers.
    void push(std::vector<job_entry> &jobs, std::deque<pool_entry> &pools, index_t job);
    void erase(std::vector<job_entry> &jobs, std::deque<pool_entry> &pools, index_t job);

    // Groups of the pool by workspace.
    const std::map<index_t, std::vector<index_t>> &groupsOf(index_t pool) const;

    job_group &group(index_t id) { return groups_[id]; }
    const job_group &group(index_t id) const { return groups_[id]; }
    job_kind &kindOf(index_t group) { return kinds_[groups_[group].kind]; }
    index_t oldest(index_t group) const { return groups_[group].jobs.begin()->second; }
    std::size_t size() const { return size_; }
    std::size_t bytes() const;

private:
    using kind_key = std::tuple<index_t, std::int32_t, std::int32_t, std::int32_t, std::uint32_t,
                                bool, job_id>; // the job only if it avoids workers
    using group_key = std::tuple<index_t, priority_class, index_t, job_id>; // kind is per pool

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

// Whether a job needs more than one whole worker and may therefore get a reservation early.
inline bool isLarge(const job_entry &job)
{
    return job.tasks > 1 && job.accelerators() > 8;
}

} // namespace persimmon::placement::detail
