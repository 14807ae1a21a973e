#include "core.h"

#include <cmath>

namespace persimmon::placement::detail {

namespace {

// Weight of a Batch job against a Standard one of the same workspace, in doublings of run time.
constexpr double batchHandicap = 2;
// Waiting this many reservation delays outweighs one doubling of run time.
constexpr double agingDelays = 4;

} // namespace

std::int64_t core::shareOf(index_t workspace) const
{
    const auto &entry = state_.workspaces[workspace];
    // One accelerator counts as much as 16 cores, the ratio of today's workers.
    return (std::int64_t(entry.used) * 16 + entry.usedCores) * 1024 / entry.weight;
}

// Lower starts first within a workspace. The weight of completion time favours short jobs, the
// weight of fragmentation favours gangs with many accelerators.
double core::scoreOf(index_t group) const
{
    const auto &head = state_.jobs[queue_.oldest(group)];
    const auto total = options_.completionWeight + options_.fragmentationWeight;
    const auto completion = total > 0 ? options_.completionWeight / total : 0.5;
    const auto expected = estimator_.expected(head.workspace, head.priority, head.accelerators(),
                                              head.declaredSeconds);
    const auto delay = std::max<std::int64_t>(options_.reservationDelay.count(), 1);
    const auto waited = std::chrono::duration_cast<milliseconds>(now_ - head.queued).count();
    return completion * std::log2(1 + double(expected.count()) / 1000)
            - (1 - completion) * std::log2(1 + head.accelerators())
            + (head.priority == priority_class::Batch ? batchHandicap : 0)
            - double(waited) / (agingDelays * double(delay));
}

void core::dispatch(index_t pool)
{
    auto &entry = state_.pools[pool];
    if (entry.order->strictOrder) {
        dispatchInOrder(pool);
        return;
    }
    startReserved(pool);
    measureReserved(pool);
    // A pass may queue jobs whose claim it takes away; they are looked at with the next event.
    entry.dispatchNeeded = false;
    entry.dispatchNeeded = !runPass(pool) || entry.dispatchNeeded;
}

// Baseline: the oldest job starts first, and no later job passes it.
void core::dispatchInOrder(index_t pool)
{
    auto &entry = state_.pools[pool];
    while (!entry.arrivals.empty()) {
        if (searches_ == 0) {
            return;
        }
        const auto job = entry.arrivals.begin()->second;
        if (const auto why = tryStart(job, true)) {
            setReason(state_.jobs[job].group, *why);
            break;
        }
    }
    entry.dispatchNeeded = false;
}

// Offers free room to the workspaces in order of their share, urgent jobs first. Returns false when
// the searches of this step are used up.
bool core::runPass(index_t pool)
{
    std::vector<candidate> order;
    for (const auto &[workspace, groups] : queue_.groupsOf(pool)) {
        std::array<bool, 2> open {}; // by urgency: some group is worth a closer look
        for (const auto id : groups) {
            const auto urgent = queue_.group(id).priority == priority_class::Urgent;
            open[urgent] = open[urgent] || !passOver(id);
        }
        for (const auto urgent : {true, false}) {
            if (open[urgent]) {
                order.push_back({urgent, shareOf(workspace), workspace});
            }
        }
    }
    const auto later = [](const candidate &left, const candidate &right) {
        return std::tuple(!left.urgent, left.share, left.workspace)
                > std::tuple(!right.urgent, right.share, right.workspace);
    };
    std::ranges::make_heap(order, later);
    while (!order.empty()) {
        if (searches_ == 0) {
            return false;
        }
        std::ranges::pop_heap(order, later);
        if (tryWorkspace(pool, order.back())) {
            order.back().share = shareOf(order.back().workspace);
            std::ranges::push_heap(order, later);
        } else if (searches_ > 0) {
            order.pop_back();
        }
    }
    return true;
}

// Starts the best job of a workspace. Returns false when none can start.
bool core::tryWorkspace(index_t pool, const candidate &next)
{
    const auto &all = queue_.groupsOf(pool);
    const auto place = all.find(next.workspace);
    if (place == all.end()) {
        return false;
    }
    std::vector<std::pair<double, index_t>> groups;
    for (const auto group : place->second) {
        if ((queue_.group(group).priority == priority_class::Urgent) == next.urgent
            && !passOver(group)) {
            groups.emplace_back(scoreOf(group), group);
        }
    }
    std::ranges::sort(groups);
    for (const auto &[score, group] : groups) {
        if (searches_ == 0) {
            return false;
        }
        if (tryGroup(group)) {
            return true;
        }
    }
    return false;
}

// Whether the last search for this kind of job failed and no worker has gained room for one task.
bool core::knownToFail(job_kind &kind, const pool_entry &pool, bool urgent) const
{
    if (!kind.failed[urgent] || pool.changeCount - kind.seen[urgent] > pool_entry::maxChanges) {
        return false;
    }
    for (auto &next = kind.seen[urgent]; next < pool.changeCount; ++next) {
        const auto worker = pool.changes[next % pool_entry::maxChanges];
        auto room = pool.at(view::Free).available(worker);
        if (urgent) {
            room = larger(room, pool.at(view::Reclaim).available(worker));
            room = larger(room, pool.at(view::Bindable).available(worker));
        }
        if (slotsOf(kind.task, room) > 0) {
            return false;
        }
    }
    return true;
}

// Whether a group can be passed over without looking at its oldest job.
bool core::passOver(index_t id)
{
    auto &group = queue_.group(id);
    const auto &pool = state_.pools[group.pool];
    const auto &owner = state_.workspaces[group.workspace];
    const auto urgent = group.priority == priority_class::Urgent;
    auto &kind = queue_.kindOf(id);
    if (group.reason == wait_reason::None || group.reason == wait_reason::QuotaReached
        || (owner.guaranteed > owner.owned && kind.task.accelerators > 0)) {
        return false;
    }
    return knownToFail(kind, pool, urgent) && !mayBackfill(group, kind);
}

// Tries the oldest job of a group, without a search when one of its kind is known to fail.
bool core::tryGroup(index_t group)
{
    const auto job = queue_.oldest(group);
    const auto urgent = queue_.group(group).priority == priority_class::Urgent;
    auto &kind = queue_.kindOf(group);
    const auto known = knownToFail(kind, state_.pools[state_.jobs[job].pool], urgent);
    auto why = tryStart(job, !known);
    if (!why) {
        return true;
    }
    if (known && why->reason == wait_reason::NoFreeBlock) {
        why = refusal {kind.reason[urgent], kind.behind[urgent]};
    }
    setReason(group, *why);
    return false;
}

// Remembers that a search for this kind of job failed.
void core::rememberFailure(index_t job, const refusal &why)
{
    const auto &entry = state_.jobs[job];
    const auto urgent = entry.priority == priority_class::Urgent;
    auto &kind = queue_.kindOf(entry.group);
    kind.failed[urgent] = true;
    kind.seen[urgent] = state_.pools[entry.pool].changeCount;
    kind.reason[urgent] = why.reason;
    kind.behind[urgent] = why.behind;
}

bool core::overQuota(index_t job) const
{
    const auto &entry = state_.jobs[job];
    const auto &owner = state_.workspaces[entry.workspace];
    return owner.quota > 0 && entry.accelerators() > 0
            && owner.used + entry.accelerators() > std::max(owner.quota, owner.guaranteed);
}

// Starts a job, or begins to reclaim room for it. Returns why it has to wait. Without a search
// only the cells of its own workspace and reserved workers are looked at.
std::optional<core::refusal> core::tryStart(index_t job, bool search)
{
    const auto &entry = state_.jobs[job];
    if (state_.pools[entry.pool].present == 0) {
        return refusal {wait_reason::NoWorkers, {}};
    }
    std::vector<task_place> owned;
    if (findOwned(job, true, owned)) {
        place(job, hold::Owned, std::move(owned), "own guarantee");
        return std::nullopt;
    }
    const auto reclaimable = findOwned(job, false, owned);
    auto outside = overQuota(job) ? std::optional(refusal {wait_reason::QuotaReached, {}})
                                  : startOutside(job, search);
    if (outside && reclaimable) {
        claim(job, hold::Owned, std::move(owned));
        return std::nullopt;
    }
    return outside;
}

// Looks for room outside the cells of the job's own workspace.
std::optional<core::refusal> core::startOutside(index_t job, bool search)
{
    const auto &entry = state_.jobs[job];
    const auto &pool = state_.pools[entry.pool];
    if (!entry.repeatable && pool.unboundCells > 0) {
        // A guarantee has to be bound first; a job that can't be stopped must not take its room.
        return refusal {wait_reason::GuaranteeHeld, {}};
    }
    if (search) {
        --searches_;
        if (findIn(view::Unbound, job, found_)) {
            place(job, entry.repeatable ? hold::Soft : hold::Pinned,
                  state_.toPlaces(entry.pool, found_), "free workers");
            return std::nullopt;
        }
        if (entry.repeatable && findIn(view::Free, job, found_)) {
            state_.jobs[job].borrowed = true;
            place(job, hold::Soft, state_.toPlaces(entry.pool, found_), "lent cells");
            return std::nullopt;
        }
    }
    if (backfill(job)) {
        return std::nullopt;
    }
    if (search && entry.priority == priority_class::Urgent && !pool.order->strictOrder
        && claimUrgent(job)) {
        return std::nullopt;
    }
    if (!search) {
        return refusal {};
    }
    const auto why = explain(job);
    rememberFailure(job, why);
    return why;
}

// Searches one kind of capacity and keeps the job away from workers on which it failed, unless the
// other healthy workers could not hold it even when idle.
bool core::findIn(view kind, index_t job, std::vector<index_t> &found)
{
    const auto &entry = state_.jobs[job];
    auto &pool = state_.pools[entry.pool];
    const request need {entry.task, entry.tasks};
    if (entry.failedOn.empty()) {
        return pool.at(kind).find(*pool.order, need, found);
    }
    auto &healthy = pool.at(view::Healthy);
    std::vector<std::tuple<index_t, amount, amount>> hidden;
    for (const auto worker : entry.failedOn) {
        const auto local = state_.workers[worker].local;
        if (state_.workers[worker].pool == entry.pool) {
            hidden.emplace_back(local, pool.at(kind).available(local), healthy.available(local));
            pool.at(kind).set(local, {});
            healthy.set(local, {});
        }
    }
    const auto avoidable = healthy.find(*pool.order, need, found);
    const auto placed = avoidable && pool.at(kind).find(*pool.order, need, found);
    for (const auto &[local, room, whole] : hidden) {
        pool.at(kind).set(local, room);
        healthy.set(local, whole);
    }
    return avoidable ? placed : pool.at(kind).find(*pool.order, need, found);
}

core::refusal core::explain(index_t job)
{
    const auto &entry = state_.jobs[job];
    const auto &pool = state_.pools[entry.pool];
    if (!entry.repeatable && !pool.cells.empty()
        && pool.at(view::Free).find(*pool.order, {entry.task, entry.tasks}, found_)) {
        return {wait_reason::GuaranteeHeld, {}};
    }
    for (const auto &held : pool.reservations) {
        std::uint32_t slots = 0;
        auto last = noIndex;
        for (const auto worker : held.workers) {
            slots += worker == last ? 0 : slotsOf(entry.task, state_.workers[worker].free());
            last = worker;
        }
        if (held.job != job && slots >= entry.tasks) {
            return {wait_reason::ReservationAhead, state_.jobs[held.job].id};
        }
    }
    return {wait_reason::NoFreeBlock, {}};
}

// Allots resources to a waiting job and starts it.
void core::place(index_t job, hold kind, std::vector<task_place> places, std::string_view reason)
{
    auto &entry = state_.jobs[job];
    dropReservationsOf(job);
    queue_.erase(state_.jobs, state_.pools, job);
    auto &owner = state_.workspaces[entry.workspace];
    --owner.waiting;
    owner.borrowed += entry.borrowed ? entry.accelerators() : 0;
    state_.allot(job, kind, std::move(places));
    start(job, reason);
}

void core::setReason(index_t group, const refusal &why)
{
    auto &entry = queue_.group(group);
    if (entry.reason == why.reason) {
        return;
    }
    entry.reason = why.reason;
    entry.behind = why.behind;
    entry.reported = {};
    if (!entry.reporting) {
        entry.reporting = true;
        unreported_.push_back(group);
    }
}

void core::report(index_t job, const refusal &why)
{
    auto &entry = state_.jobs[job];
    if (entry.reason == why.reason) {
        return;
    }
    entry.reason = why.reason;
    static constexpr std::array<std::string_view, 8> details {
            "",
            "starts when a block of adjacent workers of this size is free",
            "starts when jobs of the same workspace end or its quota grows",
            "starts when room outside the guarantees of other workspaces is free",
            "starts after the reserved gang, or when it is expected to end before that",
            "starts when the preempted jobs have stopped",
            "starts after one announcement period",
            "starts when workers of the pool join",
    };
    actions_.emplace_back(job_waits {entry.id, why.reason, why.behind,
                                     std::string(details[std::size_t(why.reason)])});
}

// Tells the members of groups whose reason has changed, a bounded number in each step.
void core::flushReports()
{
    for (auto left = maxReports; left > 0 && !unreported_.empty();) {
        auto &group = queue_.group(unreported_.front());
        if (group.reason == wait_reason::None && !group.jobs.empty()) {
            break; // not tried yet
        }
        auto next = group.jobs.upper_bound({group.reported, noIndex});
        for (; left > 0 && next != group.jobs.end(); ++next, --left) {
            group.reported = next->first;
            report(next->second, {group.reason, group.behind});
        }
        if (next == group.jobs.end()) {
            group.reporting = false;
            unreported_.pop_front();
            left -= left > 0 ? 1 : 0;
        }
    }
}

} // namespace persimmon::placement::detail
