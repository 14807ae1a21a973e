#include "scheduler-pass.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace persimmon::batch {

namespace {

// A gang that waits this long keeps a rack free of tasks that come after it.
constexpr std::int64_t reserveAfterMs = 1500;

constexpr std::size_t maxReservedRacks = 2;

// Plans of preemption in one pass; more wait for the next pass.
constexpr std::size_t maxPreemptions = 8;

// Workers asked about beyond the number of tasks, because some may be refused.
constexpr std::size_t extraAdvice = 4;

// Workers in one question.
constexpr std::size_t maxAdvice = 30;

// Urgent work goes to workers that are heard within this time, where there is a choice.
constexpr milliseconds soonContact {250};

std::string occurrenceName(const task_id &task)
{
    return task.job + "." + std::to_string(task.occurrence);
}

bool atLeast(const amount &left, const amount &right)
{
    return left.cpu >= right.cpu && left.memory >= right.memory
            && left.accelerators >= right.accelerators;
}

} // namespace

scheduler::pass::pass(const schedule_input &input, std::map<task_id, claim> &claims)
    : input_(input)
    , claims_(claims)
    , uses_(detail::urgentUse(*input.state))
    , available_(input.workers.size())
    , leaving_(input.workers.size())
    , perStep_(input.workers.size())
    , all_(input.workers.size())
{
    std::iota(all_.begin(), all_.end(), std::size_t {0});
    for (std::size_t i = 0; i < input.workers.size(); ++i) {
        const auto &view = input.workers[i];
        byId_[view.id] = i;
        racks_[view.rack].push_back(i);
        available_[i] = view.capacity;
        for (const auto &[task, run] : input.state->runsOn(view.id)) {
            const auto &spec = input.state->findJob(task.job)->spec.steps[task.step];
            available_[i] -= spec.charged();
            if (spec.maxPerWorker > 0)
                ++perStep_[i][{occurrenceName(task), task.step}];
            if (!input.stopping->contains({task, run.run}))
                continue;
            leaving_[i] += spec.charged();
            const auto &job = *input.state->findJob(task.job);
            if (const auto use = uses_.find(job.tenant);
                use != uses_.end() && job.source.priority == 0)
                use->second.running -= spec.need.accelerators;
        }
    }
    for (const auto &[id, item] : claims_)
        apply(item, 1);
}

void scheduler::pass::apply(const claim &item, int sign)
{
    for (const auto &[worker, room] : item.room) {
        if (const auto found = byId_.find(worker); found != byId_.end())
            available_[found->second] -= room * sign;
    }
}

schedule_output scheduler::pass::run()
{
    for (const auto &item : detail::collectUnits(input_, uses_))
        consider(item);
    return std::move(output_);
}

void scheduler::pass::consider(const unit &item)
{
    const auto claimed = claims_.find(item.first);
    const bool waiting = claimed != claims_.end();
    if (waiting)
        apply(claimed->second, -1);
    const auto slots = !waiting && dominated(item) ? std::vector<slot> {} : place(item);
    if (!slots.empty()) {
        start(item, slots);
        if (waiting)
            claims_.erase(item.first);
        if (slots.size() == item.indexes.size())
            return;
        ++output_.waiting;
        if (item.job->source.adviceValidMs > 0)
            wantAdvice(item);
        return;
    }
    ++output_.waiting;
    output_.waits.push_back({item.first, waiting ? wait_cause::Preempting : wait_cause::NoRoom});
    if (waiting) {
        apply(claims_.at(item.first), 1);
        return;
    }
    if (item.job->source.adviceValidMs > 0)
        return wantAdvice(item);
    noteMisfit(item);
    if (item.hopeless && !item.guaranteed)
        return;
    if (item.job->source.priority == 0 && preemptions_ < maxPreemptions) {
        ++preemptions_;
        if (preempt(item)) {
            apply(claims_.at(item.first), 1);
            output_.waits.back().cause = wait_cause::Preempting;
            return;
        }
    }
    if (item.together())
        reserveRack(item);
}

