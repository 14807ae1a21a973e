#include "core.h"

#include <fmt/format.h>

namespace persimmon::placement::detail {

namespace {

// Sort key of a block in one of two binding orders. Sorting by row size suits blocks of whole
// workers; sorting by total size suits mixtures of wide and narrow blocks. A table that fits in
// neither order is considered unbindable.
auto rankOf(const shape &block, bool largestFirst)
{
    const auto size = block.workers * block.accelerators;
    return largestFirst ? std::pair(size, block.accelerators) : std::pair(block.accelerators, size);
}

// Blocks of up to 8 workers stay in one rack; larger ones take whole racks of one zone or region.
locality localityOf(const shape &block)
{
    return block.workers <= 8 ? locality::Rack : locality::Region;
}

struct requested_block
{
    shape block;
    std::string text;
};

// Binds the blocks to the given capacity and returns the descriptions of those that don't fit.
std::vector<std::string> findUnbindableBlocks(const topology &places,
                                              const std::vector<amount> &available,
                                              const amount &perAccelerator,
                                              std::vector<requested_block> requested,
                                              bool largestFirst)
{
    capacity_index index(places);
    for (index_t worker = 0; worker < available.size(); ++worker) {
        index.set(worker, available[worker]);
    }
    std::ranges::stable_sort(requested, std::greater {}, [&](const requested_block &item) {
        return rankOf(item.block, largestFirst);
    });
    std::vector<std::string> unbindable;
    std::vector<index_t> rows;
    for (const auto &item : requested) {
        const auto size = perAccelerator * std::int32_t(item.block.accelerators);
        const request need {size, item.block.workers, localityOf(item.block)};
        if (size.isZero() || item.block.workers == 0
            || !index.find(*findStrategy("buddy"), need, rows)) {
            unbindable.push_back(item.text);
            continue;
        }
        for (const auto worker : rows) {
            index.set(worker, index.available(worker) - size);
        }
    }
    return unbindable;
}

} // namespace

status core::validate(std::span<const pool> pools, std::span<const workspace> workspaces) const
{
    std::map<std::string, std::vector<requested_block>> requested;
    for (const auto &owner : workspaces) {
        for (const auto &row : owner.guarantees) {
            const auto text = fmt::format("{}: {}:{}x{}", owner.name, row.pool, row.block.workers,
                                          row.block.accelerators);
            requested[row.pool].insert(requested[row.pool].end(), row.count, {row.block, text});
        }
    }
    std::map<std::string, std::uint32_t> unbindable;
    for (index_t id = 0; id < state_.pools.size(); ++id) {
        const auto &entry = state_.pools[id];
        const auto it = requested.find(state_.poolName(id));
        const auto poolRow = std::ranges::find(pools, state_.poolName(id), &pool::name);
        const auto *policy = poolRow == pools.end() ? nullptr : findStrategy(poolRow->strategy);
        if (it == requested.end() || entry.present == 0
            || (policy != nullptr && policy->strictOrder)) {
            continue;
        }
        std::vector<amount> available;
        for (const auto worker : entry.workers) {
            const auto &item = state_.workers[worker];
            available.push_back(item.healthy() ? item.capacity - item.nonPreemptibleUse
                                               : amount {});
        }
        auto failed = findUnbindableBlocks(entry.places, available, entry.perAccelerator,
                                           it->second, false);
        if (!failed.empty()) {
            failed = findUnbindableBlocks(entry.places, available, entry.perAccelerator, it->second,
                                          true);
        }
        for (const auto &text : failed) {
            ++unbindable[text];
        }
    }
    if (unbindable.empty()) {
        return {};
    }
    std::string detail = "guarantees that don't fit:";
    for (const auto &[text, count] : unbindable) {
        detail += fmt::format(" {} ({} of them);", text, count);
    }
    detail.pop_back();
    return error {result_code::GuaranteeUnbindable, detail, "guarantee", {}};
}

// Adds and removes cells until each workspace has those of the table.
void core::applyGuarantees(const tables_changed &input)
{
    // Keyed by workspace, pool, and workers and accelerators of the block.
    std::map<std::array<index_t, 4>, std::uint32_t> requested;
    for (index_t id = 0; id < state_.cells.size(); ++id) {
        const auto &entry = state_.cells[id];
        if (entry.workspace != noIndex) {
            requested[{entry.workspace, entry.pool, entry.block.workers, entry.block.accelerators}]
                    = 0;
        }
    }
    for (const auto &owner : input.workspaces) {
        for (const auto &row : owner.guarantees) {
            const auto pool = state_.poolNamed(row.pool);
            if (state_.pools[pool].policy->strictOrder || row.block.workers == 0
                || row.block.accelerators == 0) {
                continue;
            }
            requested[{state_.workspaceNamed(owner.name), pool, row.block.workers,
                       row.block.accelerators}]
                    += row.count;
        }
    }
    for (const auto &[key, count] : requested) {
        matchCells(key[0], key[1], {key[2], key[3]}, count);
    }
    for (index_t job = 0; job < state_.jobs.size(); ++job) {
        const auto &entry = state_.jobs[job];
        if (entry.state == phase::Running && entry.allocation == allocation_kind::NonPreemptible) {
            queueAdoption(job);
        }
    }
}

void core::matchCells(index_t workspace, index_t pool, const shape &block, std::uint32_t count)
{
    std::vector<index_t> present;
    for (index_t id = 0; id < state_.cells.size(); ++id) {
        const auto &entry = state_.cells[id];
        if (entry.workspace == workspace && entry.pool == pool && entry.block == block) {
            present.push_back(id);
        }
    }
    for (auto total = present.size(); total < count; ++total) {
        state_.addCell(workspace, pool, block);
    }
    // Removes unbound cells first, then idle ones, then those in use.
    std::ranges::stable_sort(present, {}, [&](index_t id) {
        return std::pair(state_.cells[id].bound, !cellIdle(id));
    });
    for (std::size_t position = 0; position + count < present.size(); ++position) {
        dropCell(present[position]);
        state_.removeCell(present[position]);
    }
}

bool core::cellIdle(index_t id) const
{
    const auto &parts = state_.cells[id].slices;
    return std::ranges::all_of(parts,
                               [&](index_t number) { return state_.slices[number].used.isZero(); });
}

bool core::cellPreemptible(index_t id) const
{
    for (const auto number : state_.cells[id].slices) {
        for (const auto job : state_.workers[state_.slices[number].worker].jobs) {
            const auto uses = [&](const task_place &task) { return task.slice == number; };
            if (!state_.jobs[job].repeatable
                && std::ranges::any_of(state_.jobs[job].places, uses)) {
                return false;
            }
        }
    }
    return true;
}

// Unbinds a cell. Jobs inside it continue to run outside the guarantee.
void core::dropCell(index_t id)
{
    std::vector<index_t> inside;
    for (const auto number : state_.cells[id].slices) {
        for (const auto job : state_.workers[state_.slices[number].worker].jobs) {
            const auto uses = [&](const task_place &task) { return task.slice == number; };
            if (std::ranges::any_of(state_.jobs[job].places, uses)) {
                inside.push_back(job);
            }
        }
    }
    for (const auto job : inside) {
        auto &entry = state_.jobs[job];
        if (entry.allocation != allocation_kind::Guaranteed || entry.places.empty()) {
            continue; // already handled for another row of the cell
        }
        if (entry.state == phase::Claiming) {
            abandonClaim(job);
        } else {
            state_.convert(job,
                           entry.repeatable ? allocation_kind::Preemptible
                                            : allocation_kind::NonPreemptible);
            queueAdoption(job);
        }
    }
    state_.unbind(id);
}

void core::dropCellsOf(index_t worker)
{
    while (!state_.workers[worker].slices.empty()) {
        dropCell(state_.slices[state_.workers[worker].slices.front()].cell);
    }
}

// Binds one cell, if possible to unused workers.
bool core::bindCell(index_t id)
{
    const auto &entry = state_.cells[id];
    auto &pool = state_.pools[entry.pool];
    const request need {state_.rowSize(pool, entry.block), entry.block.workers,
                        localityOf(entry.block)};
    const auto &policy = *findStrategy("buddy");
    if (need.task.isZero()
        || (!pool.at(view::Unbound).find(policy, need, found_)
            && !pool.at(view::Bindable).find(policy, need, found_))) {
        return false;
    }
    state_.bind(id, found_);
    return true;
}

void core::bindInOrder(index_t pool, bool largestFirst)
{
    std::vector<index_t> unbound;
    for (const auto id : state_.pools[pool].cells) {
        if (!state_.cells[id].bound) {
            unbound.push_back(id);
        }
    }
    std::ranges::stable_sort(unbound, std::greater {}, [&](index_t id) {
        return rankOf(state_.cells[id].block, largestFirst);
    });
    auto failed = noIndex;
    for (const auto id : unbound) {
        // Skips blocks of the shape that failed last, since they don't fit either.
        const auto same = failed != noIndex && state_.cells[failed].block == state_.cells[id].block;
        if (!same && !bindCell(id)) {
            failed = id;
        }
    }
}

// Binds all cells to healthy workers. If some don't fit beside the others, moves idle cells, then
// cells with preemptible jobs.
void core::bindCells(index_t number)
{
    auto &pool = state_.pools[number];
    if (!pool.bindNeeded || pool.policy->strictOrder) {
        return;
    }
    pool.bindNeeded = false;
    processAdoptions(number);
    if (pool.unboundCells == 0) {
        return;
    }
    bindInOrder(number, false);
    if (pool.unboundCells > 0) {
        rebindIdleCells(number);
    }
    if (pool.unboundCells > 0) {
        rebindPreemptibleCells(number);
    }
}

// Last resort after a loss of workers: cancels claims of jobs that can't be preempted, moves
// running ones into cells of their workspace, and rebinds cells whose jobs can all be preempted.
// Those jobs continue to run outside the guarantee until a cell covers them again.
void core::rebindPreemptibleCells(index_t number)
{
    auto &pool = state_.pools[number];
    const auto claims = pool.nonRepeatableClaims;
    for (const auto job : claims) {
        abandonClaim(job);
    }
    unbindIdle(number);
    for (index_t job = 0; job < state_.jobs.size(); ++job) {
        const auto &entry = state_.jobs[job];
        if (entry.pool == number && entry.state == phase::Running
            && entry.allocation == allocation_kind::NonPreemptible) {
            queueAdoption(job);
        }
    }
    processAdoptions(number);
    const auto all = pool.cells;
    for (const auto id : all) {
        if (state_.cells[id].bound && cellPreemptible(id)) {
            dropCell(id);
        }
    }
    rebindIdleCells(number);
    processAdoptions(number);
    bindInOrder(number, false);
    pool.bindNeeded = false;
}

void core::unbindIdle(index_t pool)
{
    for (const auto id : state_.pools[pool].cells) {
        if (state_.cells[id].bound && cellIdle(id)) {
            state_.unbind(id);
        }
    }
}

// Rebinds the idle cells in each binding order until all cells are bound.
void core::rebindIdleCells(index_t number)
{
    auto &pool = state_.pools[number];
    for (const auto largestFirst : {false, true, false}) {
        if (pool.unboundCells == 0) {
            return;
        }
        unbindIdle(number);
        bindInOrder(number, largestFirst);
    }
}

// Schedules an attempt to cover the job with a cell of its workspace at the next binding.
void core::queueAdoption(index_t job)
{
    auto &entry = state_.jobs[job];
    pendingAdoptions_.resize(std::max<std::size_t>(pendingAdoptions_.size(), entry.pool + 1));
    if (!entry.adoptionPending) {
        pendingAdoptions_[entry.pool].push_back(job);
    }
    entry.adoptionPending = true;
    state_.pools[entry.pool].bindNeeded = true;
}

// Decides, in order of job ids, whether restored jobs and jobs that lost their cell run inside the
// guarantee of their workspace. The ledger does not record cells, so cells are bound to the workers
// on which the jobs run.
void core::processAdoptions(index_t pool)
{
    if (pool >= pendingAdoptions_.size()) {
        return;
    }
    auto pending = std::move(pendingAdoptions_[pool]);
    pendingAdoptions_[pool].clear();
    std::ranges::sort(pending, {}, [&](index_t job) { return state_.jobs[job].id; });
    for (const auto job : pending) {
        auto &entry = state_.jobs[job];
        entry.adoptionPending = false;
        const auto kind = entry.allocation;
        // Its NonPreemptible use would otherwise reduce the bindable capacity.
        state_.convert(job, allocation_kind::Preemptible);
        auto done = moveIntoCells(job, noIndex);
        auto ownCells = state_.workspaces[entry.workspace].cells;
        for (const auto &[cellPool, cells] : ownCells) {
            for (std::size_t next = 0; cellPool == pool && !done && next < cells.size(); ++next) {
                done = moveIntoCells(job, cells[next]);
            }
        }
        if (!done) {
            state_.convert(job, kind);
        }
    }
    for (const auto worker : state_.pools[pool].workers) {
        const auto &entry = state_.workers[worker];
        if (!entry.slices.empty()
            && (entry.capacity - entry.bound - entry.nonPreemptibleUse).isNegative()) {
            dropCellsOf(worker);
        }
    }
}

// Moves a job into slices of its workspace on the workers where it runs, after rebinding the given
// idle cell there. With noIndex, uses the cells as they are bound.
bool core::moveIntoCells(index_t job, index_t id)
{
    std::vector<index_t> rows;
    if (id != noIndex) {
        if (!cellIdle(id) || !chooseCellWorkers(job, id, rows)) {
            return false;
        }
        state_.unbind(id);
        state_.bind(id, rows);
    }
    const auto &entry = state_.jobs[job];
    if (entry.task.accelerators == 0) {
        return false;
    }
    std::map<index_t, amount> taken;
    auto places = entry.places;
    for (auto &place : places) {
        const auto &parts = state_.workers[place.worker].slices;
        const auto fitting = std::ranges::find_if(parts, [&](index_t sliceId) {
            const auto &slice = state_.slices[sliceId];
            return state_.cells[slice.cell].workspace == entry.workspace
                    && fits(entry.task + taken[sliceId], slice.size - slice.used);
        });
        if (fitting == parts.end()) {
            return false;
        }
        place.slice = *fitting;
        taken[*fitting] += entry.task;
    }
    const auto state = entry.state;
    state_.release(job);
    state_.allocate(job, allocation_kind::Guaranteed, std::move(places));
    state_.jobs[job].state = state;
    return true;
}

// Chooses workers for a cell so that it covers all tasks of a job on the workers where they run.
bool core::chooseCellWorkers(index_t job, index_t id, std::vector<index_t> &rows) const
{
    const auto &entry = state_.jobs[job];
    const auto &block = state_.cells[id].block;
    const auto &pool = state_.pools[state_.cells[id].pool];
    const auto size = state_.rowSize(pool, block);
    const auto perRow = slotsOf(entry.task, size);
    std::map<index_t, std::uint32_t> tasks;
    for (const auto &place : entry.places) {
        ++tasks[place.worker];
    }
    auto rack = noIndex;
    const auto availableOn = [&](index_t worker) {
        const auto &item = state_.workers[worker];
        return item.healthy() ? item.capacity - item.bound - item.nonPreemptibleUse : amount {};
    };
    for (const auto &[worker, count] : tasks) {
        const auto &item = state_.workers[worker];
        if (perRow == 0 || item.pool != entry.pool || !item.healthy()) {
            return false;
        }
        const auto workerRack = pool.places.rackOf(item.local);
        const auto needed = (count + perRow - 1) / perRow;
        if ((rack != noIndex && rack != workerRack && localityOf(block) == locality::Rack)
            || !fits(size * std::int32_t(needed), availableOn(worker))) {
            return false;
        }
        rack = workerRack;
        rows.insert(rows.end(), needed, item.local);
    }
    for (const auto local : pool.places.workersOf(rack)) {
        const auto used = std::int32_t(std::ranges::count(rows, local));
        auto more = std::int32_t(slotsOf(size, availableOn(pool.workers[local]))) - used;
        for (; more > 0 && rows.size() < block.workers; --more) {
            rows.push_back(local);
        }
    }
    return rows.size() == block.workers;
}

} // namespace persimmon::placement::detail
