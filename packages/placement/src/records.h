#pragma once

#include "capacity_index.h"

#include "base/clock.h"
#include "placement/scheduler.h"

#include <memory>
#include <set>

namespace persimmon::placement::detail {

// How the resources of a job relate to the guarantees, and whether it may be preempted.
enum class allocation_kind : std::uint8_t {
    Guaranteed, // inside cells of its workspace; never preempted
    NonPreemptible, // not repeatable, outside cells; never preempted, never on lent cells
    Preemptible, // repeatable, outside the cells of its workspace; may be preempted
};

enum class phase : std::uint8_t {
    Free, // unused record
    Waiting,
    Claiming, // has its resources allocated; waits for preempted jobs to stop
    Running,
    Stopping, // preempted or cancelled; still uses its resources
};

// Placement of one task: the worker and, for a Guaranteed allocation, the slice of a cell.
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
    allocation_kind allocation = allocation_kind::Preemptible;
    bool repeatable = true;
    bool cancelled = false;
    bool borrowed = false;
    bool backfill = false; // runs on workers that are reserved for another job
    bool adoptionPending = false; // allocation is decided when the cells are bound
    wait_reason reason = wait_reason::None;
    time_point queued {};
    time_point started {};
    std::uint64_t claim = 0; // sequence number of its claim; earlier claims have precedence
    std::vector<task_place> places;
    std::vector<index_t> failedOn; // distinct healthy workers

    std::int32_t accelerators() const { return task.accelerators * std::int32_t(tasks); }
};

enum class health : std::uint8_t { Good, Quarantined, Probing };

struct worker_entry
{
    index_t pool = noIndex; // noIndex until the worker has joined
    index_t local = noIndex; // index within the pool
    amount capacity;
    amount bound; // total size of its slices of cells
    amount guaranteedUse; // used by owners inside their slices
    amount nonPreemptibleUse;
    amount preemptibleUse;
    amount urgent; // part of preemptibleUse that belongs to urgent jobs
    bool present = false;
    bool leaving = false;
    health condition = health::Good;
    std::uint8_t consecutiveQuarantines = 0;
    index_t reservedFor = noIndex;
    time_point quarantineEnd {};
    std::vector<index_t> jobs;
    std::vector<index_t> slices;
    std::vector<job_id> failures; // early failures of distinct jobs since the last success

    bool healthy() const { return present && !leaving && condition == health::Good; }
    amount free() const { return capacity - guaranteedUse - nonPreemptibleUse - preemptibleUse; }
};

// Views of the capacity of a pool's workers; the pool keeps a capacity index for each.
enum class view : std::uint8_t {
    Free, // unused; repeatable jobs may start here
    Unbound, // unused and outside all bound cells
    Reclaim, // unused after all preemptible jobs below the urgent class are stopped
    Bindable, // available to cells: neither bound nor used by NonPreemptible allocations
    Healthy, // total capacity of healthy workers
    Known, // total capacity of all workers that have ever joined
    Count,
};

// Workers reserved for a job that has waited for longer than the reservation delay.
struct reservation
{
    index_t job = noIndex;
    std::vector<index_t> workers; // one per task
    time_point expectedStart {}; // expected end of the jobs that run on the workers
    time_point createdAt {};
};

struct pool_entry
{
    const strategy *policy = nullptr;
    topology places;
    std::vector<capacity_index> views;
    std::vector<index_t> workers; // global indices, by index within the pool
    std::uint32_t present = 0;
    amount perAccelerator; // smallest share of cores and memory per accelerator of any worker
    bool perAcceleratorKnown = false;
    std::vector<index_t> cells;
    std::uint32_t unboundCells = 0;
    std::vector<index_t> nonRepeatableClaims;
    bool bindNeeded = false;
    bool dispatchNeeded = false;
    bool feasibilityCheckNeeded = false; // check waiting jobs once joins have ceased
    time_point reserveAfter {}; // earliest time of the next attempt to make a reservation
    time_point lastJoined {}; // when a new worker joined last
    std::vector<reservation> reservations;
    // Ring buffer of the workers whose available capacity grew most recently. A job kind whose
    // search failed can only fit once a worker added later can hold one of its tasks.
    static constexpr std::uint64_t maxRecentGrowth = 64;
    std::array<index_t, maxRecentGrowth> recentGrowth {};
    std::uint64_t growthCount = 0;
    std::set<std::pair<job_id, index_t>> waitingJobs;
    std::set<std::pair<job_id, index_t>> waitingLargeGangs; // gangs that need more than one worker

    explicit pool_entry(const strategy *chosen)
        : policy(chosen)
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

// Virtual cell of a guarantee: a block of slices that is bound to workers or still unbound.
struct cell
{
    index_t workspace = noIndex;
    index_t pool = noIndex;
    shape block;
    bool bound = false;
    std::vector<index_t> slices; // one per row of the block; empty while unbound
};

struct workspace_entry
{
    std::uint32_t weight = 1;
    std::int32_t quota = 0; // accelerators; 0: no limit
    bool listed = false; // in the tables
    std::int32_t guaranteed = 0; // accelerators of all its cells
    std::int32_t used = 0; // accelerators
    std::int32_t usedCores = 0;
    std::int32_t guaranteedUse = 0; // accelerators used inside its cells
    std::int32_t borrowed = 0;
    std::uint32_t waiting = 0;
    std::vector<std::pair<index_t, std::vector<index_t>>> cells; // by pool
};

} // namespace persimmon::placement::detail
