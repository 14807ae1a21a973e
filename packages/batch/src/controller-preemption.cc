#include "base/event_log.h"
#include "batch/controller.h"
#include "controller-detail.h"

#include <algorithm>

// What the leader knows of the work of a run, and records of work that has to be done again.
namespace persimmon::batch {

using detail::millisecondsOf;

run_forecast controller::forecastOf(const tracked_run &run, const step_spec &spec, time_point now)
{
    return {run.firstPercent, run.percent,
            std::chrono::duration_cast<milliseconds>(run.lastProgress - run.started),
            std::chrono::duration_cast<milliseconds>(now - run.lastProgress),
            milliseconds {spec.estimateMs}};
}

// Stops a run for other work.
void controller::recordPreemption(const preemption &item)
{
    const auto &[task, run, worker, incarnation] = item.run;
    if (!requestStop(task, run, worker))
        return;
    const auto &victim = *state_.findJob(task.job);
    const auto &other = *state_.findJob(item.beneficiary.job);
    const auto &spec = victim.spec.steps[task.step];
    const auto &otherSpec = other.spec.steps[item.beneficiary.step];
    const auto progress = progressOf(item.run);
    observeDiscarded_({discard_cause::Preempted, victim.source.priority, other.source.priority,
                       item.lostCoreSeconds});
    logEvent("task.preempted",
             {{"job", task.job},
              {"step", task.step},
              {"index", task.index},
              {"run", run},
              {"worker", worker},
              {"priority", victim.source.priority},
              {"gang", spec.gang ? spec.count : 0},
              {"checkpointable", spec.checkpointable ? 1 : 0},
              {"percent", progress ? progress->percent : 0},
              {"worked_ms", progress ? millisecondsOf(now_ - progress->started) : 0},
              {"lost_core_ms", static_cast<std::int64_t>(item.lostCoreSeconds * 1000)},
              {"for_job", item.beneficiary.job},
              {"for_priority", other.source.priority},
              {"for_tasks", otherSpec.count},
              {"for_accelerators", otherSpec.need.accelerators}});
}

// Records that the work of a run is lost because it stalls or with its worker.
void controller::recordDiscarded(discard_cause cause, const assignment &run) const
{
    const auto progress = progressOf(run);
    const auto *job = state_.findJob(run.task.job);
    if (!progress || job == nullptr)
        return;
    const auto &spec = job->spec.steps[run.task.step];
    const auto lost = cause == discard_cause::WorkerLost
            ? lostWithWorker(progress->times(), spec, now_)
            : lostByStop(progress->times(), spec, now_);
    observeDiscarded_({cause, job->source.priority, std::nullopt,
                       coreSeconds(spec.need, std::chrono::duration<double>(lost).count())});
}

} // namespace persimmon::batch