bool scheduler::pass::dominated(const unit &item) const
{
    const auto need = item.spec->charged();
    const auto count = item.together() ? item.indexes.size() : 1;
    return std::ranges::any_of(misfits_, [&](const misfit &known) {
        return *known.pool == item.job->source.pool && atLeast(need, known.need)
                && count >= known.count && (item.oneRack() || !known.oneRack);
    });
}

void scheduler::pass::noteMisfit(const unit &item)
{
    if (!item.plain() || dominated(item))
        return;
    misfits_.push_back({&item.job->source.pool, item.spec->charged(),
                        item.together() ? item.indexes.size() : 1, item.oneRack()});
}

bool scheduler::pass::usable(const unit &item, std::size_t worker) const
{
    const auto &view = input_.workers[worker];
    if (!view.open || view.pool != item.job->source.pool || (item.lastAttempt && !view.trusted))
        return false;
    if (!item.avoid.empty() && std::ranges::find(item.avoid, view.id) != item.avoid.end())
        return false;
    return item.spec->requiredLabel.empty()
            || std::ranges::find(view.labels, item.spec->requiredLabel) != view.labels.end();
}

bool scheduler::pass::hasTicket(const unit &item, std::size_t worker) const
{
    const auto &view = input_.workers[worker];
    return item.job->source.adviceValidMs == 0
            || input_.advice->find(detail::stepKeyOf(item), view.id, view.born, input_.now)
            != nullptr;
}

// Each worker named costs time, so only about as many as are needed are asked about.
void scheduler::pass::wantAdvice(const unit &item)
{
    const auto need = item.spec->charged();
    const auto step = detail::stepKeyOf(item);
    std::vector<std::size_t> unknown;
    for (const auto worker : all_) {
        const auto &view = input_.workers[worker];
        if (usable(item, worker) && timesFitting(view.capacity, need) > 0
            && !input_.advice->isKnown(step, view.id, view.born, input_.now))
            unknown.push_back(worker);
    }
    std::ranges::stable_sort(unknown, std::greater<> {}, [&](std::size_t worker) {
        return timesFitting(available_[worker], need);
    });
    if (unknown.size() > item.indexes.size() + extraAdvice)
        unknown.resize(item.indexes.size() + extraAdvice);
    if (unknown.size() > maxAdvice)
        unknown.resize(maxAdvice);
    if (unknown.empty())
        return;
    output_.waits.push_back({item.first, wait_cause::NoAdvice});
    auto &want = output_.advice.emplace_back();
    want.step = step;
    for (const auto worker : unknown)
        want.workers.push_back(input_.workers[worker].id);
}

// Returns the workers with room for at least one task, best first.
std::vector<std::size_t> scheduler::pass::candidates(const unit &item,
                                                     const std::vector<std::size_t> &from) const
{
    const auto need = item.spec->charged();
    const auto &workers = input_.workers;
    std::vector<std::size_t> found;
    for (const auto worker : from) {
        if (timesFitting(available_[worker], need) > 0 && usable(item, worker)
            && hasTicket(item, worker) && !reservedRacks_.contains(workers[worker].rack))
            found.push_back(worker);
    }
    const auto &rack = item.spec->preferredRack;
    std::ranges::stable_sort(found, {}, [&](std::size_t worker) {
        const auto &view = workers[worker];
        const bool far = !rack.empty() && std::ranges::find(view.labels, rack) == view.labels.end();
        return std::tuple(far, view.penalty, contactRank(item, worker),
                          available_[worker].accelerators, available_[worker].cpu);
    });
    return found;
}

// Returns 0 for workers that are heard soon; only urgent work prefers them.
std::int64_t scheduler::pass::contactRank(const unit &item, std::size_t worker) const
{
    if (item.job->source.priority != 0)
        return 0;
    return input_.workers[worker].untilContact / soonContact;
}

