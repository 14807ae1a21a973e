#include "base/event_log.h"
#include "batch/controller.h"

#include <algorithm>

namespace persimmon::batch {

namespace {

// A ticket is no longer used when less than this time remains until it expires, so that the start
// order arrives in time.
constexpr milliseconds ticketMargin {700};

// Pause after a failed request.
constexpr milliseconds adviceRetryDelay {300};

} // namespace

// Requests advice for the first step that needs it. Placed runs whose ticket is missing come first.
void controller::requestMissingAdvice(time_point now, std::vector<advice_request> requests)
{
    if (!requestAdvice_ || adviceRequestInFlight_ || now < nextAdviceRequest_)
        return;
    for (const auto &[step, worker] : missingTickets_)
        requests.insert(requests.begin(), {step, {worker}});
    missingTickets_.clear();
    for (const auto &request : requests) {
        const auto *job = state_.findJob(request.step.job);
        if (job == nullptr || job->ended())
            continue;
        std::vector<worker_incarnation> asked;
        for (const auto &id : request.workers) {
            const auto found = workers_.find(id);
            if (found != workers_.end()
                && !advice_.isKnown(request.step, id, found->second.report.born, now))
                asked.push_back({id, found->second.report.born});
        }
        if (!asked.empty())
            return sendAdviceRequest(now, request.step, asked,
                                     milliseconds {job->source.adviceValidMs});
    }
}

void controller::sendAdviceRequest(time_point now, const step_key &step,
                                   const std::vector<worker_incarnation> &asked, milliseconds valid)
{
    adviceRequestInFlight_ = true;
    std::vector<std::string> ids;
    ids.reserve(asked.size());
    for (const auto &worker : asked)
        ids.push_back(worker.id);
    const auto until = now + std::max(valid - ticketMargin, milliseconds {0});
    requestAdvice_(step, ids,
                   [this, step, asked, until, now,
                    alive = std::weak_ptr<int>(alive_)](const result<std::vector<ticket>> &answer) {
                       if (alive.expired())
                           return;
                       adviceRequestInFlight_ = false;
                       passRequested_ = true;
                       const auto outcome = failed(answer) ? errorOf(answer).detail
                                                           : std::to_string(valueOf(answer).size());
                       logEvent("advice.answer",
                                {{"job", step.job},
                                 {"step", step.step},
                                 {"asked", asked.size()},
                                 {"outcome", outcome}});
                       if (failed(answer))
                           nextAdviceRequest_ = now + adviceRetryDelay;
                       else
                           advice_.store(step, asked, valueOf(answer), until);
                   });
}

} // namespace persimmon::batch
