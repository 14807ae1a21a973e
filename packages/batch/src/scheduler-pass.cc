#include "scheduler-pass.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace persimmon::batch {

namespace {

// Work that finds no other worker for this time is started on one where it has failed.
constexpr milliseconds banLimit {2000};

// Limits the attempts at preemption in one pass. Further units wait for the next pass.
constexpr std::size_t maxPreemptions = 8;

// Number of workers in an advice request beyond the number of tasks, because some may be refused.
constexpr std::size_t extraAdviceWorkers = 4;

// Maximum number of workers in one advice request.
constexpr std::size_t maxAdviceWorkers = 30;

// Urgent work prefers workers whose next heartbeat is expected within this time.
constexpr milliseconds soonHeartbeatLimit {250};

bool atLeast(const amount &left, const amount &right)
{
    return left.cpu >= right.cpu && left.memory >= right.memory
            && left.accelerators >= right.accelerators;
}

} // namespace

scheduler::pass::pass(const schedule_input &input, memory &earlier)
    : input_(input)
    , memory_(earlier)
    , claims_(earlier.claims)
    , reserves_(earlier.reserves)
    , uses_(detail::urgentUse(*input.state))
    , available_(input.workers.size())
    , beingFreed_(input.workers.size())
    , allWorkers_(input.workers.size())
    , isReserved_(input.workers.size())
    , neighbours_(input.interference, input.workers.size())
{
    std::iota(allWorkers_.begin(), allWorkers_.end(), std::size_t {0});
    // Workers and busy workers are both ordered by id.
    const auto &busyWorkers = input.state->busyWorkers();
    auto busy = busyWorkers.begin();
    for (std::size_t i = 0; i < input.workers.size(); ++i) {
        const auto &report = reportOf(i);
        while (busy != busyWorkers.end() && busy->first < report.id)
            ++busy;
        workerIndexes_[report.id] = i;
        racks_[report.rack].push_back(i);
        available_[i] = report.capacity;
        available_[i] -= input.workers[i].residual;
        if (busy != busyWorkers.end() && busy->first == report.id) {
            available_[i] -= busy->second.used;
            collectNeighbours(i, busy->second.runs);
        }
    }
    for (const auto &[task, run] : *input.stopping)
        recordStopping(task, run);
    collectSuspects();
    collectPools();
    for (const auto &[id, item] : claims_)
        applyClaim(item, 1);
}

void scheduler::pass::collectNeighbours(std::size_t worker,
                                        const std::map<task_id, assignment> &runs)
{
    if (!neighbours_.matter())
        return;
    const job_record *job = nullptr;
    for (const auto &[task, run] : runs) {
        if (job == nullptr || job->id != task.job)
            job = input_.state->findJob(task.job);
        if (job != nullptr)
            neighbours_.add(worker, neighbours_.kindOf(job->source.name, task.step));
    }
}

// Takes resources of a worker, or returns them if they are negative.
void scheduler::pass::take(std::size_t worker, const amount &resources)
{
    const auto change = isIdle(worker) ? -1 : 0;
    available_[worker] -= resources;
    countIdle(worker, change + (isIdle(worker) ? 1 : 0));
}

void scheduler::pass::recordStopping(const task_id &task, std::uint32_t run)
{
    const auto *job = input_.state->findJob(task.job);
    if (job == nullptr || !job->taskOf(task).active || job->taskOf(task).run != run)
        return;
    const auto &spec = job->spec.steps[task.step];
    if (const auto found = workerIndexes_.find(job->taskOf(task).worker);
        found != workerIndexes_.end())
        beingFreed_[found->second] += spec.charged();
    if (const auto use = uses_.find(job->tenant); use != uses_.end() && job->source.priority == 0)
        use->second.running -= spec.need.accelerators;
}

// Returns the number of tasks of a step that are active on a worker or started in this pass.
std::uint32_t scheduler::pass::activeOn(std::size_t worker, const step_key &step) const
{
    const auto &runs = input_.state->runsOn(reportOf(worker).id);
    const auto started = startedOn_.find({worker, step});
    auto count = started == startedOn_.end() ? 0U : started->second;
    for (auto item = runs.lower_bound({step.job, step.occurrence, step.step, 0});
         item != runs.end() && stepOf(item->first) == step; ++item)
        ++count;
    return count;
}

void scheduler::pass::applyClaim(const claim &item, int sign)
{
    for (const auto &[worker, resources] : item.resources) {
        if (const auto found = workerIndexes_.find(worker); found != workerIndexes_.end())
            take(found->second, resources * sign);
    }
}

