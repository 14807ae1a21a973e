#include "disruption.h"
#include "scheduler-pass.h"

#include <algorithm>
#include <queue>
#include <tuple>

namespace persimmon::batch {

namespace {

// Added to the lost seconds of each run, so that fewer stops are preferred.
constexpr double stopPenaltySeconds = 0.3;

// Workers that are examined for a unit before all others.
constexpr std::size_t minWorkersExamined = 64;
constexpr std::size_t workersExaminedPerTask = 4;

// Cost of stopping urgent or long-running work, which is preempted only as a last resort.
constexpr double lastResortPenaltySeconds = 1000;

} // namespace

// Collects the runs that work of priority 0 may preempt.
void scheduler::pass::collectVictims()
{
    victimsReady_ = true;
    victimsOn_.resize(input_.workers.size());
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, std::size_t> gangs;
    std::map<step_key, std::int64_t> disruptions; // disruptions still allowed
    for (std::size_t i = 0; i < input_.workers.size(); ++i) {
        for (const auto &[task, run] : input_.state->runsOn(reportOf(i).id)) {
            const auto &job = *input_.state->findJob(task.job);
            const auto &spec = job.spec.steps[task.step];
            if (job.ended() || job.taskOf(task).done || input_.stopping->contains({task, run.run}))
                continue;
            const bool urgent = job.source.priority == 0;
            if (urgent && (job.tenant.empty() || spec.longRunning))
                continue;
            if (spec.disruptionBudget > 0) {
                const auto remaining = disruptions.try_emplace(stepOf(task), 0);
                if (remaining.second)
                    remaining.first->second = detail::disruptionsLeft(
                            job, task, [this](const task_id &other) { return isAvailable(other); });
                if (--remaining.first->second < 0)
                    continue;
            }
            auto victimIndex = victims_.size();
            if (spec.gang)
                victimIndex = gangs.try_emplace({task.job, task.occurrence, task.step}, victimIndex)
                                      .first->second;
            if (victimIndex == victims_.size()) {
                auto &newVictim = victims_.emplace_back();
                newVictim.need = spec.charged();
                newVictim.borrower = urgent ? &job.tenant : nullptr;
                newVictim.longRunning = spec.longRunning;
            }
            auto &item = victims_[victimIndex];
            item.runs.push_back(run);
            const bool lastResort = urgent || spec.longRunning;
            const bool worthless = !spec.longRunning
                    && input_.wallMs > detail::finalDeadlineMs(job, task.occurrence);
            // Work that is too late to have value is stopped first.
            const auto lost = lostSeconds(run, spec);
            item.lostCoreSeconds.push_back(lostCoreSeconds(run, spec));
            auto stopCostSeconds = worthless ? 0 : lost;
            if (lastResort)
                stopCostSeconds = lastResortPenaltySeconds;
            item.cost += coreSeconds(spec.need, stopCostSeconds + stopPenaltySeconds);
            auto &workerVictims = victimsOn_[i];
            if (workerVictims.empty() || workerVictims.back() != victimIndex)
                workerVictims.push_back(victimIndex);
        }
    }
    std::vector<double> costs(victimsOn_.size());
    for (std::size_t i = 0; i < victimsOn_.size(); ++i) {
        std::ranges::sort(victimsOn_[i], {},
                          [this](std::size_t victimIndex) { return victims_[victimIndex].cost; });
        for (const auto victimIndex : victimsOn_[i])
            costs[i] += victims_[victimIndex].cost;
    }
    byVictimCost_ = allWorkers_;
    std::ranges::stable_sort(byVictimCost_, {}, [&](std::size_t worker) { return costs[worker]; });
}

// Returns the working time that is lost if a run is stopped.
double scheduler::pass::lostSeconds(const assignment &run, const step_spec &spec) const
{
    const auto progress = input_.progress(run);
    if (!progress)
        return 0;
    const auto worked = std::chrono::duration<double>(input_.now - progress->started).count();
    return spec.checkpointable ? std::min(worked, static_cast<double>(input_.checkpointMs) / 1000)
                               : worked;
}

// Returns the core seconds of work that have to be done again if a run is stopped.
double scheduler::pass::lostCoreSeconds(const assignment &run, const step_spec &spec) const
{
    const auto progress = input_.progress(run);
    if (!progress)
        return 0;
    const auto lost = lostByStop(progress->times(), spec, input_.now);
    return coreSeconds(spec.need, std::chrono::duration<double>(lost).count());
}

// Returns whether a task runs at 100 % and isn't being stopped.
bool scheduler::pass::isAvailable(const task_id &task) const
{
    const auto &state = input_.state->findJob(task.job)->taskOf(task);
    if (!state.active || input_.stopping->contains({task, state.run}))
        return false;
    const auto progress = input_.progress({task, state.run, state.worker, state.incarnation});
    return progress && progress->percent >= 100;
}

// Urgent and long-running work is preempted only for work within a reservation. Urgent work is
// preempted only as far as its tenant exceeds its own reservation.
bool scheduler::pass::mayPreempt(const unit &item, const victim &candidate) const
{
    if (candidate.selected)
        return false;
    if (!item.guaranteed)
        return candidate.borrower == nullptr && !candidate.longRunning;
    if (candidate.borrower == nullptr)
        return true;
    const auto &use = uses_.at(*candidate.borrower);
    return !use.withinReservation() && use.running > use.reserved;
}

// Returns the options for placing tasks of the unit on a worker, with the cost of each further
// task.
std::vector<scheduler::pass::placement_option> scheduler::pass::placementOptions(
        const unit &item, std::size_t worker) const
{
    std::vector<placement_option> options;
    if (!isEligible(item, worker))
        return options;
    const auto need = item.spec->charged();
    const auto limit = item.spec->maxPerWorker == 0 ? static_cast<std::int64_t>(item.indexes.size())
                                                    : std::int64_t {item.spec->maxPerWorker};
    auto freeable = available_[worker];
    freeable += beingFreed_[worker];
    placement_option next {worker, 0, {}};
    std::int64_t offered = 0;
    const auto add = [&] {
        for (auto times = std::min(timesFitting(freeable, need), limit); offered < times;
             ++offered) {
            options.push_back(std::move(next));
            next = {worker, 0, {}};
        }
    };
    add();
    for (const auto victimIndex : victimsOn_[worker]) {
        const auto &candidate = victims_[victimIndex];
        if (offered >= limit || !mayPreempt(item, candidate))
            continue;
        for (const auto &run : candidate.runs) {
            if (workerIndexes_.at(run.worker) == worker)
                freeable += candidate.need;
        }
        next.cost += candidate.cost;
        next.victims.push_back(victimIndex);
        add();
    }
    return options;
}

// Returns the cheapest options for the whole unit, or nothing if it can't be placed completely.
std::vector<scheduler::pass::placement_option> scheduler::pass::cheapestPlacement(
        const unit &item, const std::vector<std::size_t> &from) const
{
    // The options of one worker depend on each other, so they are chosen in order.
    std::vector<std::vector<placement_option>> options;
    using entry = std::tuple<double, std::size_t, std::size_t>; // cost, list, position
    std::priority_queue<entry, std::vector<entry>, std::greater<>> nextOptions;
    for (const auto worker : from) {
        auto list = placementOptions(item, worker);
        if (list.empty())
            continue;
        nextOptions.emplace(list.front().cost, options.size(), 0);
        options.push_back(std::move(list));
    }
    std::vector<placement_option> chosen;
    while (!nextOptions.empty() && chosen.size() < item.indexes.size()) {
        const auto [cost, list, position] = nextOptions.top();
        nextOptions.pop();
        chosen.push_back(options[list][position]);
        if (position + 1 < options[list].size())
            nextOptions.emplace(options[list][position + 1].cost, list, position + 1);
    }
    if (chosen.size() < item.indexes.size())
        chosen.clear();
    return chosen;
}

// Looks at the workers that are cheapest to vacate first, so that the cost of a pass is bounded in
// a large fleet, and at all of them only if these don't suffice.
std::vector<scheduler::pass::placement_option> scheduler::pass::cheapestAnywhere(
        const unit &item) const
{
    const auto first = std::min(byVictimCost_.size(),
                                minWorkersExamined + workersExaminedPerTask * item.indexes.size());
    const auto middle = byVictimCost_.begin() + static_cast<std::ptrdiff_t>(first);
    auto best = cheapestPlacement(item, {byVictimCost_.begin(), middle});
    if (best.empty() && middle != byVictimCost_.end())
        best = cheapestPlacement(item, byVictimCost_);
    return best;
}

// Returns whether a gang would fit into some rack if nothing else were running there.
bool scheduler::pass::someRackHolds(const unit &item) const
{
    const auto count = static_cast<std::int64_t>(item.indexes.size());
    return std::ranges::any_of(
            racks_, [&](const auto &rack) { return tasksInEmpty(item, rack.second) >= count; });
}

// Preempts the cheapest set of runs that frees enough resources for the unit, and claims these
// resources. Returns false if there is no such set.
bool scheduler::pass::preempt(const unit &item)
{
    if (!victimsReady_)
        collectVictims();
    const auto costOf = [this](const std::vector<placement_option> &options) {
        std::set<std::size_t> victimIndexes;
        for (const auto &option : options)
            victimIndexes.insert(option.victims.begin(), option.victims.end());
        double cost = 0;
        for (const auto victimIndex : victimIndexes)
            cost += victims_[victimIndex].cost;
        return cost;
    };
    std::vector<placement_option> best;
    if (item.inOneRack()) {
        for (const auto &[rack, members] : racks_) {
            auto options = cheapestPlacement(item, members);
            if (!options.empty() && (best.empty() || costOf(options) < costOf(best)))
                best = std::move(options);
        }
    }
    // A gang that some rack could hold isn't placed anywhere else, so it claims nothing there.
    if (best.empty() && !(item.inOneRack() && someRackHolds(item)))
        best = cheapestAnywhere(item);
    if (best.empty())
        return false;
    auto &claimed = claims_[item.first];
    claimed.createdAt = input_.now;
    for (const auto &option : best) {
        claimed.resources[reportOf(option.worker).id] += item.spec->charged();
        for (const auto victimIndex : option.victims) {
            auto &chosen = victims_[victimIndex];
            if (std::exchange(chosen.selected, true))
                continue;
            for (std::size_t i = 0; i < chosen.runs.size(); ++i) {
                const auto &run = chosen.runs[i];
                output_.preemptions.push_back({run, item.first, chosen.lostCoreSeconds[i]});
                if (chosen.borrower != nullptr)
                    uses_.at(*chosen.borrower).running -= chosen.need.accelerators;
                beingFreed_[workerIndexes_.at(run.worker)] += chosen.need;
            }
        }
    }
    return true;
}

} // namespace persimmon::batch
