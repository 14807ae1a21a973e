#include "core.h"

#include <fmt/format.h>

namespace persimmon::placement::detail {

namespace {

// Two orders of binding. Rows first suits blocks of whole workers, largest first suits mixtures of
// wide and narrow blocks; a table that fits neither way is taken not to fit.
auto rankOf(const shape &block, bool largestFirst)
{
    const auto size = block.workers * block.accelerators;
    return largestFirst ? std::pair(size, block.accelerators) : std::pair(block.accelerators, size);
}

// Blocks within a rack stay in one rack; larger ones take whole racks of one zone or region.
reach reachOf(const shape &block)
{
    return block.workers <= 8 ? reach::Rack : reach::Region;
}

struct wanted_block
{
    shape block;
    std::string text;
};

// Binds blocks to a copy of the free capacity and returns those that did not fit.
std::vector<std::string> unfitBlocks(const topology &places, const std::vector<amount> &available,
                                     const amount &perAccelerator, std::vector<wanted_block> wanted,
                                     bool largestFirst)
{
    capacity_index index(places);
    for (index_t worker = 0; worker < available.size(); ++worker) {
        index.set(worker, available[worker]);
    }
    std::ranges::stable_sort(wanted, std::greater {}, [&](const wanted_block &item) {
        return rankOf(item.block, largestFirst);
    });
    std::vector<std::string> unfit;
    std::vector<index_t> rows;
    for (const auto &item : wanted) {
        const auto size = perAccelerator * std::int32_t(item.block.accelerators);
        const request need {size, item.block.workers, reachOf(item.block)};
        if (size.isZero() || item.block.workers == 0
            || !index.find(*findStrategy("buddy"), need, rows)) {
            unfit.push_back(item.text);
            continue;
        }
        for (const auto worker : rows) {
            index.set(worker, index.available(worker) - size);
        }
    }
    return unfit;
}

} // namespace

status core::validate(std::span<const pool> pools, std::span<const workspace> workspaces) const
{
    std::map<std::string, std::vector<wanted_block>> wanted;
    for (const auto &owner : workspaces) {
        for (const auto &row : owner.guarantees) {
            const auto text = fmt::format("{}: {}:{}x{}", owner.name, row.pool, row.block.workers,
                                          row.block.accelerators);
            wanted[row.pool].insert(wanted[row.pool].end(), row.count, {row.block, text});
        }
    }
    std::map<std::string, std::uint32_t> unfit;
    for (index_t id = 0; id < state_.pools.size(); ++id) {
        const auto &entry = state_.pools[id];
        const auto place = wanted.find(state_.poolName(id));
        const auto named = std::ranges::find(pools, state_.poolName(id), &pool::name);
        const auto *order = named == pools.end() ? nullptr : findStrategy(named->strategy);
        if (place == wanted.end() || entry.present == 0
            || (order != nullptr && order->strictOrder)) {
            continue;
        }
        std::vector<amount> available;
        for (const auto worker : entry.workers) {
            const auto &item = state_.workers[worker];
            available.push_back(item.healthy() ? item.capacity - item.pinned : amount {});
        }
        auto failed
                = unfitBlocks(entry.places, available, entry.perAccelerator, place->second, false);
        if (!failed.empty()) {
            failed = unfitBlocks(entry.places, available, entry.perAccelerator, place->second,
                                 true);
        }
        for (const auto &text : failed) {
            ++unfit[text];
        }
    }
    if (unfit.empty()) {
        return {};
    }
    std::string detail = "guarantees that don't fit:";
    for (const auto &[text, count] : unfit) {
        detail += fmt::format(" {} ({} of them);", text, count);
    }
    detail.pop_back();
    return error {result_code::GuaranteeUnbindable, detail, "guarantee", {}};
}

// Adds and removes cells until each workspace has those of the table.
void core::applyGuarantees(const tables_changed &input)
{
    // By workspace, pool, workers and accelerators of the block.
    std::map<std::array<index_t, 4>, std::uint32_t> wanted;
    for (index_t id = 0; id < state_.cells.size(); ++id) {
        const auto &entry = state_.cells[id];
        if (entry.workspace != noIndex) {
            wanted[{entry.workspace, entry.pool, entry.block.workers, entry.block.accelerators}]
                    = 0;
        }
    }
    for (const auto &owner : input.workspaces) {
        for (const auto &row : owner.guarantees) {
            const auto pool = state_.poolNamed(row.pool);
            if (state_.pools[pool].order->strictOrder || row.block.workers == 0
                || row.block.accelerators == 0) {
                continue;
            }
            wanted[{state_.workspaceNamed(owner.name), pool, row.block.workers,
                    row.block.accelerators}]
                    += row.count;
        }
    }
    for (const auto &[key, count] : wanted) {
        matchCells(key[0], key[1], {key[2], key[3]}, count);
    }
    for (index_t job = 0; job < state_.jobs.size(); ++job) {
        const auto &entry = state_.jobs[job];
        if (entry.state == phase::Running && entry.kind == hold::Pinned) {
            adoptLater(job);
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
    for (auto have = present.size(); have < count; ++have) {
        state_.addCell(workspace, pool, block);
    }
    // Unbound cells go first, then idle ones, then those in use.
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

// Unbinds a cell. Jobs inside keep running outside of any guarantee.
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
        if (entry.kind != hold::Owned || entry.places.empty()) {
            continue; // seen on another row of the cell
        }
        if (entry.state == phase::Claiming) {
            abandonClaim(job);
        } else {
            state_.convert(job, entry.repeatable ? hold::Soft : hold::Pinned);
            adoptLater(job);
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

// Binds one cell, where possible to workers that nobody uses.
bool core::bindCell(index_t id)
{
    const auto &entry = state_.cells[id];
    auto &pool = state_.pools[entry.pool];
    const request need {state_.rowSize(pool, entry.block), entry.block.workers,
                        reachOf(entry.block)};
    const auto &order = *findStrategy("buddy");
    if (need.task.isZero()
        || (!pool.at(view::Unbound).find(order, need, found_)
            && !pool.at(view::Bindable).find(order, need, found_))) {
        return false;
    }
    state_.bind(id, found_);
    return true;
}

void core::bindInOrder(index_t pool, bool largestFirst)
{
    std::vector<index_t> open;
    for (const auto id : state_.pools[pool].cells) {
        if (!state_.cells[id].bound) {
            open.push_back(id);
        }
    }
    std::ranges::stable_sort(open, std::greater {}, [&](index_t id) {
        return rankOf(state_.cells[id].block, largestFirst);
    });
    auto failed = noIndex;
    for (const auto id : open) {
        // A block of the size that has just failed does not fit either.
        const auto same = failed != noIndex && state_.cells[failed].block == state_.cells[id].block;
        if (!same && !bindCell(id)) {
            failed = id;
        }
    }
}

// Binds all cells to healthy workers; where some don't fit beside the others, the idle ones are
// moved.
void core::bindCells(index_t number)
{
    auto &pool = state_.pools[number];
    if (!pool.bindNeeded || pool.order->strictOrder) {
        return;
    }
    pool.bindNeeded = false;
    adopt(number);
    if (pool.unboundCells == 0) {
        return;
    }
    bindInOrder(number, false);
    if (pool.unboundCells > 0) {
        bindAnew(number);
    }
    if (pool.unboundCells > 0) {
        makeRoom(number);
    }
}

// Last resort after a loss of workers: gives up claims of jobs that can't be preempted, covers
// running ones by their workspace's cells, and moves cells whose jobs can all be preempted. The
// latter run on outside until a cell covers them again.
void core::makeRoom(index_t number)
{
    auto &pool = state_.pools[number];
    const auto claims = pool.fixedClaims;
    for (const auto job : claims) {
        abandonClaim(job);
    }
    unbindIdle(number);
    for (index_t job = 0; job < state_.jobs.size(); ++job) {
        const auto &entry = state_.jobs[job];
        if (entry.pool == number && entry.state == phase::Running && entry.kind == hold::Pinned) {
            adoptLater(job);
        }
    }
    adopt(number);
    const auto all = pool.cells;
    for (const auto id : all) {
        if (state_.cells[id].bound && cellPreemptible(id)) {
            dropCell(id);
        }
    }
    bindAnew(number);
    adopt(number);
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

// Binds all idle cells anew, in the orders known, until all are bound.
void core::bindAnew(index_t number)
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

// The next binding tries to cover the job with a cell of its workspace.
void core::adoptLater(index_t job)
{
    auto &entry = state_.jobs[job];
    adopted_.resize(std::max<std::size_t>(adopted_.size(), entry.pool + 1));
    if (!entry.adopted) {
        adopted_[entry.pool].push_back(job);
    }
    entry.adopted = true;
    state_.pools[entry.pool].bindNeeded = true;
}

// Decides for restored jobs, and for jobs that lost their cell, whether they run inside their
// workspace's guarantee, in order of their ids. The ledger does not record cells, so they are bound
// around the jobs.
void core::adopt(index_t pool)
{
    if (pool >= adopted_.size()) {
        return;
    }
    auto restored = std::move(adopted_[pool]);
    adopted_[pool].clear();
    std::ranges::sort(restored, {}, [&](index_t job) { return state_.jobs[job].id; });
    for (const auto job : restored) {
        auto &entry = state_.jobs[job];
        entry.adopted = false;
        const auto kind = entry.kind;
        state_.convert(job, hold::Soft); // so that its own use does not hide the room
        auto done = adoptInto(job, noIndex);
        auto mine = state_.workspaces[entry.workspace].cells;
        for (const auto &[where, cells] : mine) {
            for (std::size_t next = 0; where == pool && !done && next < cells.size(); ++next) {
                done = adoptInto(job, cells[next]);
            }
        }
        if (!done) {
            state_.convert(job, kind);
        }
    }
    for (const auto worker : state_.pools[pool].workers) {
        const auto &entry = state_.workers[worker];
        if (!entry.slices.empty() && (entry.capacity - entry.bound - entry.pinned).isNegative()) {
            dropCellsOf(worker);
        }
    }
}

// Moves a job into the slices of its workspace on its workers, after binding an idle cell there
// (noIndex: into the cells as they are).
bool core::adoptInto(index_t job, index_t id)
{
    std::vector<index_t> rows;
    if (id != noIndex) {
        if (!cellIdle(id) || !coverJob(job, id, rows)) {
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
        const auto fitting = std::ranges::find_if(parts, [&](index_t number) {
            const auto &part = state_.slices[number];
            return state_.cells[part.cell].workspace == entry.workspace
                    && fits(entry.task + taken[number], part.size - part.used);
        });
        if (fitting == parts.end()) {
            return false;
        }
        place.slice = *fitting;
        taken[*fitting] += entry.task;
    }
    const auto state = entry.state;
    state_.release(job);
    state_.allot(job, hold::Owned, std::move(places));
    state_.jobs[job].state = state;
    return true;
}

// Chooses the workers of a cell so that it holds all tasks of a job where they run.
bool core::coverJob(index_t job, index_t id, std::vector<index_t> &rows) const
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
    const auto room = [&](index_t worker) {
        const auto &item = state_.workers[worker];
        return item.healthy() ? item.capacity - item.bound - item.pinned : amount {};
    };
    for (const auto &[worker, count] : tasks) {
        const auto &item = state_.workers[worker];
        if (perRow == 0 || item.pool != entry.pool || !item.healthy()) {
            return false;
        }
        const auto mine = pool.places.rackOf(item.local);
        const auto needed = (count + perRow - 1) / perRow;
        if ((rack != noIndex && rack != mine && reachOf(block) == reach::Rack)
            || !fits(size * std::int32_t(needed), room(worker))) {
            return false;
        }
        rack = mine;
        rows.insert(rows.end(), needed, item.local);
    }
    for (const auto local : pool.places.workersOf(rack)) {
        const auto used = std::int32_t(std::ranges::count(rows, local));
        auto more = std::int32_t(slotsOf(size, room(pool.workers[local]))) - used;
        for (; more > 0 && rows.size() < block.workers; --more) {
            rows.push_back(local);
        }
    }
    return rows.size() == block.workers;
}

} // namespace persimmon::placement::detail
