#include "oracle.h"

#include <algorithm>

namespace persimmon::placement::test {

namespace {

std::string number(job_id id)
{
    return std::to_string(toNumber(id));
}

struct to_text
{
    std::string operator()(const place_job &item) const
    {
        auto text = "place " + number(item.job) + "." + std::to_string(item.attempt) + item.reason;
        for (const auto &worker : item.workers) {
            text += " " + worker;
        }
        return text;
    }
    std::string operator()(const preempt_job &item) const
    {
        return "preempt " + number(item.job) + " for " + number(item.forJob);
    }
    std::string operator()(const stop_job &item) const { return "stop " + number(item.job); }
    std::string operator()(const end_job &item) const
    {
        return "end " + number(item.job) + " " + std::string(describe(item.code).name);
    }
    std::string operator()(const job_waits &item) const
    {
        return "waits " + number(item.job) + " " + std::string(toName(item.reason));
    }
    std::string operator()(const worker_quarantined &item) const
    {
        return "quarantine " + item.worker;
    }
    std::string operator()(const worker_readmitted &item) const { return "readmit " + item.worker; }
};

} // namespace

std::string toText(const action &item)
{
    return std::visit(to_text {}, item);
}

oracle::oracle(const scheduler_options &options)
    : core_(scheduler::create(options))
    , replica_(scheduler::create(options))
{
}

void oracle::expect(bool holds, const std::string &text)
{
    if (!holds) {
        failures.push_back(text);
    }
}

status oracle::validate(const tables_changed &next) const
{
    return core_->validate(next.pools, next.workspaces);
}

void oracle::send(const event &input)
{
    apply(input);
    const auto actions = core_->step(now_, input);
    const auto replicaActions = replica_->step(now_, input);
    expect(std::ranges::equal(actions, replicaActions, {}, toText, toText),
           "equal events gave different actions");
    for (const auto &item : actions) {
        check(item);
    }
    checkGuarantees(actions);
}

// Checks that placements keep the guarantees bindable: if they can't be bound after the actions,
// they must be unbindable without the new placements as well.
void oracle::checkGuarantees(const std::vector<action> &actions)
{
    auto before = jobs;
    for (const auto &item : actions) {
        if (const auto *placed = std::get_if<place_job>(&item)) {
            before[toNumber(placed->job)].workers.clear();
        }
    }
    const auto after = cells_.empty() || bindable();
    if (!after) {
        std::swap(before, jobs);
        expect(!bindable(), "placement made guarantees unbindable");
        std::swap(before, jobs);
    }
}

void oracle::wait(milliseconds time)
{
    now_ += time;
    for (int round = 0; round < 4; ++round) {
        send(clock_ticked {});
    }
}

void oracle::apply(const event &input)
{
    if (const auto *joined = std::get_if<worker_joined>(&input)) {
        auto &item = workers[joined->worker];
        item = {joined->place, joined->capacity, true, false, item.suspect};
    } else if (const auto *left = std::get_if<worker_left>(&input)) {
        workers[left->worker].present = false;
    } else if (const auto *leaving = std::get_if<worker_leaving>(&input)) {
        workers[leaving->worker].leaving = true;
    } else if (const auto *changed = std::get_if<tables_changed>(&input)) {
        tables = *changed;
        cells_.clear();
        for (const auto &owner : tables.workspaces) {
            for (const auto &row : owner.guarantees) {
                cells_.insert(cells_.end(), row.count, {owner.name, row.block});
            }
        }
    } else if (const auto *submitted = std::get_if<job_submitted>(&input)) {
        jobs[toNumber(submitted->job)].spec = submitted->spec;
    } else if (const auto *ended = std::get_if<attempt_ended>(&input)) {
        auto &item = jobs[toNumber(ended->job)];
        if (ended->attempt != item.attempt || item.workers.empty()) {
            return; // late
        }
        const auto done = ended->how == attempt_end::Completed;
        item.state = done ? progress::Ended : progress::Waiting;
        item.reason = wait_reason::None;
        item.failed = item.failed || ended->how == attempt_end::TaskFailed;
        item.workers.clear();
    }
}

void oracle::place(const place_job &placed)
{
    auto &item = jobs[toNumber(placed.job)];
    const auto text = toText(placed);
    expect(item.state == progress::Waiting, "placed while not waiting: " + text);
    expect(placed.attempt > item.attempt, "attempt number not increased: " + text);
    expect(placed.workers.size() == item.spec.tasks, "not all tasks placed: " + text);
    item.state = progress::Running;
    item.attempt = placed.attempt;
    item.workers = placed.workers;
    std::set<std::string> regions;
    for (const auto &name : placed.workers) {
        const auto &worker = workers[name];
        regions.insert(worker.place.region);
        expect(worker.present && !worker.leaving, "placed on an absent worker: " + text);
        expect(freeOf(name, false) >= 0 && freeOf(name, true) >= 0,
               "worker oversubscribed: " + text);
    }
    expect(regions.size() == 1, "gang spans regions: " + text);
}

void oracle::check(const action &item)
{
    if (const auto *placed = std::get_if<place_job>(&item)) {
        place(*placed);
    } else if (const auto *preempted = std::get_if<preempt_job>(&item)) {
        auto &victim = jobs[toNumber(preempted->job)];
        expect(victim.state == progress::Running, "preempted while not running: " + toText(item));
        expect(victim.spec.repeatable, "preempted though not repeatable: " + toText(item));
        victim.state = progress::Stopping;
    } else if (const auto *stopped = std::get_if<stop_job>(&item)) {
        jobs[toNumber(stopped->job)].state = progress::Stopping;
    } else if (const auto *ended = std::get_if<end_job>(&item)) {
        auto &job = jobs[toNumber(ended->job)];
        expect(job.state != progress::Ended, "ended twice: " + toText(item));
        job.state = progress::Ended;
        job.workers.clear();
    } else if (const auto *waits = std::get_if<job_waits>(&item)) {
        auto &waiting = jobs[toNumber(waits->job)];
        expect(waiting.state == progress::Waiting,
               "wait reason for a job that is not waiting: " + toText(item));
        expect(waiting.reason != waits->reason, "wait reason reported twice: " + toText(item));
        waiting.reason = waits->reason;
    } else if (const auto *quarantined = std::get_if<worker_quarantined>(&item)) {
        workers[quarantined->worker].suspect = true;
    } else if (const auto *readmitted = std::get_if<worker_readmitted>(&item)) {
        workers[readmitted->worker].suspect = false;
    }
}

std::int64_t oracle::freeOf(const std::string &name, bool cores) const
{
    const auto &worker = workers.at(name);
    std::int64_t available = cores ? worker.capacity.cores : worker.capacity.accelerators;
    for (const auto &[id, item] : jobs) {
        const auto &size = item.spec.task;
        available -= std::ranges::count(item.workers, name)
                * (cores ? size.cores : size.accelerators);
    }
    return available;
}

std::int64_t oracle::slotsIn(const std::string &region, const job_spec &spec) const
{
    std::int64_t slots = 0;
    for (const auto &[name, where] : workers) {
        if (where.healthy() && where.place.region == region) {
            auto fitting = freeOf(name, true) / spec.task.cores;
            if (spec.task.accelerators > 0) {
                fitting = std::min(fitting, freeOf(name, false) / spec.task.accelerators);
            }
            slots += std::max<std::int64_t>(fitting, 0);
        }
    }
    return slots;
}

// Returns whether a worker can hold its bound cells and the fixed jobs outside cells.
bool oracle::holds(const std::string &name, const usage &bound, const usage &fixed) const
{
    amounts total;
    for (const auto *usages : {&bound, &fixed}) {
        if (const auto it = usages->find(name); it != usages->end()) {
            for (const auto &[owner, size] : it->second) {
                total.accelerators += size.accelerators;
                total.cores += size.cores;
            }
        }
    }
    const auto &capacity = workers.at(name).capacity;
    return total.accelerators <= capacity.accelerators && total.cores <= capacity.cores;
}

// Returns whether the cells of each workspace hold its covered jobs.
bool oracle::covers(usage &bound) const
{
    for (const auto &[name, owners] : covered_) {
        for (const auto &[owner, size] : owners) {
            const auto &available = bound[name][owner];
            if (size.accelerators > available.accelerators || size.cores > available.cores) {
                return false;
            }
        }
    }
    return true;
}

bool oracle::bindRows(std::size_t cell, std::uint32_t row, const std::string &from, usage &bound,
                      const usage &fixed) const
{
    const auto &[owner, block] = cells_[cell];
    if (row == block.workers) {
        return bindFrom(cell + 1, bound, fixed);
    }
    for (const auto &[name, worker] : workers) {
        if (!worker.healthy() || (row > 0 && worker.place != workers.at(from).place)) {
            continue;
        }
        auto &ownUse = bound[name][owner];
        const auto previous = ownUse;
        const auto share = worker.capacity.cores / worker.capacity.accelerators;
        ownUse.accelerators += block.accelerators;
        ownUse.cores += std::int64_t(share) * block.accelerators;
        if (holds(name, bound, fixed) && bindRows(cell, row + 1, name, bound, fixed)) {
            return true;
        }
        bound[name][owner] = previous;
    }
    return false;
}

bool oracle::bindFrom(std::size_t cell, usage &bound, const usage &fixed) const
{
    return cell == cells_.size() ? covers(bound) : bindRows(cell, 0, "", bound, fixed);
}

// Tries each subset of the jobs that are not repeatable as the jobs inside cells of their
// workspace.
bool oracle::bindable() const
{
    std::vector<const job *> fixedJobs;
    for (const auto &[id, item] : jobs) {
        if (!item.spec.repeatable && !item.workers.empty()) {
            fixedJobs.push_back(&item);
        }
    }
    const auto choices = 1U << std::min<std::size_t>(fixedJobs.size(), 6);
    for (auto choice = 0U; choice < choices; ++choice) {
        usage fixed;
        covered_.clear();
        for (std::size_t rank = 0; rank < fixedJobs.size(); ++rank) {
            const auto &item = *fixedJobs[rank];
            const auto &size = item.spec.task;
            const auto inCell = std::ranges::any_of(cells_, [&](const auto &cell) {
                return cell.first == item.spec.workspace && size.accelerators > 0
                        && size.accelerators <= cell.second.accelerators
                        && size.cores <= 2 * cell.second.accelerators;
            });
            const auto covered = inCell && rank < 6 && (choice >> rank & 1U) != 0;
            auto &target = covered ? covered_ : fixed;
            for (const auto &name : item.workers) {
                auto &entry = target[name][item.spec.workspace];
                entry.accelerators += item.spec.task.accelerators;
                entry.cores += item.spec.task.cores;
            }
        }
        usage bound;
        if (bindFrom(0, bound, fixed)) {
            return true;
        }
    }
    return false;
}

// Returns whether one cell can hold the job and no job of its workspace runs or claims.
bool oracle::withinGuarantee(const job &item) const
{
    for (const auto &[id, other] : jobs) {
        const auto claims = other.state == progress::Waiting
                && other.reason == wait_reason::PreemptionPending;
        if (other.spec.workspace == item.spec.workspace && (claims || !other.workers.empty())) {
            return false;
        }
    }
    const auto &size = item.spec.task;
    return std::ranges::any_of(cells_, [&](const auto &cell) {
        const auto &[owner, block] = cell;
        return owner == item.spec.workspace && size.accelerators > 0
                && size.cores <= 2 * size.accelerators
                && block.accelerators / size.accelerators * block.workers >= item.spec.tasks;
    });
}

void oracle::checkQuiet(bool reservations)
{
    const auto isClaim = [](const auto &entry) {
        return entry.second.state == progress::Waiting
                && entry.second.reason == wait_reason::PreemptionPending;
    };
    const auto claims = std::ranges::any_of(jobs, isClaim);
    const auto isStopping
            = [](const auto &entry) { return entry.second.state == progress::Stopping; };
    expect(!claims || std::ranges::any_of(jobs, isStopping),
           "claim pending without a preempted job");
    for (const auto &[id, item] : jobs) {
        if (item.state != progress::Waiting || item.reason == wait_reason::NoWorkers) {
            continue;
        }
        const auto name = std::to_string(id);
        expect(item.reason != wait_reason::None, "no wait reason: " + name);
        const auto pending = item.reason == wait_reason::PreemptionPending;
        expect(pending || !withinGuarantee(item) || !bindable(), "guarantee withheld: " + name);
        const auto skipped = item.failed || item.reason == wait_reason::QuotaReached
                || (!item.spec.repeatable && !cells_.empty());
        for (const auto *region : {"r", "s"}) {
            expect(reservations || claims || skipped
                           || slotsIn(region, item.spec) < item.spec.tasks,
                   "fits but waits: " + name);
        }
    }
}

void oracle::drain()
{
    tables.workspaces.clear();
    send(event(tables_changed(tables)));
    const auto known = workers;
    for (const auto &[name, where] : known) {
        send(worker_joined {name, "gpu", where.place, where.capacity});
    }
    for (int round = 0; round < 200; ++round) {
        const auto current = jobs;
        for (const auto &[id, item] : current) {
            if (item.state == progress::Running || item.state == progress::Stopping) {
                const auto how = item.state == progress::Running ? attempt_end::Completed
                                                                 : attempt_end::Preempted;
                send(attempt_ended {job_id {id}, item.attempt, how, ""});
            }
        }
        wait(milliseconds(1000));
    }
    for (const auto &[id, item] : jobs) {
        expect(item.state == progress::Ended,
               "not ended after draining: " + std::to_string(id) + " "
                       + std::string(toName(item.reason)));
    }
}

} // namespace persimmon::placement::test
