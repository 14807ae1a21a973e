#include "batch/ledger.h"

#include "base/log.h"

#include <algorithm>
#include <array>
#include <type_traits>

namespace persimmon::batch {

namespace {

// Completed waves are evicted, oldest first, once this many waves are stored. Waves that are not
// done are always kept.
constexpr std::size_t maxWaves = 64;

// Events kept for each job.
constexpr std::size_t maxEvents = 24;

// Some thousand years. A point in time after a few of them still fits into its type.
constexpr double maxSlackMs = 1e14;

// Returns whether a run that has ended had begun, as far as is known.
bool hasBegun(end_kind kind)
{
    return kind != end_kind::Refused && kind != end_kind::NotStarted;
}

status idIsTaken(const std::string &by)
{
    return error {result_code::KeyReused, "the id is taken by " + by, "id", {}};
}

} // namespace

std::string shortName(const task_id &task)
{
    return std::to_string(task.occurrence) + "." + std::to_string(task.step) + "."
            + std::to_string(task.index);
}

bool job_record::isOf(const queue &at) const
{
    return source.host == at.host && source.prefix == at.prefix;
}

bool job_record::isAt(const job_address &at) const
{
    return id == at.id && source.host == at.host && source.prefix == at.prefix
            && (at.tenant.empty() || tenant == at.tenant);
}

bool job_record::belongsTo(const queue &at, std::string_view owner) const
{
    return isOf(at) && (at.isPublic || tenant == owner);
}

std::int64_t job_record::criticalPathMs() const
{
    std::vector<std::int64_t> ends;
    std::int64_t longest = 0;
    for (const auto &step : spec.steps) {
        std::int64_t begin = 0;
        for (const auto dependency : step.dependsOn)
            begin = std::max(begin, ends[dependency]);
        ends.push_back(begin + step.estimateMs);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

std::int64_t job_record::objectiveMs() const
{
    const auto slackMs = source.slackFactor * static_cast<double>(criticalPathMs());
    return static_cast<std::int64_t>(std::min(slackMs, maxSlackMs)) + source.objectiveMs;
}

bool wave_record::done() const
{
    return std::ranges::all_of(
            machines, [](const auto &item) { return item.second.phase >= upkeep_phase::Down; });
}

std::string_view toName(upkeep_phase phase)
{
    static constexpr std::array<std::string_view, 5> names {"waiting", "ordered", "down",
                                                            "finished", "gone"};
    return names.at(static_cast<std::size_t>(phase));
}

ledger::ledger() = default;
ledger::~ledger() = default;

consensus::byte_buffer ledger::apply(consensus::log_index index, consensus::byte_view bytes)
{
    const auto decoded = decodeCommand(bytes);
    if (failed(decoded)) {
        logFor("ledger")->error("can't decode log entry {}: {}", index, errorOf(decoded).detail);
        return {};
    }
    return encodeOutcome(apply(valueOf(decoded)));
}

status ledger::apply(const command &value)
{
    const auto visitor = [this](const auto &input) -> status {
        if constexpr (std::is_void_v<decltype(handle(input))>) {
            handle(input);
            return std::monostate {};
        } else {
            return handle(input);
        }
    };
    return std::visit(visitor, value);
}

const job_record *ledger::findJob(const std::string &id) const
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

void ledger::forEachOpenJob(const std::function<void(const job_record &)> &visit) const
{
    for (const auto &id : openJobs_)
        visit(jobs_.at(id));
}

bool ledger::hasTask(const task_id &id) const
{
    const auto *job = findJob(id.job);
    return job != nullptr && id.occurrence < job->occurrences.size()
            && id.step < job->occurrences[id.occurrence].size()
            && id.index < job->occurrences[id.occurrence][id.step].tasks.size();
}

const std::map<task_id, assignment> &ledger::runsOn(const std::string &worker) const
{
    static const std::map<task_id, assignment> none;
    const auto found = runs_.find(worker);
    return found == runs_.end() ? none : found->second.runs;
}

void ledger::addRun(const assignment &run, const step_spec &spec)
{
    auto &at = runs_[run.worker];
    if (at.runs.insert_or_assign(run.task, run).second)
        at.used += spec.charged();
}

void ledger::removeRun(const std::string &worker, const task_id &task, const step_spec &spec)
{
    const auto found = runs_.find(worker);
    if (found == runs_.end() || found->second.runs.erase(task) == 0)
        return;
    found->second.used -= spec.charged();
    if (found->second.runs.empty())
        runs_.erase(found);
}

std::size_t ledger::queuedJobs(const queue &at) const
{
    return static_cast<std::size_t>(std::ranges::count_if(openJobs_, [&](const std::string &id) {
        const auto &job = jobs_.at(id);
        return job.state == job_state::Queued && job.isOf(at);
    }));
}

void ledger::handle(const set_configuration &input)
{
    if (input.value.version > configuration_.version)
        configuration_ = input.value;
}

status ledger::handle(const accept_job &input)
{
    if (const auto *known = findJob(input.id); known != nullptr) {
        const bool isRepeated
                = known->belongsTo(input.source, input.tenant) && known->spec == input.spec;
        return isRepeated ? status {std::monostate {}} : idIsTaken("another job");
    }
    if (cancellations_.contains({input.source, input.tenant, input.id}))
        return error {result_code::Cancelled, "cancelled before it was handed in", "id", {}};
    job_record job;
    job.id = input.id;
    job.tenant = input.tenant;
    job.source = input.source;
    job.spec = input.spec;
    job.acceptedMs = input.wallMs;
    std::vector<step_state> steps;
    for (const auto &step : input.spec.steps)
        steps.emplace_back().tasks.resize(step.count);
    job.occurrences.assign(std::max(1U, input.spec.occurrences), steps);
    appendEvent(job, {input.wallMs, "accepted", "-", 0, "queue " + input.source.name});
    jobs_.emplace(input.id, std::move(job));
    openJobs_.insert(input.id);
    return std::monostate {};
}

void ledger::handle(const cancel_job &input)
{
    const auto found = jobs_.find(input.id);
    if (found != jobs_.end() && !found->second.ended())
        closeJob(found->second, job_state::Cancelled, input.wallMs);
}

void ledger::handle(const start_runs &input)
{
    for (const auto &run : input.runs)
        start(run, input.wallMs);
}

void ledger::appendEvent(job_record &job, job_event event)
{
    if (job.events.size() >= maxEvents)
        job.events.erase(job.events.begin() + 1); // keeps the acceptance
    job.events.push_back(std::move(event));
}

void ledger::start(const assignment &run, std::int64_t wallMs)
{
    auto *task = findTask(run.task);
    if (task == nullptr)
        return;
    auto &job = jobs_.at(run.task.job);
    if (job.ended() || task->done || task->active || run.run <= task->run)
        return;
    task->active = true;
    task->run = run.run;
    task->worker = run.worker;
    task->incarnation = run.incarnation;
    auto &step = job.occurrences[run.task.occurrence][run.task.step];
    ++step.activeCount;
    if (!step.begun || run.run > 1)
        appendEvent(job,
                    {wallMs, "started", "-", run.run, shortName(run.task) + " on " + run.worker});
    step.begun = true;
    if (job.state == job_state::Queued) {
        observer_({ledger_event_kind::JobBegun, &job, {}, {}});
        unbegunJobs_.insert(job.id);
    }
    job.state = job_state::Running;
    addRun(run, job.spec.steps[run.task.step]);
    ++activeRuns_[job.id];
}

void ledger::handle(const end_runs &input)
{
    for (const auto &value : input.ends)
        end(value, input.wallMs);
}

void ledger::end(const run_end &value, std::int64_t wallMs)
{
    auto *task = findTask(value.task);
    if (task == nullptr || !task->active || task->run != value.run)
        return;
    auto &job = jobs_.at(value.task.job);
    auto &step = job.occurrences[value.task.occurrence][value.task.step];
    const auto &spec = job.spec.steps[value.task.step];
    task->active = false;
    --step.activeCount;
    removeRun(task->worker, value.task, spec);
    if (--activeRuns_[job.id] == 0) {
        activeRuns_.erase(job.id);
        if (job.ended())
            openJobs_.erase(job.id);
    }
    if (!value.checkpoint.empty() && spec.checkpointable)
        task->checkpoint = value.checkpoint;
    if (value.kind == end_kind::Failed)
        task->failedOn = task->worker;
    if (hasBegun(value.kind))
        unbegunJobs_.erase(job.id);
    if (value.kind != end_kind::Done)
        appendEvent(job,
                    {wallMs, "ended", std::string(toName(value.kind)), value.run,
                     shortName(value.task) + " on " + task->worker});
    observer_({ledger_event_kind::RunEnded, &job, value.kind, {}});
    if (job.ended() || spec.longRunning)
        return;
    if (value.kind == end_kind::Done)
        finishTask(job, value.task, wallMs);
    else if (value.kind == end_kind::Failed && countFailure(job, spec, step, *task))
        closeJob(job, job_state::Failed, wallMs);
}

void ledger::handle(const set_evacuation &input)
{
    if (input.evacuated)
        evacuations_.try_emplace(input.zone, evacuation {input.wallMs});
    else
        evacuations_.erase(input.zone);
}

status ledger::handle(const record_cancellation &input)
{
    cancellations_.try_emplace(input.job, input.wallMs);
    const auto *job = findJob(input.job.id);
    return job != nullptr && job->isAt(input.job) ? idIsTaken("the job itself")
                                                  : status {std::monostate {}};
}

// A gang is done as soon as one of its tasks ends as done.
void ledger::finishTask(job_record &job, const task_id &id, std::int64_t wallMs)
{
    auto &step = job.occurrences[id.occurrence][id.step];
    const auto mark = [&step](task_state &item) {
        step.doneCount += item.done ? 0 : 1;
        item.done = true;
    };
    if (job.spec.steps[id.step].gang)
        std::ranges::for_each(step.tasks, mark);
    else
        mark(step.tasks[id.index]);
    const auto stepDone = [](const step_state &item) { return item.done(); };
    for (const auto &steps : job.occurrences) {
        if (!std::ranges::all_of(steps, stepDone))
            return;
    }
    closeJob(job, job_state::Done, wallMs);
}

// Counts a failed run and returns whether no attempts are left. All failures within one run of a
// gang count as one.
bool ledger::countFailure(const job_record &job, const step_spec &spec, step_state &step,
                          task_state &task)
{
    ++task.failures;
    if (!spec.gang)
        return task.failures >= job.source.attempts;
    if (step.lastFailedRun != task.run) {
        step.lastFailedRun = task.run;
        ++step.failedRuns;
    }
    return step.failedRuns >= job.source.attempts;
}

void ledger::closeJob(job_record &job, job_state state, std::int64_t wallMs)
{
    job.state = state;
    job.endedMs = std::max<std::int64_t>(1, wallMs);
    unbegunJobs_.erase(job.id);
    appendEvent(job, {wallMs, "closed", std::string(toName(state)), 0, "-"});
    observer_({ledger_event_kind::JobEnded, &job, {}, {}});
    forgetLosses(job.id);
    if (!activeRuns_.contains(job.id))
        openJobs_.erase(job.id);
}

void ledger::handle(const remove_ended_jobs &input)
{
    std::erase_if(jobs_, [&](const auto &item) {
        const auto &job = item.second;
        return job.ended() && job.endedMs < input.endedBeforeMs && !activeRuns_.contains(job.id);
    });
    std::erase_if(cancellations_,
                  [&](const auto &item) { return item.second < input.endedBeforeMs; });
}

status ledger::handle(const start_wave &input)
{
    if (const auto known = waves_.find(input.value.id); known != waves_.end())
        return known->second.spec == input.value ? status {std::monostate {}}
                                                 : idIsTaken("another wave");
    while (waves_.size() >= maxWaves) {
        const auto oldestDone
                = std::ranges::find_if(waves_, [](const auto &item) { return item.second.done(); });
        if (oldestDone == waves_.end())
            break;
        waves_.erase(oldestDone);
    }
    auto &record = waves_[input.value.id];
    record.spec = input.value;
    record.startedMs = input.wallMs;
    for (const auto &machine : input.value.machines)
        record.machines[machine] = {};
    return std::monostate {};
}

void ledger::handle(const set_upkeep_phase &input)
{
    const auto found = waves_.find(input.wave);
    if (found == waves_.end())
        return;
    const auto machine = found->second.machines.find(input.machine);
    if (machine == found->second.machines.end())
        return;
    // Phases only advance, except that an order that the platform didn't carry out is withdrawn.
    const bool withdrawn = machine->second.phase == upkeep_phase::Ordered
            && input.phase == upkeep_phase::Waiting;
    if (input.phase <= machine->second.phase && !withdrawn)
        return;
    machine->second.phase = input.phase;
    if (input.phase == upkeep_phase::Ordered || input.phase == upkeep_phase::Down)
        machine->second.incarnation = std::max(machine->second.incarnation, input.incarnation);
}

void ledger::rebuildIndexes()
{
    runs_.clear();
    activeRuns_.clear();
    openJobs_.clear();
    for (const auto &[id, job] : jobs_) {
        for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
            for (std::uint32_t s = 0; s < job.occurrences[k].size(); ++s) {
                const auto &tasks = job.occurrences[k][s].tasks;
                for (std::uint32_t i = 0; i < tasks.size(); ++i) {
                    if (!tasks[i].active)
                        continue;
                    const task_id task {id, k, s, i};
                    addRun({task, tasks[i].run, tasks[i].worker, tasks[i].incarnation},
                           job.spec.steps[s]);
                    ++activeRuns_[id];
                }
            }
        }
        if (!job.ended() || activeRuns_.contains(id))
            openJobs_.insert(id);
    }
    rebuildSuspicions();
}

task_state *ledger::findTask(const task_id &id)
{
    const auto found = jobs_.find(id.job);
    if (found == jobs_.end() || id.occurrence >= found->second.occurrences.size())
        return nullptr;
    auto &steps = found->second.occurrences[id.occurrence];
    if (id.step >= steps.size() || id.index >= steps[id.step].tasks.size())
        return nullptr;
    return &steps[id.step].tasks[id.index];
}

} // namespace persimmon::batch
