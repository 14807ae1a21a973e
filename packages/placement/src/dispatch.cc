#include "core.h"

#include <cmath>

namespace persimmon::placement::detail {

namespace {

// Penalty of a Batch job against a Standard one of the same workspace, in doublings of run time.
constexpr double batchPenalty = 2;
// Number of reservation delays of waiting that outweigh one doubling of run time.
constexpr double agingDelays = 4;

} // namespace

std::int64_t core::shareOf(index_t workspace) const
{
    const auto &entry = state_.workspaces[workspace];
    // One accelerator counts as 16 cores, the ratio of the workers in use.
    return (std::int64_t(entry.used) * 16 + entry.usedCores) * 1024 / entry.weight;
}

// Returns the rank of a group within its workspace; the lowest starts first. The completion weight
// favours short jobs, the fragmentation weight favours gangs with many accelerators.
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
            + (head.priority == priority_class::Batch ? batchPenalty : 0)
            - double(waited) / (agingDelays * double(delay));
}

void core::dispatch(index_t pool)
{
    auto &entry = state_.pools[pool];
    if (entry.policy->strictOrder) {
        dispatchInOrder(pool);
        return;
    }
    startReserved(pool);
    updateBackfillBounds(pool);
    // A pass may requeue jobs whose claims it displaces; they are tried with the next event.
    entry.dispatchNeeded = false;
    entry.dispatchNeeded = !runPass(pool) || entry.dispatchNeeded;
}

// Benchmark baseline: jobs start in order of arrival, and no job overtakes the oldest.
void core::dispatchInOrder(index_t pool)
{
    auto &entry = state_.pools[pool];
    while (!entry.waitingJobs.empty()) {
        if (searchesLeft_ == 0) {
            return;
        }
        const auto job = entry.waitingJobs.begin()->second;
        if (const auto cause = tryStart(job, true)) {
            setReason(state_.jobs[job].group, *cause);
            break;
        }
    }
    entry.dispatchNeeded = false;
}

