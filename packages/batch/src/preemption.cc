#include "scheduler-pass.h"

#include <algorithm>
#include <tuple>

namespace persimmon::batch {

namespace {

// An accelerator second is worth this many core seconds.
constexpr double coresPerAccelerator = 8;

double coreSeconds(const amount &need, double seconds)
{
    return (static_cast<double>(need.cpu) / 1000
            + coresPerAccelerator * static_cast<double>(need.accelerators))
            * seconds;
}

} // namespace

// Lists the runs that work of priority 0 may displace, cheapest first.
std::vector<scheduler::victim> scheduler::collectVictims(const pass &state)
{
    const auto &input = *state.input;
    std::vector<victim> victims;
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, std::size_t> gangs;
    for (const auto &view : input.workers) {
        for (const auto &[task, run] : input.state->runsOn(view.id)) {
            const auto &job = *input.state->findJob(task.job);
            const auto &spec = job.spec.steps[task.step];
            if (job.ended() || job.source.priority == 0 || spec.longRunning
                || job.taskOf(task).done || input.stopping->contains({task, run.run}))
                continue;
            victim *item = nullptr;
            if (spec.gang) {
                const auto [found, added]
                        = gangs.try_emplace({task.job, task.occurrence, task.step}, victims.size());
                item = added ? &victims.emplace_back() : &victims[found->second];
            } else {
                item = &victims.emplace_back();
            }
            item->runs.push_back(run);
            item->need = spec.charged();
            double seconds = 0;
            if (const auto found = input.progress->find(task); found != input.progress->end())
                seconds = std::chrono::duration<double>(input.now - found->second.started).count();
            if (spec.checkpointable)
                seconds = std::min(seconds, static_cast<double>(input.checkpointMs) / 1000);
            // A small constant prefers few stops over many.
            item->cost += coreSeconds(spec.need, seconds + 0.3);
        }
    }
    return victims;
}

// Finds the cheapest runs whose end makes room for the unit, and claims that room.
bool scheduler::preempt(pass &state, const unit &item)
{
    if (!state.victimsReady) {
        state.victims = collectVictims(state);
        state.victimsReady = true;
    }
    const auto &workers = state.input->workers;
    std::map<std::string, std::size_t> byId;
    for (std::size_t i = 0; i < workers.size(); ++i)
        byId[workers[i].id] = i;

    struct plan_choice
    {
        std::vector<const victim *> stopped;
        std::vector<slot> slots;
        double cost = 0;
    };
    std::optional<plan_choice> best;
    const auto attempt = [&](const std::string *rack) {
        auto trial = state;
        // Runs being stopped leave their room soon.
        for (std::size_t i = 0; i < workers.size(); ++i) {
            for (const auto &[task, run] : state.input->state->runsOn(workers[i].id)) {
                if (state.input->stopping->contains({task, run.run})
                    || state.stopped.contains({task, run.run}))
                    trial.available[i]
                            += state.input->state->findJob(task.job)->spec.steps[task.step].charged();
            }
        }
        if (rack != nullptr) {
            for (const auto &[name, members] : state.racks) {
                if (name != *rack)
                    trial.reservedRacks.insert(name);
            }
        }
        std::vector<std::pair<double, const victim *>> order;
        for (const auto &candidate : state.victims) {
            if (state.stopped.contains({candidate.runs.front().task, candidate.runs.front().run}))
                continue;
            std::int64_t gained = 0;
            for (const auto &run : candidate.runs) {
                const auto worker = byId.at(run.worker);
                if ((rack == nullptr || workers[worker].rack == *rack)
                    && usable(trial, item, worker))
                    gained += 1 + candidate.need.accelerators * 8 + candidate.need.cpu / 1000;
            }
            if (gained > 0)
                order.emplace_back(candidate.cost / static_cast<double>(gained), &candidate);
        }
        std::ranges::sort(order);
        plan_choice choice;
        auto next = order.begin();
        for (;;) {
            if (auto slots = place(trial, item)) {
                choice.slots = std::move(*slots);
                break;
            }
            if (next == order.end() || (best && choice.cost >= best->cost))
                return;
            for (const auto &run : next->second->runs)
                trial.available[byId.at(run.worker)] += next->second->need;
            choice.cost += next->second->cost;
            choice.stopped.push_back(next->second);
            ++next;
        }
        // Victims on workers that the unit doesn't use are spared.
        std::erase_if(choice.stopped, [&](const victim *candidate) {
            const bool needed = std::ranges::any_of(candidate->runs, [&](const assignment &run) {
                return std::ranges::any_of(choice.slots, [&](const slot &place) {
                    return workers[place.worker].id == run.worker;
                });
            });
            if (!needed)
                choice.cost -= candidate->cost;
            return !needed;
        });
        if (!best || choice.cost < best->cost)
            best = std::move(choice);
    };
    if (item.spec->gang && item.spec->sameRack && item.indexes.size() > 1) {
        for (const auto &[rack, members] : state.racks)
            attempt(&rack);
    }
    if (!best)
        attempt(nullptr);
    if (!best)
        return false;
    auto &kept = claims_[item.first];
    kept.made = state.input->now;
    for (const auto &place : best->slots)
        kept.room[workers[place.worker].id] += item.spec->charged();
    for (const auto *chosen : best->stopped) {
        for (const auto &run : chosen->runs) {
            state.stopped.insert({run.task, run.run});
            state.output.preemptions.push_back(run);
        }
    }
    return true;
}

} // namespace persimmon::batch