schedule_output scheduler::pass::run()
{
    for (auto &item : detail::collectUnits(input_, uses_))
        scheduleUnit(item);
    memory_.waiting = std::move(waiting_);
    memory_.preemptions.endPass();
    memory_.stallAttempts.endPass();
    return std::move(output_);
}

void scheduler::pass::scheduleUnit(unit &item)
{
    item.kind = neighbours_.kindOf(item.job->source.name, item.first.step);
    if (startsLater(item)) {
        countWaiting(item);
        output_.waits.push_back({item.first, wait_cause::Suspected});
        explain(item, wait_cause::Suspected);
        return;
    }
    const auto claimed = claims_.find(item.first);
    const bool waiting = claimed != claims_.end();
    if (waiting)
        applyClaim(claimed->second, -1);
    auto slots = !waiting && isDominated(item) ? std::vector<slot> {} : place(item);
    if (slots.empty() && mayIgnoreFailures(item)) {
        item.waived.failures = true;
        slots = place(item);
    }
    if (slots.empty() && mustStart(item))
        slots = placeStalled(item);
    if (!slots.empty()) {
        start(item, slots);
        if (waiting)
            claims_.erase(item.first);
        if (slots.size() == item.indexes.size())
            return;
        countWaiting(item);
        if (item.job->source.adviceValidMs > 0)
            requestAdvice(item);
        return;
    }
    countWaiting(item);
    output_.waits.push_back({item.first, waiting ? wait_cause::Preempting : wait_cause::NoRoom});
    explain(item, output_.waits.back().cause);
    if (waiting) {
        applyClaim(claims_.at(item.first), 1);
        return;
    }
    if (item.job->source.adviceValidMs > 0)
        return requestAdvice(item);
    recordUnplaceable(item);
    if (item.pastFinalDeadline && !item.guaranteed)
        return;
    if (mayTryPreemption(item)) {
        if (preempt(item)) {
            applyClaim(claims_.at(item.first), 1);
            output_.waits.back().cause = wait_cause::Preempting;
            return;
        }
        memory_.preemptions.recordFailure(item.first);
    }
    if (item.placedTogether())
        reserveRack(item);
}

bool scheduler::pass::mayTryPreemption(const unit &item)
{
    // A job that another machine has accepted may be from later than this machine's time of day.
    const bool isTime = input_.wallMs >= item.preemptFromMs
            || hasWaited(item, milliseconds {item.patienceMs});
    return item.job->source.priority == 0 && isTime
            && memory_.preemptions.mayTry(item.first, maxPreemptions);
}

void scheduler::pass::countWaiting(const unit &item)
{
    const auto earlier = memory_.waiting.find(item.first);
    waiting_[item.first] = earlier == memory_.waiting.end() ? input_.now : earlier->second;
    ++output_.waiting;
    if (item.job->source.priority == 0)
        ++output_.urgentWaiting;
}

// Returns whether a unit has waited for a time in the passes of this leader.
bool scheduler::pass::hasWaited(const unit &item, milliseconds time) const
{
    const auto found = memory_.waiting.find(item.first);
    return found != memory_.waiting.end() && found->second + time <= input_.now;
}

bool scheduler::pass::isDominated(const unit &item) const
{
    const auto need = item.spec->charged();
    const auto count = item.placedTogether() ? item.indexes.size() : 1;
    const auto access = accessOf(item);
    return std::ranges::any_of(unplaceableNeeds_, [&](const unplaceable_need &blocked) {
        return *blocked.pool == item.job->source.pool && atLeast(need, blocked.need)
                && count >= blocked.count && (item.inOneRack() || !blocked.inOneRack)
                && blocked.access.covers(access);
    });
}

void scheduler::pass::recordUnplaceable(const unit &item)
{
    if (!item.isUnconstrained() || isDominated(item))
        return;
    unplaceableNeeds_.push_back({&item.job->source.pool, item.spec->charged(),
                                 item.placedTogether() ? item.indexes.size() : 1, item.inOneRack(),
                                 accessOf(item)});
}

// Returns whether a worker is in the pool of a unit and has the label that it requires.
bool scheduler::pass::suits(const unit &item, const worker_report &report)
{
    const auto &label = item.spec->requiredLabel;
    return report.pool == item.job->source.pool
            && (label.empty() || std::ranges::find(report.labels, label) != report.labels.end());
}

bool scheduler::pass::isEligible(const unit &item, std::size_t worker) const
{
    const auto &view = input_.workers[worker];
    if (!view.schedulable || !suits(item, *view.report))
        return false;
    if (view.quarantined && !item.waived.quarantine)
        return false;
    if (!item.waived.failures && isBanned(item, worker))
        return false;
    return mayShare(item, worker);
}

