#include "wait_queue.h"

namespace persimmon::placement::detail {

namespace {

template <typename Record>
index_t allocateRecord(std::deque<Record> &records, std::vector<index_t> &freeIds)
{
    if (freeIds.empty()) {
        records.emplace_back();
        return static_cast<index_t>(records.size() - 1);
    }
    const auto id = freeIds.back();
    freeIds.pop_back();
    records[id] = {};
    return id;
}

} // namespace

wait_queue::kind_key wait_queue::keyOf(const job_entry &job)
{
    return {job.pool,
            job.task.accelerators,
            job.task.cores,
            job.task.memoryMb,
            job.tasks,
            job.repeatable,
            job.failedOn.empty() ? job_id {} : job.id};
}

wait_queue::group_key wait_queue::keyOf(const job_entry &job, index_t kind)
{
    return {job.workspace, job.priority, kind, job.failedOn.empty() ? job_id {} : job.id};
}

index_t wait_queue::kindFor(const job_entry &job)
{
    const auto [it, added] = kindByKey_.emplace(keyOf(job), noIndex);
    if (added) {
        it->second = allocateRecord(kinds_, freeKinds_);
        auto &kind = kinds_[it->second];
        kind.task = job.task;
        kind.tasks = job.tasks;
        kind.repeatable = job.repeatable;
    }
    return it->second;
}

void wait_queue::push(std::vector<job_entry> &jobs, std::deque<pool_entry> &pools, index_t index)
{
    auto &job = jobs[index];
    const auto kind = kindFor(job);
    const auto [it, added] = groupByKey_.emplace(keyOf(job, kind), noIndex);
    if (added) {
        it->second = allocateRecord(groups_, freeGroups_);
        auto &group = groups_[it->second];
        group.pool = job.pool;
        group.workspace = job.workspace;
        group.priority = job.priority;
        group.kind = kind;
        ++kinds_[kind].groups;
        byPool_.resize(std::max<std::size_t>(byPool_.size(), job.pool + 1));
        byPool_[job.pool][job.workspace].push_back(it->second);
    }
    job.group = it->second;
    job.state = phase::Waiting;
    groups_[job.group].jobs.emplace(job.id, index);
    pools[job.pool].waitingJobs.emplace(job.id, index);
    if (isLarge(job)) {
        pools[job.pool].waitingLargeGangs.emplace(job.id, index);
    }
    ++size_;
}

void wait_queue::erase(std::vector<job_entry> &jobs, std::deque<pool_entry> &pools, index_t index)
{
    auto &job = jobs[index];
    const std::pair entry {job.id, index};
    pools[job.pool].waitingJobs.erase(entry);
    pools[job.pool].waitingLargeGangs.erase(entry);
    groups_[job.group].jobs.erase(entry);
    if (groups_[job.group].jobs.empty()) {
        dropGroup(job.group, job);
    }
    job.group = noIndex;
    --size_;
}

void wait_queue::dropGroup(index_t id, const job_entry &job)
{
    const auto kind = groups_[id].kind;
    groupByKey_.erase(keyOf(job, kind));
    auto &byWorkspace = byPool_[job.pool];
    const auto it = byWorkspace.find(job.workspace);
    std::erase(it->second, id);
    if (it->second.empty()) {
        byWorkspace.erase(it);
    }
    freeGroups_.push_back(id);
    if (--kinds_[kind].groups == 0) {
        kindByKey_.erase(keyOf(job));
        freeKinds_.push_back(kind);
    }
}

const std::map<index_t, std::vector<index_t>> &wait_queue::groupsOf(index_t pool) const
{
    static const std::map<index_t, std::vector<index_t>> none;
    return pool < byPool_.size() ? byPool_[pool] : none;
}

std::size_t wait_queue::bytes() const
{
    constexpr std::size_t node = 4 * sizeof(void *);
    return groups_.size() * sizeof(job_group) + kinds_.size() * sizeof(job_kind)
            + size_ * (node + 2 * sizeof(job_id)) + groupByKey_.size() * (node + sizeof(group_key))
            + kindByKey_.size() * (node + sizeof(kind_key));
}

} // namespace persimmon::placement::detail
