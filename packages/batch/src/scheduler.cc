#include "batch/scheduler.h"

#include "scheduler-pass.h"

#include <algorithm>
#include <tuple>

namespace persimmon::batch {

namespace {

// A job that is later than this many objectives earns nothing any more.
constexpr std::int64_t lateFactor = 3;

// Room claimed by a unit that could not use it for this time goes back to all.
constexpr milliseconds claimLimit {2500};

// A gang that waits this long keeps a rack free of tasks that come after it.
constexpr std::int64_t reserveAfterMs = 1500;

constexpr std::size_t maxReservedRacks = 2;

bool stepReady(const job_record &job, std::uint32_t occurrence, const step_spec &spec)
{
    return std::ranges::all_of(spec.dependsOn, [&](std::uint32_t earlier) {
        return job.occurrences[occurrence][earlier].done();
    });
}

std::string occurrenceName(const task_id &task)
{
    return task.job + "." + std::to_string(task.occurrence);
}

} // namespace

void scheduler::addUnits(const job_record &job, const schedule_input &input,
                         std::vector<unit> &units)
{
    for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
        const auto due = std::max(job.acceptedMs,
                                  job.spec.firstDueMs + static_cast<std::int64_t>(k)
                                          * job.spec.intervalMs);
        if (due > input.wallMs)
            break;
        const auto objective = job.objectiveMs();
        for (std::uint32_t s = 0; s < job.occurrences[k].size(); ++s) {
            const auto &spec = job.spec.steps[s];
            const auto &step = job.occurrences[k][s];
            if (step.done() || !stepReady(job, k, spec))
                continue;
            unit item {&job, {job.id, k, s, 0}, {}, &spec, 0, false};
            item.latestStartMs = due + objective - spec.estimateMs;
            item.hopeless = input.wallMs > due + lateFactor * objective;
            if (spec.gang) {
                if (step.activeCount > 0)
                    continue;
                for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
                    item.indexes.push_back(i);
                units.push_back(std::move(item));
                continue;
            }
            for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
                if (step.tasks[i].done || step.tasks[i].active)
                    continue;
                item.first.index = i;
                item.indexes = {i};
                units.push_back(item);
            }
        }
    }
}

std::vector<scheduler::unit> scheduler::collectUnits(const schedule_input &input)
{
    std::vector<unit> units;
    input.state->forEachOpenJob([&](const job_record &job) {
        if (!job.ended())
            addUnits(job, input, units);
    });
    std::ranges::stable_sort(units, [](const unit &left, const unit &right) {
        return std::tuple(left.hopeless, left.job->source.priority, left.latestStartMs)
                < std::tuple(right.hopeless, right.job->source.priority, right.latestStartMs);
    });
    return units;
}

bool scheduler::usable(const pass &state, const unit &item, std::size_t worker)
{
    const auto &view = state.input->workers[worker];
    if (!view.open || view.pool != item.job->source.pool)
        return false;
    if (!item.spec->requiredLabel.empty()
        && std::ranges::find(view.labels, item.spec->requiredLabel) == view.labels.end())
        return false;
    const auto &job = *item.job;
    for (const auto index : item.indexes) {
        task_id id = item.first;
        id.index = index;
        const auto &task = job.taskOf(id);
        const auto failures = item.spec->gang ? job.stepOf(id).failedRuns : task.failures;
        if (failures > 0 && task.failedOn == view.id)
            return false;
        if (failures + 1 >= job.source.attempts && job.source.attempts > 1 && !view.trusted)
            return false;
    }
    return true;
}

// Fills candidates in the given order until all tasks of the unit have a place.
std::optional<std::vector<scheduler::slot>>
scheduler::fill(const pass &state, const unit &item, const std::vector<std::size_t> &candidates)
{
    const auto need = item.spec->charged();
    std::vector<slot> slots;
    for (const auto worker : candidates) {
        auto times = timesFitting(state.available[worker], need);
        if (item.spec->maxPerWorker > 0) {
            const auto key = std::pair(occurrenceName(item.first), item.first.step);
            const auto found = state.perStep[worker].find(key);
            const auto used = found == state.perStep[worker].end() ? 0U : found->second;
            times = std::min<std::int64_t>(times, std::int64_t {item.spec->maxPerWorker} - used);
        }
        for (; times > 0 && slots.size() < item.indexes.size(); --times)
            slots.push_back({worker, item.indexes[slots.size()]});
        if (slots.size() == item.indexes.size())
            return slots;
    }
    return std::nullopt;
}

