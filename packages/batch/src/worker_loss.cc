#include "batch/worker_loss.h"

#include "base/event_log.h"
#include "controller-detail.h"

#include <array>

namespace persimmon::batch {

std::string_view toName(loss_evidence evidence)
{
    static constexpr std::array<std::string_view, 4> names {"silent", "restarted", "replaced",
                                                            "left"};
    return names.at(static_cast<std::size_t>(evidence));
}

std::set<std::string> worker_loss::jobs() const
{
    std::set<std::string> ids;
    for (const auto &run : runs)
        ids.insert(run.task.job);
    return ids;
}

void logLoss(const worker_loss &loss, time_point now)
{
    const auto silentMs = detail::millisecondsOf(now - loss.lastHeartbeat);
    logEvent("worker.lost",
             {{"worker", loss.worker},
              {"born", loss.incarnation},
              {"evidence", toName(loss.evidence)},
              {"silent_ms", silentMs},
              {"runs", loss.runs.size()},
              {"jobs", loss.jobs().size()},
              {"unreported", loss.unreportedRuns}});
    for (const auto &run : loss.runs)
        logEvent("task.ended",
                 {{"job", run.task.job},
                  {"task", detail::nameOf(run.task)},
                  {"run", run.run},
                  {"worker", loss.worker},
                  {"how", loss.evidence == loss_evidence::Silent ? "lapsed" : "lost"},
                  {"silent_ms", silentMs},
                  {"outcome", "inferred"}});
}

} // namespace persimmon::batch