// Returns whether failures speak against a worker for a unit.
bool scheduler::pass::isBanned(const unit &item, std::size_t worker) const
{
    const auto &view = input_.workers[worker];
    return (item.lastAttempt && !view.trusted)
            || std::ranges::find(item.avoidedWorkers, view.report->id) != item.avoidedWorkers.end();
}

// Returns whether a unit has waited for long enough to be placed on banned workers: where no other
// worker is eligible, or where it would wait beside a pool that is mostly idle.
bool scheduler::pass::mayIgnoreFailures(const unit &item) const
{
    if (!item.retried() && !item.lastAttempt)
        return false;
    if (!hasWaited(item, banLimit))
        return false;
    return accessOf(item).reservedRacks
            || tasksInEmpty(item, allWorkers_) < static_cast<std::int64_t>(item.indexes.size());
}

bool scheduler::pass::hasTicket(const unit &item, std::size_t worker) const
{
    const auto &report = reportOf(worker);
    return item.job->source.adviceValidMs == 0
            || input_.advice->find(detail::stepKeyOf(item), report.id, report.incarnation,
                                   input_.now)
            != nullptr;
}

// The time of a request grows with the number of workers in it, so only about as many as needed are
// included.
void scheduler::pass::requestAdvice(const unit &item)
{
    const auto need = item.spec->charged();
    const auto step = detail::stepKeyOf(item);
    auto asked = item;
    if (mustStart(item))
        asked.waived = {true, true, true, true, true};
    std::vector<std::size_t> unasked;
    for (const auto worker : allWorkers_) {
        const auto &report = reportOf(worker);
        if (isEligible(asked, worker) && timesFitting(report.capacity, need) > 0
            && !input_.advice->isKnown(step, report.id, report.incarnation, input_.now))
            unasked.push_back(worker);
    }
    std::ranges::stable_sort(unasked, std::greater<> {}, [&](std::size_t worker) {
        return timesFitting(available_[worker], need);
    });
    if (unasked.size() > item.indexes.size() + extraAdviceWorkers)
        unasked.resize(item.indexes.size() + extraAdviceWorkers);
    if (unasked.size() > maxAdviceWorkers)
        unasked.resize(maxAdviceWorkers);
    if (unasked.empty())
        return;
    output_.waits.push_back({item.first, wait_cause::NoAdvice});
    auto &want = output_.advice.emplace_back();
    want.step = step;
    for (const auto worker : unasked)
        want.workers.push_back(reportOf(worker).id);
}

// Returns the eligible workers with enough free resources for at least one task, best first.
std::vector<std::size_t> scheduler::pass::candidates(const unit &item,
                                                     const std::vector<std::size_t> &from) const
{
    const auto need = item.spec->charged();
    const auto &workers = input_.workers;
    const bool mayUseReserved = accessOf(item).reservedRacks;
    std::vector<std::size_t> found;
    for (const auto worker : from) {
        if (timesFitting(available_[worker], need) > 0 && isEligible(item, worker)
            && hasTicket(item, worker) && (mayUseReserved || !isReserved_[worker]))
            found.push_back(worker);
    }
    const auto &rack = item.spec->preferredRack;
    std::ranges::stable_sort(found, {}, [&](std::size_t worker) {
        const auto &labels = reportOf(worker).labels;
        const bool notPreferred = !rack.empty() && std::ranges::find(labels, rack) == labels.end();
        // Each attempt of a task may be the last one of its job.
        const bool unproven = item.retried() && !workers[worker].proven;
        // Idle workers are taken from racks that have few of them, which keeps whole racks free.
        const auto idle = isIdle(worker) ? idleInRack_.at(reportOf(worker).rack) : 0;
        // A worker that is lost under a suspected task takes fewer others with it.
        const auto others = item.suspected ? runCount(worker) : 0;
        return std::tuple(isKeptForOthers(worker), unproven, notPreferred, others,
                          workers[worker].penalty, workers[worker].cold,
                          heartbeatRank(item, worker), neighbourRank(item, worker),
                          available_[worker].accelerators, idle, available_[worker].cpu);
    });
    keepReserve(item, found);
    return found;
}

// Ranks a worker by the time until its next heartbeat, 0 being the best. Always 0 for work that
// isn't urgent.
std::int64_t scheduler::pass::heartbeatRank(const unit &item, std::size_t worker) const
{
    if (item.job->source.priority != 0)
        return 0;
    return input_.workers[worker].untilHeartbeat / soonHeartbeatLimit;
}

// Ranks a worker by what a task of the unit and those on the worker lose by each other, 0 being the
// best. A preference among workers with room: it never makes a unit wait.
std::int64_t scheduler::pass::neighbourRank(const unit &item, std::size_t worker) const
{
    return item.kind ? neighbours_.rank(*item.kind, worker) : 0;
}