std::optional<std::vector<scheduler::slot>> scheduler::place(const pass &state,
                                                             const unit &item) const
{
    const auto &workers = state.input->workers;
    const auto need = item.spec->charged();
    const auto order = [&](std::vector<std::size_t> &candidates) {
        std::ranges::stable_sort(candidates, {}, [&](std::size_t worker) {
            const auto &view = workers[worker];
            const bool far = !item.spec->preferredRack.empty()
                    && std::ranges::find(view.labels, item.spec->preferredRack)
                            == view.labels.end();
            return std::tuple(far, view.penalty, state.available[worker].accelerators,
                              state.available[worker].cpu);
        });
    };
    const auto collect = [&](const std::vector<std::size_t> &from) {
        std::vector<std::size_t> candidates;
        for (const auto worker : from) {
            if (!state.reservedRacks.contains(workers[worker].rack)
                && timesFitting(state.available[worker], need) > 0 && usable(state, item, worker))
                candidates.push_back(worker);
        }
        order(candidates);
        return candidates;
    };
    if (item.spec->gang && item.spec->sameRack && item.indexes.size() > 1) {
        std::optional<std::vector<slot>> best;
        auto bestScore = std::tuple<bool, int, std::int64_t>(true, 1000, 0);
        std::int64_t largest = 0;
        for (const auto &[rack, members] : state.racks) {
            amount total;
            for (const auto worker : members) {
                if (workers[worker].open && workers[worker].pool == item.job->source.pool)
                    total += need * timesFitting(workers[worker].capacity, need);
            }
            largest = std::max(largest, timesFitting(total, need));
            const auto candidates = collect(members);
            auto slots = fill(state, item, candidates);
            if (!slots)
                continue;
            int penalty = 0;
            std::int64_t left = 0;
            for (const auto worker : candidates)
                left += state.available[worker].accelerators;
            for (const auto &slot : *slots)
                penalty = std::max(penalty, workers[slot.worker].penalty);
            const bool far
                    = !item.spec->preferredRack.empty() && rack != item.spec->preferredRack;
            const auto score = std::tuple(far, penalty, left);
            if (!best || score < bestScore) {
                best = std::move(slots);
                bestScore = score;
            }
        }
        if (best || largest >= static_cast<std::int64_t>(item.indexes.size()))
            return best;
    }
    std::vector<std::size_t> all(workers.size());
    for (std::size_t i = 0; i < all.size(); ++i)
        all[i] = i;
    return fill(state, item, collect(all));
}

void scheduler::start(pass &state, const unit &item, const std::vector<slot> &slots)
{
    const auto &workers = state.input->workers;
    // The members of a gang share the number of the run.
    std::uint32_t newest = 0;
    for (const auto &slot : slots) {
        auto id = item.first;
        id.index = slot.index;
        newest = std::max(newest, item.job->taskOf(id).run);
    }
    for (const auto &slot : slots) {
        auto id = item.first;
        id.index = slot.index;
        const auto &view = workers[slot.worker];
        state.output.starts.push_back({id, newest + 1, view.id, view.born});
        state.available[slot.worker] -= item.spec->charged();
        ++state.perStep[slot.worker][{occurrenceName(id), id.step}];
    }
    claims_.erase(item.first);
}

// Keeps the emptiest rack for a gang that found no place.
void scheduler::reserveRack(pass &state, const unit &item) const
{
    if (state.reservedRacks.size() >= maxReservedRacks
        || state.input->wallMs < item.job->acceptedMs + reserveAfterMs)
        return;
    const std::string *best = nullptr;
    std::int64_t most = -1;
    for (const auto &[rack, members] : state.racks) {
        if (state.reservedRacks.contains(rack))
            continue;
        std::int64_t room = 0;
        for (const auto worker : members) {
            if (usable(state, item, worker))
                room += std::max<std::int64_t>(0, state.available[worker].accelerators);
        }
        if (room > most) {
            most = room;
            best = &rack;
        }
    }
    if (best != nullptr)
        state.reservedRacks.insert(*best);
}

void scheduler::dropClaims(const schedule_input &input)
{
    std::erase_if(claims_, [&](const auto &item) {
        const auto *job = input.state->findJob(item.first.job);
        return job == nullptr || job->ended() || item.second.made + claimLimit < input.now
                || job->taskOf(item.first).active;
    });
}

schedule_output scheduler::plan(const schedule_input &input)
{
    dropClaims(input);
    pass state;
    state.input = &input;
    std::map<std::string, std::size_t> byId;
    for (std::size_t i = 0; i < input.workers.size(); ++i) {
        const auto &view = input.workers[i];
        byId[view.id] = i;
        state.racks[view.rack].push_back(i);
        auto room = view.capacity;
        auto &counts = state.perStep.emplace_back();
        for (const auto &[task, run] : input.state->runsOn(view.id)) {
            const auto &spec = input.state->findJob(task.job)->spec.steps[task.step];
            room -= spec.charged();
            ++counts[{occurrenceName(task), task.step}];
        }
        state.available.push_back(room);
    }
    const auto applyClaim = [&](const claim &item, int sign) {
        for (const auto &[worker, room] : item.room) {
            if (const auto found = byId.find(worker); found != byId.end())
                state.available[found->second] -= room * sign;
        }
    };
    for (const auto &[id, item] : claims_)
        applyClaim(item, 1);
    for (const auto &item : collectUnits(input)) {
        if (item.job->source.needsAdvice)
            continue;
        const auto claimed = claims_.find(item.first);
        const bool waiting = claimed != claims_.end();
        if (waiting)
            applyClaim(claimed->second, -1);
        if (const auto slots = place(state, item)) {
            start(state, item, *slots);
            continue;
        }
        ++state.output.waiting;
        if (waiting) {
            applyClaim(claimed->second, 1);
        } else if (item.job->source.priority == 0 && !item.hopeless && preempt(state, item)) {
            applyClaim(claims_.at(item.first), 1);
        } else if (item.spec->gang && item.indexes.size() > 1 && !item.hopeless) {
            reserveRack(state, item);
        }
    }
    return std::move(state.output);
}

} // namespace persimmon::batch
