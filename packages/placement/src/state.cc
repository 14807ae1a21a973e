#include "state.h"

#include <utility>

namespace persimmon::placement::detail {

namespace {

amount &usageOf(worker_entry &worker, allocation_kind kind)
{
    switch (kind) {
    case allocation_kind::Guaranteed:
        return worker.guaranteedUse;
    case allocation_kind::NonPreemptible:
        return worker.nonPreemptibleUse;
    case allocation_kind::Preemptible:
        break;
    }
    return worker.preemptibleUse;
}

} // namespace

index_t cluster::poolNamed(std::string_view name)
{
    const auto id = poolNames_.intern(name);
    if (id == pools.size()) {
        pools.emplace_back(fallback_);
    }
    return id;
}

index_t cluster::workspaceNamed(std::string_view name)
{
    const auto id = workspaceNames_.intern(name);
    if (id == workspaces.size()) {
        workspaces.emplace_back();
    }
    return id;
}

index_t cluster::workerNamed(std::string_view name)
{
    const auto key = workerNames_.intern(name);
    if (key == workerByName_.size()) {
        workerByName_.push_back(static_cast<index_t>(workers.size()));
        workers.emplace_back();
        nameOf_.push_back(key);
        locationOf_.emplace_back();
    }
    return workerByName_[key];
}

void cluster::placeWorker(index_t worker, const worker_joined &input)
{
    auto &entry = workers[worker];
    entry.pool = poolNamed(input.pool);
    auto &pool = pools[entry.pool];
    entry.local = pool.places.add(input.place);
    pool.workers.push_back(worker);
    locationOf_[worker] = input.place;
}

index_t cluster::join(const worker_joined &input, time_point now)
{
    auto worker = workerNamed(input.worker);
    const auto pool = poolNamed(input.pool);
    if (workers[worker].pool != noIndex
        && (workers[worker].pool != pool || locationOf_[worker] != input.place)) {
        // The old record stays until its jobs have ended; it never becomes present again.
        const auto key = nameOf_[worker];
        auto &old = workers[worker];
        pools[old.pool].present -= old.present ? 1 : 0;
        old.present = false;
        old.capacity = {};
        updateIndexes(worker);
        worker = static_cast<index_t>(workers.size());
        workers.emplace_back();
        nameOf_.push_back(key);
        locationOf_.emplace_back();
        workerByName_[key] = worker;
    }
    auto &entry = workers[worker];
    if (entry.pool == noIndex) {
        placeWorker(worker, input);
        pools[pool].lastJoined = now;
    }
    pools[pool].present += entry.present ? 0 : 1;
    entry.present = true;
    entry.leaving = false;
    entry.capacity = toAmount(input.capacity);
    if (const auto count = entry.capacity.accelerators; count > 0) {
        const amount share {1, entry.capacity.cores / count, entry.capacity.memoryMb / count};
        auto &perAccelerator = pools[pool].perAccelerator;
        perAccelerator = pools[pool].perAcceleratorKnown ? smaller(perAccelerator, share) : share;
        pools[pool].perAcceleratorKnown = true;
    }
    updateIndexes(worker);
    return worker;
}

index_t cluster::addJob(job_id id, const job_spec &spec)
{
    auto job = static_cast<index_t>(jobs.size());
    if (freeJobs_.empty()) {
        jobs.emplace_back();
    } else {
        job = freeJobs_.back();
        freeJobs_.pop_back();
        jobs[job] = {};
    }
    auto &entry = jobs[job];
    entry.id = id;
    entry.workspace = workspaceNamed(spec.workspace);
    entry.pool = poolNamed(spec.pool);
    entry.task = toAmount(spec.task);
    entry.tasks = static_cast<std::uint16_t>(std::clamp(spec.tasks, 1U, maxGangTasks));
    entry.priority = spec.priority;
    entry.repeatable = spec.repeatable;
    entry.declaredSeconds = spec.declaredSeconds;
    jobById_[toNumber(id)] = job;
    return job;
}

index_t cluster::findJob(job_id id) const
{
    const auto it = jobById_.find(toNumber(id));
    return it == jobById_.end() ? noIndex : it->second;
}

void cluster::removeJob(index_t job)
{
    jobById_.erase(toNumber(jobs[job].id));
    jobs[job] = {};
    freeJobs_.push_back(job);
}

void cluster::charge(index_t job, std::int32_t sign)
{
    auto &entry = jobs[job];
    const auto delta = entry.task * sign;
    for (const auto &place : entry.places) {
        auto &worker = workers[place.worker];
        usageOf(worker, entry.allocation) += delta;
        if (entry.allocation == allocation_kind::Preemptible
            && entry.priority == priority_class::Urgent) {
            worker.urgent += delta;
        }
        if (entry.allocation == allocation_kind::Guaranteed) {
            slices[place.slice].used += delta;
            workspaces[entry.workspace].guaranteedUse += delta.accelerators;
        }
    }
}

void cluster::allocate(index_t job, allocation_kind kind, std::vector<task_place> places)
{
    auto &entry = jobs[job];
    entry.allocation = kind;
    entry.places = std::move(places);
    charge(job, 1);
    auto &owner = workspaces[entry.workspace];
    owner.used += entry.accelerators();
    owner.usedCores += entry.task.cores * entry.tasks;
    index_t previous = noIndex;
    for (const auto &place : entry.places) {
        auto &worker = workers[place.worker];
        if (place.worker != previous && std::ranges::find(worker.jobs, job) == worker.jobs.end()) {
            worker.jobs.push_back(job);
        }
        previous = place.worker;
    }
    for (const auto &place : entry.places) {
        updateIndexes(place.worker);
    }
}

void cluster::release(index_t job)
{
    auto &entry = jobs[job];
    charge(job, -1);
    auto &owner = workspaces[entry.workspace];
    owner.used -= entry.accelerators();
    owner.usedCores -= entry.task.cores * entry.tasks;
    owner.borrowed -= entry.borrowed ? entry.accelerators() : 0;
    entry.borrowed = false;
    for (const auto &place : entry.places) {
        std::erase(workers[place.worker].jobs, job);
        updateIndexes(place.worker);
    }
    entry.places.clear();
}

void cluster::convert(index_t job, allocation_kind kind)
{
    charge(job, -1);
    jobs[job].allocation = kind;
    for (auto &place : jobs[job].places) {
        place.slice = noIndex;
    }
    charge(job, 1);
    for (const auto &place : jobs[job].places) {
        updateIndexes(place.worker);
    }
}

index_t cluster::addCell(index_t workspace, index_t pool, const shape &block)
{
    auto id = static_cast<index_t>(cells.size());
    if (freeCells_.empty()) {
        cells.emplace_back();
    } else {
        id = freeCells_.back();
        freeCells_.pop_back();
    }
    cells[id] = {workspace, pool, block, false, {}};
    pools[pool].cells.push_back(id);
    ++pools[pool].unboundCells;
    auto &owned = workspaces[workspace].cells;
    auto it = std::ranges::find(owned, pool, &std::pair<index_t, std::vector<index_t>>::first);
    if (it == owned.end()) {
        it = owned.insert(owned.end(), {pool, {}});
    }
    it->second.push_back(id);
    workspaces[workspace].guaranteed += std::int32_t(block.workers * block.accelerators);
    return id;
}

void cluster::removeCell(index_t id)
{
    unbind(id);
    auto &entry = cells[id];
    std::erase(pools[entry.pool].cells, id);
    --pools[entry.pool].unboundCells;
    for (auto &[pool, owned] : workspaces[entry.workspace].cells) {
        std::erase(owned, id);
    }
    workspaces[entry.workspace].guaranteed
            -= std::int32_t(entry.block.workers * entry.block.accelerators);
    entry = {};
    freeCells_.push_back(id);
}

amount cluster::rowSize(const pool_entry &pool, const shape &block) const
{
    return pool.perAccelerator * std::int32_t(block.accelerators);
}

void cluster::bind(index_t id, const std::vector<index_t> &localWorkers)
{
    auto &entry = cells[id];
    const auto size = rowSize(pools[entry.pool], entry.block);
    for (const auto local : localWorkers) {
        auto sliceId = static_cast<index_t>(slices.size());
        if (freeSlices_.empty()) {
            slices.emplace_back();
        } else {
            sliceId = freeSlices_.back();
            freeSlices_.pop_back();
        }
        const auto worker = pools[entry.pool].workers[local];
        slices[sliceId] = {id, worker, size, {}};
        entry.slices.push_back(sliceId);
        workers[worker].bound += size;
        workers[worker].slices.push_back(sliceId);
        updateIndexes(worker);
    }
    entry.bound = true;
    --pools[entry.pool].unboundCells;
}

void cluster::unbind(index_t id)
{
    auto &entry = cells[id];
    if (!entry.bound) {
        return;
    }
    for (const auto sliceId : entry.slices) {
        auto &slice = slices[sliceId];
        auto &worker = workers[slice.worker];
        worker.bound -= slice.size;
        std::erase(worker.slices, sliceId);
        updateIndexes(slice.worker);
        slice = {};
        freeSlices_.push_back(sliceId);
    }
    entry.slices.clear();
    entry.bound = false;
    ++pools[entry.pool].unboundCells;
}

void cluster::updateIndexes(index_t id)
{
    const auto &worker = workers[id];
    if (worker.pool == noIndex) {
        return;
    }
    auto &pool = pools[worker.pool];
    const auto local = worker.local;
    const auto healthy = worker.healthy();
    const auto probe = worker.present && !worker.leaving && worker.condition == health::Probing
            && worker.jobs.empty();
    const auto usable = healthy && worker.reservedFor == noIndex;
    const auto free = worker.free();
    const auto bindable = worker.capacity - worker.bound - worker.nonPreemptibleUse;
    const amount none;
    const auto before = std::array {
            pool.at(view::Free).available(local), pool.at(view::Unbound).available(local),
            pool.at(view::Reclaim).available(local), pool.at(view::Bindable).available(local)};
    pool.at(view::Free).set(local, usable || probe ? free : none);
    pool.at(view::Unbound).set(local, usable ? smaller(free, bindable) : none);
    const auto reclaim
            = worker.capacity - worker.guaranteedUse - worker.nonPreemptibleUse - worker.urgent;
    pool.at(view::Reclaim).set(local, usable ? reclaim : none);
    pool.at(view::Bindable).set(local, healthy ? bindable : none);
    pool.at(view::Healthy).set(local, healthy ? worker.capacity : none);
    pool.at(view::Known).set(local, worker.capacity);
    const auto after = std::array {
            pool.at(view::Free).available(local), pool.at(view::Unbound).available(local),
            pool.at(view::Reclaim).available(local), pool.at(view::Bindable).available(local)};
    if (!std::ranges::equal(after, before, fits)) {
        pool.recentGrowth[pool.growthCount++ % pool_entry::maxRecentGrowth] = local;
    }
}

std::vector<task_place> cluster::toPlaces(index_t pool, const std::vector<index_t> &local) const
{
    std::vector<task_place> places;
    places.reserve(local.size());
    for (const auto worker : local) {
        places.push_back({pools[pool].workers[worker], noIndex});
    }
    return places;
}

std::size_t cluster::bytes() const
{
    std::size_t total = workerNames_.bytes() + poolNames_.bytes() + workspaceNames_.bytes()
            + workers.size() * (sizeof(worker_entry) + sizeof(location) + 2 * sizeof(index_t))
            + workspaces.size() * sizeof(workspace_entry) + jobs.capacity() * sizeof(job_entry)
            + cells.capacity() * sizeof(cell) + slices.capacity() * sizeof(slice)
            + jobById_.size() * 3 * sizeof(void *) + jobById_.bucket_count() * sizeof(void *);
    for (const auto &worker : workers) {
        total += (worker.jobs.capacity() + worker.slices.capacity()) * sizeof(index_t)
                + worker.failures.capacity() * sizeof(job_id);
    }
    for (const auto &place : locationOf_) {
        total += (place.region.capacity() > 15 ? place.region.capacity() : 0)
                + (place.zone.capacity() > 15 ? place.zone.capacity() : 0)
                + (place.rack.capacity() > 15 ? place.rack.capacity() : 0);
    }
    for (const auto &job : jobs) {
        total += job.places.capacity() * sizeof(task_place)
                + job.failedOn.capacity() * sizeof(index_t);
    }
    for (const auto &entry : cells) {
        total += entry.slices.capacity() * sizeof(index_t);
    }
    for (const auto &pool : pools) {
        total += sizeof(pool) + pool.places.bytes()
                + (pool.workers.capacity() + pool.cells.capacity()) * sizeof(index_t)
                + (pool.waitingJobs.size() + pool.waitingLargeGangs.size()) * 7 * sizeof(void *);
        for (const auto &index : pool.views) {
            total += index.bytes();
        }
    }
    return total;
}

} // namespace persimmon::placement::detail