// Places tasks on the workers in the given order. A gang is placed as a whole or not at all.
std::vector<scheduler::pass::slot> scheduler::pass::fillWorkers(
        const unit &item, const std::vector<std::size_t> &from) const
{
    const auto need = item.spec->charged();
    std::vector<slot> slots;
    for (const auto worker : from) {
        auto times = timesFitting(available_[worker], need);
        if (item.spec->maxPerWorker > 0) {
            const auto active = activeOn(worker, detail::stepKeyOf(item));
            times = std::min<std::int64_t>(times, std::int64_t {item.spec->maxPerWorker} - active);
        }
        for (; times > 0 && slots.size() < item.indexes.size(); --times)
            slots.push_back({worker, item.indexes[slots.size()]});
        if (slots.size() == item.indexes.size())
            return slots;
    }
    if (item.placedTogether())
        slots.clear();
    return slots;
}

// Places a gang in a single rack. Prefers, in this order, the preferred rack, workers without
// failures, warm ones or those with an early heartbeat, and the rack with the fewest free
// accelerators. Sets `possible` if the gang would fit into an idle rack.
std::vector<scheduler::pass::slot> scheduler::pass::placeInRack(const unit &item,
                                                                bool &possible) const
{
    const auto &workers = input_.workers;
    const auto need = item.spec->charged();
    std::vector<slot> best;
    std::tuple<bool, int, bool, std::int64_t, std::int64_t> bestScore;
    for (const auto &[rack, members] : racks_) {
        std::int64_t freeTasks = 0;
        std::int64_t freeAccelerators = 0;
        std::int64_t maxTasks = 0;
        for (const auto worker : members) {
            if (!isEligible(item, worker))
                continue;
            maxTasks += timesFitting(reportOf(worker).capacity, need);
            freeTasks += timesFitting(available_[worker], need);
            freeAccelerators += std::max<std::int64_t>(0, available_[worker].accelerators);
        }
        const auto count = static_cast<std::int64_t>(item.indexes.size());
        possible = possible || maxTasks >= count;
        if (freeTasks < count)
            continue;
        auto slots = fillWorkers(item, candidates(item, members));
        if (slots.empty())
            continue;
        int penalty = 0;
        bool cold = false;
        std::int64_t rank = 0;
        for (const auto &place : slots) {
            penalty = std::max(penalty, workers[place.worker].penalty);
            cold = cold || workers[place.worker].cold;
            rank = std::max(rank, heartbeatRank(item, place.worker));
        }
        const bool notPreferred
                = !item.spec->preferredRack.empty() && rack != item.spec->preferredRack;
        const auto score = std::tuple(notPreferred, penalty, cold, rank, freeAccelerators);
        if (best.empty() || score < bestScore) {
            best = std::move(slots);
            bestScore = score;
        }
    }
    return best;
}

std::vector<scheduler::pass::slot> scheduler::pass::place(const unit &item) const
{
    if (item.inOneRack()) {
        bool possible = false;
        auto slots = placeInRack(item, possible);
        if (possible || !slots.empty())
            return slots;
    }
    return fillWorkers(item, candidates(item, allWorkers_));
}

void scheduler::pass::start(const unit &item, const std::vector<slot> &slots)
{
    // All members of a gang have the same run number.
    std::uint32_t newest = 0;
    const auto idOf = [&](const slot &place) {
        auto id = item.first;
        id.index = place.index;
        return id;
    };
    for (const auto &place : slots)
        newest = std::max(newest, item.job->taskOf(idOf(place)).run);
    std::size_t wholeWorkers = 0;
    for (const auto &place : slots) {
        const auto id = idOf(place);
        const auto &report = reportOf(place.worker);
        const auto earlier = item.spec->gang ? newest : item.job->taskOf(id).run;
        output_.starts.push_back({id, earlier + 1, report.id, report.incarnation});
        if (takesWholeWorker(item, place.worker))
            ++wholeWorkers;
        startedJobs_[place.worker].insert(item.job->id);
        resumedJobs_.insert(item.job->id);
        if (item.suspected) {
            auto &there = suspectsOn_[place.worker];
            there.jobs.insert(item.job->id);
            there.isolated |= item.isolated;
        }
        take(place.worker, item.spec->charged());
        neighbours_.add(place.worker, item.kind);
        if (item.spec->maxPerWorker > 0)
            ++startedOn_[{place.worker, stepOf(id)}];
    }
    if (item.job->source.priority == 0 && wholeWorkers > 0)
        reserves_[item.job->source.pool].recordTaken(input_.now, wholeWorkers);
}

} // namespace persimmon::batch
