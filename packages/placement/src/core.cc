#include "core.h"

namespace persimmon::placement {

std::unique_ptr<scheduler> scheduler::create(const scheduler_options &options)
{
    return std::make_unique<detail::core>(options);
}

namespace detail {

namespace {

const strategy *strategyOr(std::string_view name, const strategy *fallback)
{
    const auto *chosen = findStrategy(name);
    return chosen == nullptr ? fallback : chosen;
}

} // namespace

core::core(const scheduler_options &options)
    : options_(options)
    , state_(strategyOr(options.strategy, findStrategy("buddy")))
{
}

std::vector<action> core::step(time_point now, const event &input)
{
    now_ = std::max(now_, now);
    actions_.clear();
    searchesLeft_ = maxSearchesPerStep;
    std::visit([this](const auto &value) { handle(value); }, input);
    dispatchPending();
    return std::move(actions_);
}

// Binds cells and dispatches in each pool that needs it. Binding is deferred while no job waits, so
// that a rebuild binds once instead of after each worker.
void core::dispatchPending()
{
    for (index_t pool = 0; pool < state_.pools.size(); ++pool) {
        auto &entry = state_.pools[pool];
        if (entry.waitingJobs.empty()) {
            entry.dispatchNeeded = false;
            continue;
        }
        if (entry.dispatchNeeded) {
            bindCells(pool);
            dispatch(pool);
        }
    }
    flushReports();
}

void core::handle(const worker_joined &input)
{
    const auto worker = state_.join(input, now_);
    auto &pool = state_.pools[state_.workers[worker].pool];
    pool.bindNeeded = true;
    pool.dispatchNeeded = true;
    pool.feasibilityCheckNeeded = true;
}

void core::handle(const worker_left &input)
{
    const auto worker = state_.workerNamed(input.worker);
    auto &entry = state_.workers[worker];
    if (!entry.present) {
        return;
    }
    entry.present = false;
    --state_.pools[entry.pool].present;
    withdrawWorker(worker);
}

void core::handle(const worker_leaving &input)
{
    const auto worker = state_.workerNamed(input.worker);
    if (state_.workers[worker].present) {
        state_.workers[worker].leaving = true;
        withdrawWorker(worker);
    }
}

void core::handle(const tables_changed &input)
{
    for (const auto &row : input.pools) {
        auto &pool = state_.pools[state_.poolNamed(row.name)];
        pool.policy = strategyOr(row.strategy, pool.policy);
    }
    for (auto &workspace : state_.workspaces) {
        workspace.weight = 1;
        workspace.quota = 0;
    }
    for (const auto &row : input.workspaces) {
        auto &workspace = state_.workspaces[state_.workspaceNamed(row.name)];
        workspace.weight = std::max(row.weight, 1U);
        workspace.quota = toAmount({row.quotaAccelerators, 0, 0}).accelerators;
    }
    applyGuarantees(input);
    for (index_t pool = 0; pool < state_.pools.size(); ++pool) {
        state_.pools[pool].bindNeeded = true;
        state_.pools[pool].dispatchNeeded = true;
        rejectInfeasibleJobs(pool); // jobs may exceed a reduced quota
    }
}

void core::handle(const job_submitted &input)
{
    if (state_.findJob(input.job) == noIndex) {
        admit(state_.addJob(input.job, input.spec));
    }
}

void core::handle(const job_restored &input)
{
    if (state_.findJob(input.job) != noIndex || input.workers.empty()) {
        return;
    }
    const auto job = state_.addJob(input.job, input.spec);
    auto &entry = state_.jobs[job];
    entry.tasks
            = static_cast<std::uint16_t>(std::min<std::size_t>(input.workers.size(), maxGangTasks));
    entry.attempt = input.attempt;
    entry.state = phase::Running;
    entry.queued = now_;
    entry.started = now_;
    std::vector<task_place> places;
    for (std::size_t task = 0; task < entry.tasks; ++task) {
        places.push_back({state_.workerNamed(input.workers[task]), noIndex});
    }
    state_.allocate(
            job, entry.repeatable ? allocation_kind::Preemptible : allocation_kind::NonPreemptible,
            std::move(places));
    queueAdoption(job);
}

void core::handle(const job_cancelled &input)
{
    const auto job = state_.findJob(input.job);
    if (job == noIndex || state_.jobs[job].cancelled) {
        return;
    }
    auto &entry = state_.jobs[job];
    if (entry.state == phase::Waiting || entry.state == phase::Claiming) {
        finish(job, result_code::Cancelled, "cancelled while waiting");
        return;
    }
    entry.cancelled = true;
    entry.state = phase::Stopping;
    actions_.emplace_back(stop_job {entry.id, entry.attempt});
}

// Events of an unknown job or an earlier attempt are late and are ignored.
void core::handle(const attempt_ended &input)
{
    const auto job = state_.findJob(input.job);
    if (job == noIndex || state_.jobs[job].attempt != input.attempt) {
        return;
    }
    auto &entry = state_.jobs[job];
    if (entry.state != phase::Running && entry.state != phase::Stopping) {
        return;
    }
    if (input.how == attempt_end::Completed) {
        estimator_.observe(entry.workspace, entry.priority, entry.accelerators(),
                           std::chrono::duration_cast<milliseconds>(now_ - entry.started));
        recordSuccess(entry);
        releaseResources(job);
        state_.removeJob(job);
        return;
    }
    retry(job, input);
}

void core::handle(const clock_ticked & /*input*/)
{
    updateQuarantine();
    for (index_t pool = 0; pool < state_.pools.size(); ++pool) {
        bindCells(pool);
        auto &entry = state_.pools[pool];
        if (entry.feasibilityCheckNeeded && entry.present > 0
            && now_ - entry.lastJoined >= joinQuietPeriod) {
            entry.feasibilityCheckNeeded = false;
            rejectInfeasibleJobs(pool);
        }
        updateReservations(pool);
    }
}

} // namespace detail

} // namespace persimmon::placement
