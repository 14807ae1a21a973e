#pragma once

#include "capacity_index.h"

#include "base/clock.h"
#include "placement/scheduler.h"

#include <memory>
#include <set>

namespace persimmon::placement::detail {

// How a job holds its resources.
enum class hold : std::uint8_t {
    Owned, // inside cells of its own workspace's guarantee; never preempted
    Pinned, // not repeatable, outside its cells; never preempted, never on lent cells
    Soft, // repeatable, outside its cells; may be preempted
};

enum class phase : std::uint8_t {
    Free, // unused record
    Waiting,
    Claiming, // has its resources allotted and waits for preempted jobs to stop
    Running,
    Stopping, // preempted or cancelled, still uses its resources
};

// Place of one task: the worker and, for an owned job, the slice of a cell.
struct task_place
{
    index_t worker = noIndex;
    index_t slice = noIndex;
};

struct job_entry
{
    job_id id {};
    index_t workspace = noIndex;
    index_t pool = noIndex;
    index_t group = noIndex; // while waiting
    amount task;
    std::uint32_t declaredSeconds = 0;
    std::uint32_t attempt = 0;
    std::uint16_t tasks = 1;
    priority_class priority = priority_class::Standard;
    phase state = phase::Free;
    hold kind = hold::Soft;
    bool repeatable = true;
    bool cancelled = false;
    bool borrowed = false;
    bool backfill = false; // runs on workers reserved for another job
    bool adopted = false; // restored; its hold is decided when the cells are bound
    wait_reason reason = wait_reason::None;
    time_point queued {};
    time_point started {};
    std::uint64_t claim = 0; // rank of its claim; earlier claims get their room first
    std::vector<task_place> places;
    std::vector<index_t> failedOn; // distinct healthy workers

    std::int32_t accelerators() const { return task.accelerators * std::int32_t(tasks); }
};

enum class health : std::uint8_t { Good, Quarantined, Probing };

struct worker_entry
{
    index_t pool = noIndex; // noIndex until the worker has joined
    index_t local = noIndex; // number within the pool
    amount capacity;
    amount bound; // slices of guarantees
    amount owned; // used by owners inside their slices
    amount pinned;
    amount soft;
    amount urgent; // part of soft that urgent jobs use
    bool present = false;
    bool leaving = false;
    health condition = health::Good;
    std::uint8_t quarantines = 0; // consecutive
    index_t reservedFor = noIndex;
    time_point until {}; // end of the quarantine
    std::vector<index_t> jobs;
    std::vector<index_t> slices;
    std::vector<job_id> failures; // early failures of distinct jobs since the last success

    bool healthy() const { return present && !leaving && condition == health::Good; }
    amount free() const { return capacity - owned - pinned - soft; }
};

// Kinds of use for which a pool keeps a capacity index.
enum class view : std::uint8_t {
    Free, // not used at all; a repeatable job may start here
    Unbound, // free and outside every bound cell
    Reclaim, // free once all preemptible jobs below urgent have stopped
    Bindable, // could back a guarantee: neither bound nor pinned
    Healthy, // whole healthy workers
    Known, // all workers that ever joined, present or not
    Count,
};

// Workers set aside for a large gang that has waited too long.
struct reservation
{
    index_t job = noIndex;
    std::vector<index_t> workers; // one for each task
    time_point ready {}; // expected end of the jobs that run there
    time_point made {};
};

struct pool_entry
{
    const strategy *order = nullptr;
    topology places;
    std::vector<capacity_index> views;
    std::vector<index_t> workers; // global numbers by number in the pool
    std::uint32_t present = 0;
    amount perAccelerator; // smallest share of cores and memory that goes with one accelerator
    bool perAcceleratorKnown = false;
    std::vector<index_t> cells;
    std::uint32_t unboundCells = 0;
    std::vector<index_t> fixedClaims; // claims of jobs that are not repeatable
    bool bindNeeded = false;
    bool dispatchNeeded = false;
    bool judgeNeeded = false; // jobs that waited without workers have to be judged
    time_point reserveAfter {}; // earliest next attempt to set workers aside
    time_point grown {}; // last time a new worker joined
    std::vector<reservation> reservations;
    // Workers whose free room grew most recently; a kind of job that did not fit can fit again only
    // with one of these.
    static constexpr std::uint64_t maxChanges = 64;
    std::array<index_t, maxChanges> changes {};
    std::uint64_t changeCount = 0;
    std::set<std::pair<job_id, index_t>> arrivals; // all waiting jobs
    std::set<std::pair<job_id, index_t>> large; // waiting gangs that need more than one worker

    explicit pool_entry(const strategy *chosen)
        : order(chosen)
        , views(std::size_t(view::Count), capacity_index(places))
    {
    }
    pool_entry(const pool_entry &) = delete;
    pool_entry &operator=(const pool_entry &) = delete;

    capacity_index &at(view kind) { return views[std::size_t(kind)]; }
    const capacity_index &at(view kind) const { return views[std::size_t(kind)]; }
};

// Part of a cell on one worker.
struct slice
{
    index_t cell = noIndex;
    index_t worker = noIndex;
    amount size;
    amount used;
};

// Virtual cell of a guarantee: a block of slices, bound to workers or not.
struct cell
{
    index_t workspace = noIndex;
    index_t pool = noIndex;
    shape block;
    bool bound = false;
    std::vector<index_t> slices; // noIndex-free only while bound
};

struct workspace_entry
{
    std::uint32_t weight = 1;
    std::int32_t quota = 0; // accelerators; 0: no limit
    bool listed = false; // in the tables
    std::int32_t guaranteed = 0; // accelerators of all cells
    std::int32_t used = 0; // accelerators
    std::int32_t usedCores = 0;
    std::int32_t owned = 0; // accelerators used inside its cells
    std::int32_t borrowed = 0;
    std::uint32_t waiting = 0;
    std::vector<std::pair<index_t, std::vector<index_t>>> cells; // pool and its cells
};

} // namespace persimmon::placement::detail