// Places tasks on the workers in their order; a gang as a whole or not at all.
std::vector<scheduler::pass::slot> scheduler::pass::fill(const unit &item,
                                                         const std::vector<std::size_t> &from) const
{
    const auto need = item.spec->charged();
    std::vector<slot> slots;
    for (const auto worker : from) {
        auto times = timesFitting(available_[worker], need);
        if (item.spec->maxPerWorker > 0) {
            const auto &counts = perStep_[worker];
            const auto known = counts.find({occurrenceName(item.first), item.first.step});
            const auto used = known == counts.end() ? 0U : known->second;
            times = std::min<std::int64_t>(times, std::int64_t {item.spec->maxPerWorker} - used);
        }
        for (; times > 0 && slots.size() < item.indexes.size(); --times)
            slots.push_back({worker, item.indexes[slots.size()]});
        if (slots.size() == item.indexes.size())
            return slots;
    }
    if (item.together())
        slots.clear();
    return slots;
}

// Finds the fullest rack that takes the whole gang. Sets whether any rack could ever do so.
std::vector<scheduler::pass::slot> scheduler::pass::placeInRack(const unit &item,
                                                                bool &possible) const
{
    const auto &workers = input_.workers;
    const auto need = item.spec->charged();
    std::vector<slot> best;
    std::tuple<bool, int, std::int64_t, std::int64_t> bestScore;
    for (const auto &[rack, members] : racks_) {
        std::int64_t room = 0;
        std::int64_t left = 0;
        std::int64_t largest = 0;
        for (const auto worker : members) {
            if (!usable(item, worker))
                continue;
            largest += timesFitting(workers[worker].capacity, need);
            room += timesFitting(available_[worker], need);
            left += std::max<std::int64_t>(0, available_[worker].accelerators);
        }
        const auto count = static_cast<std::int64_t>(item.indexes.size());
        possible = possible || largest >= count;
        if (room < count)
            continue;
        auto slots = fill(item, candidates(item, members));
        if (slots.empty())
            continue;
        int penalty = 0;
        std::int64_t contact = 0;
        for (const auto &place : slots) {
            penalty = std::max(penalty, workers[place.worker].penalty);
            contact = std::max(contact, contactRank(item, place.worker));
        }
        const bool far = !item.spec->preferredRack.empty() && rack != item.spec->preferredRack;
        const auto score = std::tuple(far, penalty, contact, left);
        if (best.empty() || score < bestScore) {
            best = std::move(slots);
            bestScore = score;
        }
    }
    return best;
}

std::vector<scheduler::pass::slot> scheduler::pass::place(const unit &item) const
{
    if (item.oneRack()) {
        bool possible = false;
        auto slots = placeInRack(item, possible);
        if (possible || !slots.empty())
            return slots;
    }
    return fill(item, candidates(item, all_));
}

void scheduler::pass::start(const unit &item, const std::vector<slot> &slots)
{
    // The members of a gang share the number of the run.
    std::uint32_t newest = 0;
    const auto idOf = [&](const slot &place) {
        auto id = item.first;
        id.index = place.index;
        return id;
    };
    for (const auto &place : slots)
        newest = std::max(newest, item.job->taskOf(idOf(place)).run);
    for (const auto &place : slots) {
        const auto id = idOf(place);
        const auto &view = input_.workers[place.worker];
        const auto earlier = item.spec->gang ? newest : item.job->taskOf(id).run;
        output_.starts.push_back({id, earlier + 1, view.id, view.born});
        available_[place.worker] -= item.spec->charged();
        if (item.spec->maxPerWorker > 0)
            ++perStep_[place.worker][{occurrenceName(id), id.step}];
    }
}

// Keeps the emptiest rack for a gang that found no place.
void scheduler::pass::reserveRack(const unit &item)
{
    if (reservedRacks_.size() >= maxReservedRacks
        || input_.wallMs < item.job->acceptedMs + reserveAfterMs)
        return;
    const std::string *best = nullptr;
    std::int64_t most = -1;
    for (const auto &[rack, members] : racks_) {
        if (reservedRacks_.contains(rack))
            continue;
        std::int64_t room = 0;
        for (const auto worker : members) {
            if (usable(item, worker))
                room += std::max<std::int64_t>(0, available_[worker].accelerators);
        }
        if (room > most) {
            most = room;
            best = &rack;
        }
    }
    if (best != nullptr)
        reservedRacks_.insert(*best);
}

} // namespace persimmon::batch
