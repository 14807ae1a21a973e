#include "batch/controller.h"

#include <algorithm>
#include <utility>

// Lost workers: what ends their runs, and what is recorded of it.
namespace persimmon::batch {

namespace {

template <typename Runs>
std::size_t countUnreported(const std::vector<assignment> &runs, const Runs &reported)
{
    return static_cast<std::size_t>(std::ranges::count_if(runs, [&](const assignment &run) {
        const auto found = reported.find(run.task);
        return found == reported.end() || found->second.run != run.run;
    }));
}

} // namespace

// Describes the loss of a worker. Nothing is known of a worker that has not reported in this term.
worker_loss controller::lossOf(const std::string &worker, std::vector<assignment> runs) const
{
    worker_loss loss;
    loss.worker = worker;
    loss.incarnation = runs.front().incarnation;
    loss.lastHeartbeat = termStart_;
    loss.runs = std::move(runs);
    const auto found = workers_.find(worker);
    if (found == workers_.end())
        return loss;
    const auto &state = found->second;
    if (state.report.incarnation > loss.incarnation) {
        loss.evidence = loss_evidence::Restarted;
        if (state.earlier) {
            loss.lastHeartbeat = state.earlier->lastHeartbeat;
            loss.unreportedRuns = countUnreported(loss.runs, state.earlier->runs);
            if (state.earlier->leaving)
                loss.evidence = loss_evidence::Left;
        }
        return loss;
    }
    loss.lastHeartbeat = state.lastHeartbeat;
    loss.unreportedRuns = countUnreported(loss.runs, state.runs);
    if (state.report.draining || (state.leftAt && !state.replaced))
        loss.evidence = loss_evidence::Left;
    else if (state.replaced)
        loss.evidence = loss_evidence::Replaced;
    return loss;
}

// A newer incarnation knows nothing of the runs of an earlier one.
void controller::endRunsOfEarlierIncarnation(const worker_state &worker, time_point now,
                                             std::vector<run_end> &ends) const
{
    std::vector<assignment> lost;
    for (const auto &[task, run] : state_.runsOn(worker.report.id)) {
        if (run.incarnation >= worker.report.incarnation)
            continue;
        ends.push_back({task, run.run, end_kind::Lost, {}});
        lost.push_back(run);
    }
    if (!lost.empty())
        logLoss(lossOf(worker.report.id, std::move(lost)), now);
}

} // namespace persimmon::batch