// Offers free capacity to the workspaces in ascending order of their share, urgent jobs first.
// Returns false when the search limit of this step is reached.
bool core::runPass(index_t pool)
{
    std::vector<candidate> order;
    for (const auto &[workspace, groups] : queue_.groupsOf(pool)) {
        std::array<bool, 2> eligible {}; // by urgency: some group has to be tried
        for (const auto id : groups) {
            const auto urgent = queue_.group(id).priority == priority_class::Urgent;
            eligible[urgent] = eligible[urgent] || !canSkip(id);
        }
        for (const auto urgent : {true, false}) {
            if (eligible[urgent]) {
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
        if (searchesLeft_ == 0) {
            return false;
        }
        std::ranges::pop_heap(order, later);
        if (tryWorkspace(pool, order.back())) {
            order.back().share = shareOf(order.back().workspace);
            std::ranges::push_heap(order, later);
        } else if (searchesLeft_ > 0) {
            order.pop_back();
        }
    }
    return true;
}

// Starts the best-ranked job of a workspace that fits. Returns false when none can start.
bool core::tryWorkspace(index_t pool, const candidate &next)
{
    const auto &groupsByWorkspace = queue_.groupsOf(pool);
    const auto it = groupsByWorkspace.find(next.workspace);
    if (it == groupsByWorkspace.end()) {
        return false;
    }
    std::vector<std::pair<double, index_t>> groups;
    for (const auto group : it->second) {
        if ((queue_.group(group).priority == priority_class::Urgent) == next.urgent
            && !canSkip(group)) {
            groups.emplace_back(scoreOf(group), group);
        }
    }
    std::ranges::sort(groups);
    for (const auto &[score, group] : groups) {
        if (searchesLeft_ == 0) {
            return false;
        }
        if (tryGroup(group)) {
            return true;
        }
    }
    return false;
}

// Returns whether the last search for this kind of job failed and no worker has since gained
// capacity for one task.
bool core::searchWouldFail(job_kind &kind, const pool_entry &pool, bool urgent) const
{
    if (!kind.failed[urgent]
        || pool.growthCount - kind.growthSeen[urgent] > pool_entry::maxRecentGrowth) {
        return false;
    }
    for (auto &next = kind.growthSeen[urgent]; next < pool.growthCount; ++next) {
        const auto worker = pool.recentGrowth[next % pool_entry::maxRecentGrowth];
        auto available = pool.at(view::Free).available(worker);
        if (urgent) {
            available = larger(available, pool.at(view::Reclaim).available(worker));
            available = larger(available, pool.at(view::Bindable).available(worker));
        }
        if (slotsOf(kind.task, available) > 0) {
            return false;
        }
    }
    return true;
}

// Returns whether a group can be skipped without trying its oldest job.
bool core::canSkip(index_t id)
{
    auto &group = queue_.group(id);
    const auto &pool = state_.pools[group.pool];
    const auto &owner = state_.workspaces[group.workspace];
    const auto urgent = group.priority == priority_class::Urgent;
    auto &kind = queue_.kindOf(id);
    if (group.reason == wait_reason::None || group.reason == wait_reason::QuotaReached
        || (owner.guaranteed > owner.guaranteedUse && kind.task.accelerators > 0)) {
        return false;
    }
    return searchWouldFail(kind, pool, urgent) && !mayBackfill(group, kind);
}

// Tries to start the oldest job of a group. Skips the search if it is known to fail for this kind.
bool core::tryGroup(index_t group)
{
    const auto job = queue_.oldest(group);
    const auto urgent = queue_.group(group).priority == priority_class::Urgent;
    auto &kind = queue_.kindOf(group);
    const auto failureKnown = searchWouldFail(kind, state_.pools[state_.jobs[job].pool], urgent);
    auto cause = tryStart(job, !failureKnown);
    if (!cause) {
        return true;
    }
    if (failureKnown && cause->reason == wait_reason::NoFreeBlock) {
        cause = wait_cause {kind.reason[urgent], kind.blockedBy[urgent]};
    }
    setReason(group, *cause);
    return false;
}

// Records that a search for this kind of job failed.
void core::recordFailedSearch(index_t job, const wait_cause &cause)
{
    const auto &entry = state_.jobs[job];
    const auto urgent = entry.priority == priority_class::Urgent;
    auto &kind = queue_.kindOf(entry.group);
    kind.failed[urgent] = true;
    kind.growthSeen[urgent] = state_.pools[entry.pool].growthCount;
    kind.reason[urgent] = cause.reason;
    kind.blockedBy[urgent] = cause.blockedBy;
}

bool core::overQuota(index_t job) const
{
    const auto &entry = state_.jobs[job];
    const auto &owner = state_.workspaces[entry.workspace];
    return owner.quota > 0 && entry.accelerators() > 0
            && owner.used + entry.accelerators() > std::max(owner.quota, owner.guaranteed);
}

// Starts a job or claims capacity for it; otherwise returns why it waits. Without `search`, only
// the cells of its workspace and reserved workers are considered.
std::optional<core::wait_cause> core::tryStart(index_t job, bool search)
{
    const auto &entry = state_.jobs[job];
    if (state_.pools[entry.pool].present == 0) {
        return wait_cause {wait_reason::NoWorkers, {}};
    }
    std::vector<task_place> owned;
    if (findInOwnCells(job, true, owned)) {
        place(job, allocation_kind::Guaranteed, std::move(owned), "own guarantee");
        return std::nullopt;
    }
    const auto reclaimable = findInOwnCells(job, false, owned);
    auto outside = overQuota(job) ? std::optional(wait_cause {wait_reason::QuotaReached, {}})
                                  : startOutsideCells(job, search);
    if (outside && reclaimable) {
        claim(job, allocation_kind::Guaranteed, std::move(owned));
        return std::nullopt;
    }
    return outside;
}

// Tries to start or claim outside the cells of the job's workspace.
std::optional<core::wait_cause> core::startOutsideCells(index_t job, bool search)
{
    const auto &entry = state_.jobs[job];
    const auto &pool = state_.pools[entry.pool];
    if (!entry.repeatable && pool.unboundCells > 0) {
        // Guarantees are bound first: a job that can't be preempted must not take their capacity.
        return wait_cause {wait_reason::GuaranteeHeld, {}};
    }
    if (search) {
        --searchesLeft_;
        if (findInView(view::Unbound, job, found_)) {
            place(job,
                  entry.repeatable ? allocation_kind::Preemptible : allocation_kind::NonPreemptible,
                  state_.toPlaces(entry.pool, found_), "free workers");
            return std::nullopt;
        }
        if (entry.repeatable && findInView(view::Free, job, found_)) {
            state_.jobs[job].borrowed = true;
            place(job, allocation_kind::Preemptible, state_.toPlaces(entry.pool, found_),
                  "lent cells");
            return std::nullopt;
        }
    }
    if (backfill(job)) {
        return std::nullopt;
    }
    if (search && entry.priority == priority_class::Urgent && !pool.policy->strictOrder
        && claimUrgent(job)) {
        return std::nullopt;
    }
    if (!search) {
        return wait_cause {};
    }
    const auto cause = findWaitReason(job);
    recordFailedSearch(job, cause);
    return cause;
}

// Searches one view of the capacity. Excludes the workers on which the job failed, unless the other
// healthy workers could not hold it even if idle.
bool core::findInView(view kind, index_t job, std::vector<index_t> &found)
{
    const auto &entry = state_.jobs[job];
    auto &pool = state_.pools[entry.pool];
    const request need {entry.task, entry.tasks};
    if (entry.failedOn.empty()) {
        return pool.at(kind).find(*pool.policy, need, found);
    }
    auto &healthy = pool.at(view::Healthy);
    std::vector<std::tuple<index_t, amount, amount>> excluded;
    for (const auto worker : entry.failedOn) {
        const auto local = state_.workers[worker].local;
        if (state_.workers[worker].pool == entry.pool) {
            excluded.emplace_back(local, pool.at(kind).available(local), healthy.available(local));
            pool.at(kind).set(local, {});
            healthy.set(local, {});
        }
    }
    const auto avoidable = healthy.find(*pool.policy, need, found);
    const auto placed = avoidable && pool.at(kind).find(*pool.policy, need, found);
    for (const auto &[local, available, capacity] : excluded) {
        pool.at(kind).set(local, available);
        healthy.set(local, capacity);
    }
    return avoidable ? placed : pool.at(kind).find(*pool.policy, need, found);
}

core::wait_cause core::findWaitReason(index_t job)
{
    const auto &entry = state_.jobs[job];
    const auto &pool = state_.pools[entry.pool];
    if (!entry.repeatable && !pool.cells.empty()
        && pool.at(view::Free).find(*pool.policy, {entry.task, entry.tasks}, found_)) {
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

// Allocates resources to a waiting job and starts it.
void core::place(index_t job, allocation_kind kind, std::vector<task_place> places,
                 std::string_view reason)
{
    auto &entry = state_.jobs[job];
    dropReservationsOf(job);
    queue_.erase(state_.jobs, state_.pools, job);
    auto &owner = state_.workspaces[entry.workspace];
    --owner.waiting;
    owner.borrowed += entry.borrowed ? entry.accelerators() : 0;
    state_.allocate(job, kind, std::move(places));
    start(job, reason);
}

void core::setReason(index_t group, const wait_cause &cause)
{
    auto &entry = queue_.group(group);
    if (entry.reason == cause.reason) {
        return;
    }
    entry.reason = cause.reason;
    entry.blockedBy = cause.blockedBy;
    entry.reportedUpTo = {};
    if (!entry.reportPending) {
        entry.reportPending = true;
        groupsToReport_.push_back(group);
    }
}

void core::report(index_t job, const wait_cause &cause)
{
    auto &entry = state_.jobs[job];
    if (entry.reason == cause.reason) {
        return;
    }
    entry.reason = cause.reason;
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
    actions_.emplace_back(job_waits {entry.id, cause.reason, cause.blockedBy,
                                     std::string(details[std::size_t(cause.reason)])});
}

// Reports the wait reason to members of groups whose reason has changed, at most maxReportsPerStep
// per step.
void core::flushReports()
{
    for (auto remaining = maxReportsPerStep; remaining > 0 && !groupsToReport_.empty();) {
        auto &group = queue_.group(groupsToReport_.front());
        if (group.reason == wait_reason::None && !group.jobs.empty()) {
            break; // not tried yet
        }
        auto next = group.jobs.upper_bound({group.reportedUpTo, noIndex});
        for (; remaining > 0 && next != group.jobs.end(); ++next, --remaining) {
            group.reportedUpTo = next->first;
            report(next->second, {group.reason, group.blockedBy});
        }
        if (next == group.jobs.end()) {
            group.reportPending = false;
            groupsToReport_.pop_front();
            remaining -= remaining > 0 ? 1 : 0;
        }
    }
}

} // namespace persimmon::placement::detail
