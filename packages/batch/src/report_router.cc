#include "batch/report_router.h"

#include "base/event_log.h"
#include "report_codec.h"

#include <algorithm>

namespace persimmon::batch {

namespace {

// Time over which workers are told to spread their next heartbeats if all held answers are sent.
constexpr milliseconds releaseSpread {300};

// A worker is sent to the node in its zone at most once in this time.
constexpr milliseconds redirectPause {15000};

// Number of workers of which the router remembers something without looking for gone ones.
constexpr std::size_t minTrackedWorkers = 64;

struct pending_batch
{
    detail::batch_answers answers;
    std::size_t unanswered = 0; // reports without an answer
};

heartbeat_key keyOf(const worker_report &report)
{
    return {report.id, report.incarnation, report.sequence};
}

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
    , held_(timers)
    , feed_(timers)
{
    workers_.onOrdersReady([this](const std::string &worker, worker_orders orders) {
        releaseFor(worker, std::move(orders));
    });
}

report_router::~report_router()
{
    timers_.cancel(flushTimer_);
}

void report_router::handleReport(time_point now, std::int64_t wallMs, const worker_report &report,
                                 const completion &done)
{
    const auto answer = [this, key = keyOf(report), zone = report.zone, done,
                         received = timers_.now()](const result<worker_orders> &outcome) {
        if (failed(outcome))
            return done(errorOf(outcome));
        const auto &orders = valueOf(outcome);
        routed_orders routed {orders, reportAddressFor(key.worker, zone)};
        holders_.erase(key.worker);
        if (orders.holdMs == 0) {
            observeAnswer_(timers_.now() - received);
            return done(std::move(routed));
        }
        held_.hold(key, std::move(routed), milliseconds {orders.holdMs}, done);
    };
    workers_.heartbeat(now, wallMs, report, answer,
                       mayHold_ ? answer_mode::MayBeHeld : answer_mode::Immediate);
}

std::vector<std::string> report_router::nodesIn(const std::string &zone) const
{
    auto nodes = peers_();
    std::erase_if(nodes, [&](const std::string &node) {
        const auto known = zones_.find(node);
        return known == zones_.end() || known->second != zone;
    });
    std::ranges::sort(nodes);
    return nodes;
}

// Distributes the workers of a large fleet over the other nodes of their zone, or over all other
// nodes if none of them is known to be in that zone. The assignment is stable as long as the set of
// nodes doesn't change.
std::string report_router::reportAddressFor(const std::string &worker,
                                            const std::string &zone) const
{
    if (workers_.workerCount() <= options_.maxDirectWorkers)
        return options_.address;
    auto nodes = nodesIn(zone);
    if (nodes.empty()) {
        nodes = peers_();
        std::ranges::sort(nodes);
    }
    if (nodes.empty())
        return options_.address;
    return nodes[std::hash<std::string> {}(worker) % nodes.size()];
}

// Returns the node in the zone of a worker that reports to a node of another zone, or nothing if it
// should stay. A worker that came back is not sent again for a while: it may not reach that node.
std::string report_router::redirect(time_point now, const worker_report &report,
                                    const std::string &zone)
{
    if (workers_.workerCount() <= options_.maxDirectWorkers || report.zone == zone)
        return {};
    const auto earlier = redirected_.find(report.id);
    if (earlier != redirected_.end() && now < earlier->second + redirectPause)
        return {};
    const auto nodes = nodesIn(report.zone);
    if (nodes.empty())
        return {};
    redirected_[report.id] = now;
    return nodes[std::hash<std::string> {}(report.id) % nodes.size()];
}

void report_router::handleBatch(time_point now, std::int64_t wallMs, const std::string &batch,
                                const batch_completion &done)
{
    if (!workers_.isLeading())
        return done(error {result_code::NotLeader, "this node is not the leader", {}, {}});
    const auto decoded = detail::decodeReports(batch);
    if (failed(decoded))
        return done(errorOf(decoded));
    const auto &[reports, forwarder, forwarderZone] = valueOf(decoded);
    if (!forwarder.empty())
        zones_[forwarder] = forwarderZone;
    auto progress = std::make_shared<pending_batch>();
    progress->answers.leaderAddress = options_.address;
    progress->answers.acceptsPolls = true;
    if (reports.empty() && !forwarder.empty()) {
        return feed_.poll(forwarder, [progress, done](auto orders) {
            if (failed(orders))
                return done(errorOf(orders));
            progress->answers.released = std::move(valueOf(orders));
            done(detail::encodeAnswers(progress->answers));
        });
    }
    progress->answers.answers.resize(reports.size());
    progress->answers.holdMs.resize(reports.size());
    progress->answers.addresses.resize(reports.size());
    progress->unanswered = reports.size();
    const auto finish = [this, progress, done] {
        progress->answers.stayWithForwarder = workers_.workerCount() > options_.maxDirectWorkers;
        done(detail::encodeAnswers(progress->answers));
    };
    if (reports.empty())
        return finish();
    const auto mode = modeFor(forwarder);
    if (!forwarderZone.empty()) {
        for (std::size_t i = 0; i < reports.size(); ++i)
            progress->answers.addresses[i] = redirect(now, reports[i], forwarderZone);
    }
    pruneWorkers();
    for (std::size_t i = 0; i < reports.size(); ++i) {
        const auto answer = [this, progress, i, finish, key = keyOf(reports[i]),
                             node = forwarder](const result<worker_orders> &outcome) {
            progress->answers.answers[i] = answerOf(outcome);
            holders_.erase(key.worker);
            if (!failed(outcome) && valueOf(outcome).holdMs > 0) {
                progress->answers.holdMs[i] = valueOf(outcome).holdMs;
                holders_[key.worker] = {key, node};
            }
            if (--progress->unanswered == 0)
                finish();
        };
        workers_.heartbeat(now, wallMs, reports[i], answer, mode);
    }
}

// Forgets workers that no longer report. Entries that are still needed are made again.
void report_router::pruneWorkers()
{
    const auto limit = 2 * workers_.workerCount() + minTrackedWorkers;
    if (holders_.size() > limit)
        holders_.clear();
    if (redirected_.size() > limit)
        redirected_.clear();
}

answer_mode report_router::modeFor(const std::string &forwarder) const
{
    return !forwarder.empty() && feed_.isPolling(forwarder) ? answer_mode::MayBeHeld
                                                            : answer_mode::Immediate;
}

// Sends the orders to the node that holds the answer to the worker. If the answer is no longer held
// there, the orders are repeated in the answer to the next heartbeat.
void report_router::releaseFor(const std::string &worker, worker_orders orders)
{
    const auto found = holders_.find(worker);
    if (found == holders_.end()) {
        held_.releaseNewest(worker, std::move(orders));
        return;
    }
    feed_.push(found->second.node, {found->second.heartbeat, std::move(orders)});
    holders_.erase(found);
}

void report_router::handleLeadershipChange()
{
    holders_.clear();
    zones_.clear();
    redirected_.clear();
    feed_.reset();
    held_.releaseAll(releaseSpread);
}

void report_router::stopHolding()
{
    mayHold_ = false;
    held_.releaseAll(milliseconds {0});
}

void report_router::forward(worker_report report, completion done)
{
    pending_.push_back({std::move(report), std::move(done), timers_.now()});
    if (pending_.size() >= options_.batchSize)
        return flush();
    if (pending_.size() == 1)
        flushTimer_ = timers_.after(options_.batchDelay, [this](time_point) { flush(); });
}

void report_router::flush()
{
    timers_.cancel(flushTimer_);
    detail::report_batch batch;
    if (mayHold_)
        batch.forwarder = options_.address;
    batch.zone = options_.zone;
    auto sent = std::exchange(pending_, {});
    for (const auto &pending : sent)
        batch.reports.push_back(pending.report);
    send_(detail::encodeReports(batch),
          [this, sent = std::move(sent),
           alive = std::weak_ptr<int>(alive_)](const result<std::string> &answer) mutable {
              if (alive.expired())
                  return;
              if (!failed(answer))
                  return deliver(valueOf(answer), sent);
              for (const auto &item : sent)
                  item.done(errorOf(answer));
          });
}

void report_router::deliver(const std::string &answer, std::vector<pending_report> &reports)
{
    const auto failAll = [&reports](const error &reason) {
        for (const auto &item : reports)
            item.done(reason);
    };
    const auto decoded = detail::decodeAnswers(answer);
    if (failed(decoded))
        return failAll(errorOf(decoded));
    const auto &batch = valueOf(decoded);
    if (batch.answers.size() != reports.size()) {
        logEvent("reports.miscounted",
                 {{"sent", reports.size()}, {"answered", batch.answers.size()}});
        return failAll({result_code::Internal,
                        "number of answers differs from number of reports",
                        {},
                        {}});
    }
    const auto &usual = batch.stayWithForwarder ? options_.address : batch.leaderAddress;
    for (std::size_t i = 0; i < reports.size(); ++i) {
        const auto &item = batch.answers[i];
        if (item.code != result_code::Ok) {
            reports[i].done(error {item.code, item.detail, {}, {}});
            continue;
        }
        const bool moved = i < batch.addresses.size() && !batch.addresses[i].empty();
        const auto &address = moved ? batch.addresses[i] : usual;
        const auto hold = i < batch.holdMs.size() && mayHold_ ? batch.holdMs[i] : 0;
        routed_orders routed {item.orders, address};
        if (hold == 0) {
            observeAnswer_(timers_.now() - reports[i].received);
            reports[i].done(std::move(routed));
            continue;
        }
        held_.hold(keyOf(reports[i].report), std::move(routed), milliseconds {hold},
                   std::move(reports[i].done));
    }
    if (batch.acceptsPolls && !pollInFlight_ && mayHold_) {
        polledLeader_ = batch.leaderAddress;
        poll();
    }
}

// Asks the leader for orders for the answers that this node holds.
void report_router::poll()
{
    pollInFlight_ = true;
    send_(detail::encodeReports({{}, options_.address, options_.zone}),
          [this, alive = std::weak_ptr<int>(alive_)](const result<std::string> &answer) {
              if (!alive.expired())
                  finishPoll(answer);
          });
}

// Held answers are sent if the leader can't be reached or another node has become the leader,
// because the new leader needs the reports of all workers.
void report_router::finishPoll(const result<std::string> &answer)
{
    pollInFlight_ = false;
    const auto decoded = failed(answer) ? result<detail::batch_answers> {errorOf(answer)}
                                        : detail::decodeAnswers(valueOf(answer));
    if (failed(decoded) || !valueOf(decoded).acceptsPolls
        || valueOf(decoded).leaderAddress != polledLeader_)
        return held_.releaseAll(releaseSpread);
    for (const auto &item : valueOf(decoded).released)
        held_.release(item.heartbeat, item.orders);
    if (mayHold_)
        poll();
}

} // namespace persimmon::batch
