#pragma once

#include "records.h"

#include <deque>

namespace persimmon::placement::detail {

// Records of workers, pools, cells, jobs and workspaces, with the operations that keep the
// capacity indexes consistent with them. Makes no placement decisions.
class cluster
{
public:
    explicit cluster(const strategy *fallback)
        : fallback_(fallback)
    {
    }

    index_t poolNamed(std::string_view name);
    index_t workspaceNamed(std::string_view name);
    // Returns the record of a worker, creating it for a name that has not joined yet.
    index_t workerNamed(std::string_view name);

    // Marks a worker as present, in a new record if its pool or location has changed.
    index_t join(const worker_joined &input, time_point now);

    index_t addJob(job_id id, const job_spec &spec);
    index_t findJob(job_id id) const;
    void removeJob(index_t job);

    // Allocates resources to the job on the given workers.
    void allocate(index_t job, allocation_kind kind, std::vector<task_place> places);
    void release(index_t job);
    // Changes the allocation kind of a job and clears the slices of its tasks.
    void convert(index_t job, allocation_kind kind);

    // Binds a cell to workers with one slice per row of its block.
    void bind(index_t cell, const std::vector<index_t> &localWorkers);
    void unbind(index_t cell);
    index_t addCell(index_t workspace, index_t pool, const shape &block);
    void removeCell(index_t cell);
    // Returns the size of one row of a block: its accelerators with their share of cores and
    // memory.
    amount rowSize(const pool_entry &pool, const shape &block) const;

    // Updates the capacity indexes after a change to the worker.
    void updateIndexes(index_t worker);

    // Converts indices within the pool to places on workers.
    std::vector<task_place> toPlaces(index_t pool, const std::vector<index_t> &local) const;

    const std::string &workerName(index_t worker) const
    {
        return workerNames_.nameOf(nameOf_[worker]);
    }
    const std::string &poolName(index_t pool) const { return poolNames_.nameOf(pool); }
    const std::string &workspaceName(index_t id) const { return workspaceNames_.nameOf(id); }
    std::size_t bytes() const;

    std::deque<worker_entry> workers;
    std::deque<pool_entry> pools;
    std::deque<workspace_entry> workspaces;
    std::vector<job_entry> jobs;
    std::vector<cell> cells;
    std::vector<slice> slices;

private:
    void charge(index_t job, std::int32_t sign);
    void placeWorker(index_t worker, const worker_joined &input);

    const strategy *fallback_;
    interner workerNames_;
    interner poolNames_;
    interner workspaceNames_;
    std::vector<index_t> workerByName_;
    std::vector<index_t> nameOf_;
    std::vector<location> locationOf_;
    std::unordered_map<std::uint64_t, index_t> jobById_;
    std::vector<index_t> freeJobs_;
    std::vector<index_t> freeCells_;
    std::vector<index_t> freeSlices_;
};

} // namespace persimmon::placement::detail
