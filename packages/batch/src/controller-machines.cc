#include "base/event_log.h"
#include "batch/controller.h"
#include "disruption.h"

namespace persimmon::batch {

std::map<std::string, controller::machine_view> controller::viewMachines(time_point now) const
{
    std::map<std::string, machine_view> views;
    for (const auto &[id, known] : workers_) {
        if (known.report.machine.empty())
            continue;
        auto &view = views[known.report.machine];
        if (view.born > known.report.born)
            continue;
        view.worker = id;
        view.born = known.report.born;
        view.heard = !isSilent(known, now) && !known.left;
        view.heardAt = known.heard;
        view.draining = known.report.draining;
        view.runs = 0;
        view.lostSeconds = 0;
        for (const auto &[task, run] : state_.runsOn(id)) {
            ++view.runs;
            const auto watch = known.runs.find(task);
            const auto &need = state_.findJob(task.job)->spec.steps[task.step].need;
            if (watch != known.runs.end())
                view.lostSeconds += coreSeconds(
                        need, std::chrono::duration<double>(now - watch->second.started).count());
        }
    }
    return views;
}

void controller::closeMachines(std::set<std::string> machines)
{
    closedMachines_ = std::move(machines);
}

bool controller::isAtWork(const task_id &task) const
{
    const auto &state = state_.findJob(task.job)->taskOf(task);
    const auto worker = workers_.find(state.worker);
    if (!state.active || worker == workers_.end() || stopping_.contains({task, state.run}))
        return false;
    const auto watch = worker->second.runs.find(task);
    return watch != worker->second.runs.end() && watch->second.percent >= 100;
}

void controller::evacuate(const std::string &worker)
{
    for (const auto &[task, run] : state_.runsOn(worker)) {
        const auto &job = *state_.findJob(task.job);
        if (stopping_.contains({task, run.run}))
            continue;
        const bool guarded = job.spec.steps[task.step].disruptionBudget > 0 && isAtWork(task);
        if (guarded
            && detail::disruptionsLeft(job, task, [this](const task_id &other) {
                   return isAtWork(other);
               }) <= 0)
            continue;
        stopping_.insert({task, run.run});
        logEvent("task.moved",
                 {{"job", task.job},
                  {"task", shortName(task)},
                  {"run", run.run},
                  {"worker", worker},
                  {"why", "upkeep"}});
    }
}

} // namespace persimmon::batch
