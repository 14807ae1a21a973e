#include "batch/report_router.h"

#include "base/event_log.h"
#include "report_codec.h"

#include <algorithm>

namespace persimmon::batch {

namespace {

struct pending_batch
{
    detail::batch_answers answers;
    std::size_t unanswered = 0; // reports without an answer
};

detail::batch_answer answerOf(const result<worker_orders> &outcome)
{
    if (failed(outcome))
        return {errorOf(outcome).code, errorOf(outcome).detail, {}};
    return {result_code::Ok, {}, valueOf(outcome)};
}

} // namespace

report_router::report_router(router_options options, controller &workers, timer_service &timers,
                             send_function send, peers_function peers)
    : options_(std::move(options))
    , workers_(workers)
    , timers_(timers)
    , send_(std::move(send))
    , peers_(std::move(peers))
{
}

report_router::~report_router()
{
    timers_.cancel(flushTimer_);
}

void report_router::take(time_point now, std::int64_t wallMs, const worker_report &report,
                         const completion &done)
{
    workers_.heartbeat(now, wallMs, report,
                       [this, id = report.id, done](const result<worker_orders> &outcome) {
                           if (failed(outcome))
                               return done(errorOf(outcome));
                           done(routed_orders {valueOf(outcome), reportAddressFor(id)});
                       });
}

// Distributes the workers of a large fleet over the other nodes. The assignment is stable as long
// as the set of nodes doesn't change.
std::string report_router::reportAddressFor(const std::string &worker) const
{
    if (workers_.workerCount() <= options_.directWorkers)
        return options_.address;
    auto peers = peers_();
    if (peers.empty())
        return options_.address;
    std::ranges::sort(peers);
    return peers[std::hash<std::string> {}(worker) % peers.size()];
}

void report_router::takeBatch(time_point now, std::int64_t wallMs, const std::string &batch,
                              const batch_completion &done)
{
    if (!workers_.leading())
        return done(error {result_code::NotLeader, "this node is not the leader", {}, {}});
    const auto decoded = detail::decodeReports(batch);
    if (failed(decoded))
        return done(errorOf(decoded));
    const auto &reports = valueOf(decoded);
    auto progress = std::make_shared<pending_batch>();
    progress->answers.leaderAddress = options_.address;
    progress->answers.answers.resize(reports.size());
    progress->unanswered = reports.size();
    const auto finish = [this, progress, done] {
        progress->answers.stayWithForwarder = workers_.workerCount() > options_.directWorkers;
        done(detail::encodeAnswers(progress->answers));
    };
    if (reports.empty())
        return finish();
    for (std::size_t i = 0; i < reports.size(); ++i) {
        workers_.heartbeat(now, wallMs, reports[i],
                           [progress, i, finish](const result<worker_orders> &outcome) {
                               progress->answers.answers[i] = answerOf(outcome);
                               if (--progress->unanswered == 0)
                                   finish();
                           });
    }
}

void report_router::pass(worker_report report, completion done)
{
    pending_.push_back({std::move(report), std::move(done)});
    if (pending_.size() >= options_.batchSize)
        return flush();
    if (pending_.size() == 1)
        flushTimer_ = timers_.after(options_.batchDelay, [this](time_point) { flush(); });
}

void report_router::flush()
{
    timers_.cancel(flushTimer_);
    std::vector<worker_report> reports;
    std::vector<completion> completions;
    for (auto &pending : pending_) {
        reports.push_back(std::move(pending.report));
        completions.push_back(std::move(pending.done));
    }
    pending_.clear();
    send_(detail::encodeReports(reports),
          [completions = std::move(completions),
           address = options_.address](const result<std::string> &answer) {
              const auto failAll = [&completions](const error &reason) {
                  for (const auto &done : completions)
                      done(reason);
              };
              if (failed(answer))
                  return failAll(errorOf(answer));
              const auto decoded = detail::decodeAnswers(valueOf(answer));
              if (failed(decoded))
                  return failAll(errorOf(decoded));
              const auto &[leaderAddress, stayWithForwarder, answers] = valueOf(decoded);
              if (answers.size() != completions.size()) {
                  logEvent("reports.miscounted",
                           {{"sent", completions.size()}, {"answered", answers.size()}});
                  return failAll({result_code::Internal,
                                  "number of answers differs from number of reports",
                                  {},
                                  {}});
              }
              for (std::size_t i = 0; i < answers.size(); ++i) {
                  const auto &item = answers[i];
                  if (item.code != result_code::Ok)
                      completions[i](error {item.code, item.detail, {}, {}});
                  else
                      completions[i](routed_orders {item.orders,
                                                    stayWithForwarder ? address : leaderAddress});
              }
          });
}

} // namespace persimmon::batch
