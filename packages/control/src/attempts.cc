#include "attempts.h"

#include <algorithm>

namespace persimmon::control {

namespace {

using placement::attempt_end;

int rank(task_state state)
{
    if (state == task_state::Prepared)
        return 0;
    return state == task_state::Running ? 1 : 2;
}

bool hasRestarted(const worker_grant &grant, const membership &members)
{
    const auto *worker = members.find(grant.worker);
    return worker && worker->incarnation > grant.incarnation;
}

} // namespace

task_action desiredAction(const job_entry &entry, const attempt_progress &progress, time_point now)
{
    switch (entry.state) {
    case job_state::Preparing:
        return task_action::Prepare;
    case job_state::Running:
        return task_action::Run;
    default:
        break;
    }
    const bool checkpoint = entry.stopReason == attempt_end::Preempted && entry.released
            && now < progress.stoppedAt + entry.stopDeadline;
    return checkpoint ? task_action::Checkpoint : task_action::Stop;
}

bool applyReport(const job_entry &entry, attempt_progress &progress, const task_report &report)
{
    const auto &task = report.task;
    if (entry.workers.empty() || task.attempt != entry.attempt || task.token != entry.token
        || task.index >= entry.workers.size())
        return false;
    const auto &grant = entry.workers[task.index];
    if (grant.worker != report.upstream || grant.incarnation != report.incarnation)
        return false;
    auto &current = progress.tasks[task.index];
    // Reports of one worker may arrive out of order, because they travel through different entries.
    if (current.state && rank(report.state) <= rank(*current.state))
        return false;
    current.state = report.state;
    current.result = report.result;
    return true;
}

std::optional<attempt_fault> findFault(const job_entry &entry, const attempt_progress &progress,
                                       const membership &members)
{
    const bool running = entry.state == job_state::Running;
    for (std::size_t i = 0; i < entry.workers.size(); ++i) {
        const auto &grant = entry.workers[i];
        const auto &state = progress.tasks[i].state;
        if (state == task_state::Failed)
            return attempt_fault {attempt_end::TaskFailed, grant.worker};
        if (state && hasEnded(*state) && (state != task_state::Done || !running))
            return attempt_fault {attempt_end::WorkerLost, grant.worker};
    }
    for (std::size_t i = 0; i < entry.workers.size(); ++i) {
        const auto &grant = entry.workers[i];
        const auto *worker = members.find(grant.worker);
        // The leader holds the result of a done task, so its worker is no longer needed.
        const bool done = progress.tasks[i].state == task_state::Done;
        if (!done && !members.isPresent(grant.worker, grant.incarnation))
            return attempt_fault {attempt_end::WorkerLost, grant.worker};
        if (!running && worker && worker->state == upstream_state::Leaving)
            return attempt_fault {attempt_end::WorkerLost, grant.worker};
    }
    return std::nullopt;
}

bool allInState(const attempt_progress &progress, task_state state)
{
    return std::ranges::all_of(progress.tasks,
                               [&](const auto &task) { return task.state == state; });
}

bool hasStopped(const job_entry &entry, const attempt_progress &progress, const membership &members,
                const context &shared)
{
    // An entry that cannot reach the leader renews task leases until its own lease has expired. One
    // announcement period is the margin for clock drift between worker, entry and leader.
    const auto &options = shared.options();
    const auto leasesEnded = progress.stoppedAt + options.configurationLease + options.taskLease
            + options.announcePeriod;
    if (progress.stopObserved && shared.now() >= leasesEnded)
        return true;
    for (std::size_t i = 0; i < entry.workers.size(); ++i) {
        const auto &state = progress.tasks[i].state;
        if (!(state && hasEnded(*state)) && !hasRestarted(entry.workers[i], members))
            return false;
    }
    return true;
}

std::vector<task_order> desiredOrders(const job_entry &entry, const membership &members,
                                      task_action action)
{
    std::vector<task_order> orders;
    orders.reserve(entry.workers.size());
    for (std::size_t i = 0; i < entry.workers.size(); ++i) {
        const auto &grant = entry.workers[i];
        const auto *worker = members.find(grant.worker);
        if (worker && worker->incarnation != grant.incarnation)
            continue;
        // A leaving worker is sent no new tasks. findFault() stops the attempt instead.
        if (action == task_action::Prepare && worker && worker->state != upstream_state::Serving)
            continue;
        const task_ref task {entry.id, entry.attempt, static_cast<std::uint32_t>(i), entry.token};
        orders.push_back({grant.worker, task, action, entry.spec.task, entry.spec.payload});
    }
    return orders;
}

} // namespace persimmon::control
