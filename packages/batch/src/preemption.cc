#include "disruption.h"
#include "scheduler-pass.h"

#include <algorithm>
#include <queue>
#include <tuple>

namespace persimmon::batch {

namespace {

// Added to the lost seconds of each run, so that few stops are preferred over many.
constexpr double stopSeconds = 0.3;

// Urgent work and work that lasts is stopped only where nothing else makes room.
constexpr double lastResortSeconds = 1000;

} // namespace

// Lists the runs that work of priority 0 may displace.
void scheduler::pass::collectVictims()
{
    victimsReady_ = true;
    victimsOn_.resize(input_.workers.size());
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, std::size_t> gangs;
    std::map<step_key, std::int64_t> disruptions; // still allowed
    for (std::size_t i = 0; i < input_.workers.size(); ++i) {
        for (const auto &[task, run] : input_.state->runsOn(input_.workers[i].id)) {
            const auto &job = *input_.state->findJob(task.job);
            const auto &spec = job.spec.steps[task.step];
            if (job.ended() || job.taskOf(task).done || input_.stopping->contains({task, run.run}))
                continue;
            const bool urgent = job.source.priority == 0;
            if (urgent && (job.tenant.empty() || spec.longRunning))
                continue;
            if (spec.disruptionBudget > 0) {
                const auto left = disruptions.try_emplace(stepOf(task), 0);
                if (left.second)
                    left.first->second = detail::disruptionsLeft(
                            job, task, [this](const task_id &other) { return isAtWork(other); });
                if (--left.first->second < 0)
                    continue;
            }
            auto number = victims_.size();
            if (spec.gang)
                number = gangs.try_emplace({task.job, task.occurrence, task.step}, number)
                                 .first->second;
            if (number == victims_.size()) {
                auto &made = victims_.emplace_back();
                made.need = spec.charged();
                made.borrower = urgent ? &job.tenant : nullptr;
                made.lasting = spec.longRunning;
            }
            auto &item = victims_[number];
            item.runs.push_back(run);
            const bool lastResort = urgent || spec.longRunning;
            const auto seconds = lastResort ? lastResortSeconds : lostSeconds(task, spec);
            item.cost += coreSeconds(spec.need, seconds + stopSeconds);
            auto &here = victimsOn_[i];
            if (here.empty() || here.back() != number)
                here.push_back(number);
        }
    }
    for (auto &here : victimsOn_)
        std::ranges::sort(here, {}, [this](std::size_t number) { return victims_[number].cost; });
}

// Returns the time of work that a stop throws away.
double scheduler::pass::lostSeconds(const task_id &task, const step_spec &spec) const
{
    const auto progress = input_.progress->find(task);
    if (progress == input_.progress->end())
        return 0;
    const auto worked
            = std::chrono::duration<double>(input_.now - progress->second.started).count();
    return spec.checkpointable ? std::min(worked, static_cast<double>(input_.checkpointMs) / 1000)
                               : worked;
}

// True for a task that works at its full share and isn't being stopped.
bool scheduler::pass::isAtWork(const task_id &task) const
{
    const auto &state = input_.state->findJob(task.job)->taskOf(task);
    const auto progress = input_.progress->find(task);
    return state.active && progress != input_.progress->end() && progress->second.percent >= 100
            && !input_.stopping->contains({task, state.run});
}

// Urgent work gives way only to work within a reservation, and only what its tenant runs beyond
// its own. Tasks that last give way to nothing else either.
bool scheduler::pass::mayStop(const unit &item, const victim &candidate) const
{
    if (candidate.taken)
        return false;
    if (!item.guaranteed)
        return candidate.borrower == nullptr && !candidate.lasting;
    if (candidate.borrower == nullptr)
        return true;
    const auto &use = uses_.at(*candidate.borrower);
    return !use.withinReservation() && use.running > use.reserved;
}

// Lists what each further task of the unit costs on a worker.
std::vector<scheduler::pass::offer> scheduler::pass::offersOf(const unit &item,
                                                              std::size_t worker) const
{
    std::vector<offer> offers;
    if (!usable(item, worker))
        return offers;
    const auto need = item.spec->charged();
    const auto limit = item.spec->maxPerWorker == 0 ? static_cast<std::int64_t>(item.indexes.size())
                                                    : std::int64_t {item.spec->maxPerWorker};
    auto room = available_[worker];
    room += leaving_[worker];
    offer next {worker, 0, {}};
    std::int64_t made = 0;
    const auto add = [&] {
        for (auto times = std::min(timesFitting(room, need), limit); made < times; ++made) {
            offers.push_back(std::move(next));
            next = {worker, 0, {}};
        }
    };
    add();
    for (const auto number : victimsOn_[worker]) {
        const auto &candidate = victims_[number];
        if (made >= limit || !mayStop(item, candidate))
            continue;
        for (const auto &run : candidate.runs) {
            if (byId_.at(run.worker) == worker)
                room += candidate.need;
        }
        next.cost += candidate.cost;
        next.victims.push_back(number);
        add();
    }
    return offers;
}

// Chooses places for the whole unit at the least cost; empty: there are not enough.
std::vector<scheduler::pass::offer> scheduler::pass::cheapest(
        const unit &item, const std::vector<std::size_t> &from) const
{
    // The offers of one worker are taken in their order.
    std::vector<std::vector<offer>> offers;
    using entry = std::tuple<double, std::size_t, std::size_t>; // cost, list, position
    std::priority_queue<entry, std::vector<entry>, std::greater<>> heads;
    for (const auto worker : from) {
        auto list = offersOf(item, worker);
        if (list.empty())
            continue;
        heads.emplace(list.front().cost, offers.size(), 0);
        offers.push_back(std::move(list));
    }
    std::vector<offer> chosen;
    while (!heads.empty() && chosen.size() < item.indexes.size()) {
        const auto [cost, list, position] = heads.top();
        heads.pop();
        chosen.push_back(offers[list][position]);
        if (position + 1 < offers[list].size())
            heads.emplace(offers[list][position + 1].cost, list, position + 1);
    }
    if (chosen.size() < item.indexes.size())
        chosen.clear();
    return chosen;
}

// Orders the cheapest stops that make room for the unit, and claims that room.
bool scheduler::pass::preempt(const unit &item)
{
    if (!victimsReady_)
        collectVictims();
    const auto costOf = [this](const std::vector<offer> &offers) {
        std::set<std::size_t> numbers;
        for (const auto &place : offers)
            numbers.insert(place.victims.begin(), place.victims.end());
        double cost = 0;
        for (const auto number : numbers)
            cost += victims_[number].cost;
        return cost;
    };
    std::vector<offer> best;
    if (item.oneRack()) {
        for (const auto &[rack, members] : racks_) {
            auto offers = cheapest(item, members);
            if (!offers.empty() && (best.empty() || costOf(offers) < costOf(best)))
                best = std::move(offers);
        }
    }
    if (best.empty())
        best = cheapest(item, all_);
    if (best.empty())
        return false;
    auto &kept = claims_[item.first];
    kept.made = input_.now;
    for (const auto &place : best) {
        kept.room[input_.workers[place.worker].id] += item.spec->charged();
        for (const auto number : place.victims) {
            auto &chosen = victims_[number];
            if (std::exchange(chosen.taken, true))
                continue;
            for (const auto &run : chosen.runs) {
                output_.preemptions.push_back(run);
                if (chosen.borrower != nullptr)
                    uses_.at(*chosen.borrower).running -= chosen.need.accelerators;
                leaving_[byId_.at(run.worker)] += chosen.need;
            }
        }
    }
    return true;
}

} // namespace persimmon::batch
