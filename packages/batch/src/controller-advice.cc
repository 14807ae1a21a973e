#include "base/event_log.h"
#include "batch/controller.h"

#include <algorithm>

namespace persimmon::batch {

namespace {

// A ticket is used up to this time before it expires, so that the order arrives in time.
constexpr milliseconds ticketMargin {700};

// Pause after a question that failed.
constexpr milliseconds askPause {300};

} // namespace

// Asks for the first step that waits for advice. Orders of runs that are placed already come first.
void controller::askAdvice(time_point now, std::vector<advice_want> wants)
{
    if (!ask_ || asking_ || now < nextAsk_)
        return;
    for (const auto &[step, worker] : missingTickets_)
        wants.insert(wants.begin(), {step, {worker}});
    missingTickets_.clear();
    for (const auto &want : wants) {
        const auto *job = state_.findJob(want.step.job);
        if (job == nullptr || job->ended())
            continue;
        std::vector<advised_worker> asked;
        for (const auto &id : want.workers) {
            const auto known = workers_.find(id);
            if (known != workers_.end()
                && !advice_.isKnown(want.step, id, known->second.report.born, now))
                asked.push_back({id, known->second.report.born});
        }
        if (!asked.empty())
            return ask(now, want.step, asked, milliseconds {job->source.adviceValidMs});
    }
}

void controller::ask(time_point now, const step_key &step, const std::vector<advised_worker> &asked,
                     milliseconds valid)
{
    asking_ = true;
    std::vector<std::string> ids;
    ids.reserve(asked.size());
    for (const auto &worker : asked)
        ids.push_back(worker.id);
    const auto until = now + std::max(valid - ticketMargin, milliseconds {0});
    ask_(step, ids,
         [this, step, asked, until, now,
          alive = std::weak_ptr<int>(alive_)](const result<std::vector<ticket>> &answer) {
             if (alive.expired())
                 return;
             asking_ = false;
             dirty_ = true;
             const auto outcome = failed(answer) ? errorOf(answer).detail
                                                 : std::to_string(valueOf(answer).size());
             logEvent("advice.answer",
                      {{"job", step.job},
                       {"step", step.step},
                       {"asked", asked.size()},
                       {"outcome", outcome}});
             if (failed(answer))
                 nextAsk_ = now + askPause;
             else
                 advice_.store(step, asked, valueOf(answer), until);
         });
}

} // namespace persimmon::batch
