#include "batch/controller.h"

#include "base/event_log.h"
#include "controller-detail.h"

#include <utility>

namespace persimmon::batch {

using detail::millisecondsOf;

// Passes the newest report of a worker to the model. `updated` are the runs that it lists; those of
// `worker.runs` are from the report before.
void controller::observeNeighbours(worker_state &worker, std::map<task_id, tracked_run> &updated,
                                   time_point now)
{
    std::vector<observed_run> runs;
    for (const auto &row : worker.report.running) {
        const auto tracked = updated.find(row.task);
        if (tracked == updated.end() || tracked->second.run != row.run)
            continue;
        if (auto run = observedRun(worker, row, tracked->second, now))
            runs.push_back(*run);
    }
    for (auto &[task, earlier] : worker.runs) {
        const auto listed = updated.find(task);
        const bool ended = listed == updated.end() || listed->second.run != earlier.run;
        if (ended && earlier.kind)
            runs.push_back({&earlier.history, *earlier.kind, earlier.serves, true, true});
    }
    if (runs.empty())
        return;
    const auto &report = worker.report;
    worker_observation observation;
    observation.worker = report.id;
    observation.sentMs
            = report.clockMs != 0 ? report.clockMs : millisecondsOf(now.time_since_epoch());
    observation.comparable = report.warmupLeftMs == 0;
    observation.runs = runs;
    interference_.observe(now, observation);
}

// Returns nothing if the kind of the run isn't told apart, because there are too many.
std::optional<observed_run> controller::observedRun(const worker_state &worker,
                                                    const running_task &row, tracked_run &tracked,
                                                    time_point now)
{
    const auto &job = *state_.findJob(row.task.job);
    const auto &spec = job.spec.steps[row.task.step];
    tracked.serves = spec.latencyObjectiveMs > 0;
    if (!tracked.kind)
        tracked.kind = interference_.indexOf(now, {job.source.name, row.task.step}, tracked.serves);
    if (!tracked.kind)
        return std::nullopt;
    observed_run run;
    run.history = &tracked.history;
    run.kind = *tracked.kind;
    run.serves = tracked.serves;
    // Its speed is also that of the pace that was ordered.
    const bool paced = worker.paceReduced || worker.pace.percent() < 100;
    run.comparable = !(spec.usesIdleCpu && paced);
    run.percent = row.percent;
    run.tailLatencyMs = row.tailLatencyMs;
    return run;
}

void controller::logInterference()
{
    for (const auto &change : interference_.takeChanges()) {
        const auto &evidence = change.evidence;
        logEvent(change.found ? "interference.found" : "interference.ended",
                 {{"slowed_queue", change.slowed.queue},
                  {"slowed_step", change.slowed.step},
                  {"beside_queue", change.neighbour.queue},
                  {"beside_step", change.neighbour.step},
                  {"slowdown", evidence.slowdown},
                  {"error", evidence.error},
                  {"arrivals", evidence.arrivals},
                  {"departures", evidence.departures},
                  {"workers", evidence.workers}});
    }
}

} // namespace persimmon::batch
