#include "base/event_log.h"
#include "batch/controller.h"
#include "disruption.h"

namespace persimmon::batch {

std::map<std::string, controller::machine_status> controller::machineStatuses(time_point now) const
{
    std::map<std::string, machine_status> views;
    for (const auto &[id, worker] : workers_) {
        if (worker.report.machine.empty())
            continue;
        auto &view = views[worker.report.machine];
        if (view.incarnation > worker.report.incarnation)
            continue;
        view.worker = id;
        view.incarnation = worker.report.incarnation;
        view.responsive = !isHeartbeatOverdue(worker, now) && !worker.leftAt;
        view.lastHeartbeat = worker.lastHeartbeat;
        view.draining = worker.report.draining;
        view.runs = 0;
        view.lostSeconds = 0;
        for (const auto &[task, run] : state_.runsOn(id)) {
            ++view.runs;
            const auto tracked = worker.runs.find(task);
            const auto &need = state_.findJob(task.job)->spec.steps[task.step].need;
            if (tracked != worker.runs.end())
                view.lostSeconds += coreSeconds(
                        need, std::chrono::duration<double>(now - tracked->second.started).count());
        }
    }
    return views;
}

void controller::cordonMachines(std::set<std::string> machines)
{
    cordonedMachines_ = std::move(machines);
}

bool controller::isAvailable(const task_id &task) const
{
    const auto &state = state_.findJob(task.job)->taskOf(task);
    const auto worker = workers_.find(state.worker);
    if (!state.active || worker == workers_.end() || stopping_.contains({task, state.run}))
        return false;
    const auto tracked = worker->second.runs.find(task);
    return tracked != worker->second.runs.end() && tracked->second.percent >= 100;
}

void controller::vacate(const std::string &worker)
{
    for (const auto &[task, run] : state_.runsOn(worker)) {
        const auto &job = *state_.findJob(task.job);
        if (stopping_.contains({task, run.run}))
            continue;
        const bool isProtected
                = job.spec.steps[task.step].disruptionBudget > 0 && isAvailable(task);
        if (isProtected
            && detail::disruptionsLeft(job, task, [this](const task_id &other) {
                   return isAvailable(other);
               }) <= 0)
            continue;
        requestStop(task, run.run, worker);
        logEvent("task.moved",
                 {{"job", task.job},
                  {"task", shortName(task)},
                  {"run", run.run},
                  {"worker", worker},
                  {"why", "upkeep"}});
    }
}

} // namespace persimmon::batch
