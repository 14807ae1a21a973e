#include "sync_state.h"

#include <algorithm>
#include <utility>

namespace persimmon::entry {

namespace {

// A smaller change of a task's usage is not worth a message to the leader.
constexpr std::uint32_t usageStep = 10;

// An upstream that has moved to another entry is forgotten after this time.
constexpr milliseconds localRetention {60000};

bool worthTelling(const task_report &before, const task_report &now)
{
    const auto low = std::min(before.usagePercent, now.usagePercent);
    const auto high = std::max(before.usagePercent, now.usagePercent);
    return before.state != now.state || before.result != now.result || high - low >= usageStep;
}

} // namespace

sync_state::sync_state(sync_identity identity)
    : identity_(std::move(identity))
{
}

result<announce_outcome> sync_state::announce(time_point now, const announcement &news,
                                              std::vector<task_report> reports)
{
    auto &known = local_[news.id];
    if (news.incarnation < known.last.incarnation)
        return error {result_code::InvalidValue,
                      "a later incarnation has announced itself",
                      "incarnation",
                      {}};
    auto current = news;
    // Leaving is final for an incarnation, even when an older message arrives late.
    if (known.last.incarnation == news.incarnation && known.last.state == upstream_state::Leaving)
        current.state = upstream_state::Leaving;
    const bool changed = !(known.last == current);
    if (known.last.incarnation != current.incarnation)
        known.reports.clear();
    known.seenAt = now;
    known.last = current;
    if (changed)
        known.toldLeader = false;

    announce_outcome outcome;
    const auto inView = viewUpstreams_.find(current.id);
    const bool seenByLeader
            = inView != viewUpstreams_.end() && inView->second == current.incarnation;
    if (known.toldLeader && seenByLeader) {
        next_.alive.insert(current.id);
    } else {
        outcome.urgent = true;
        outcome.ticket = static_cast<announce_ticket>(++lastTicket_);
        auto &pending = next_.announcements[current.id];
        pending.news = current;
        pending.tickets.push_back(*outcome.ticket);
    }
    outcome.urgent = foldReports(known, std::move(reports)) || outcome.urgent;
    urgent_ = urgent_ || outcome.urgent;
    return outcome;
}

// Keeps the reports that tell the leader something new; returns whether a task changed its state.
bool sync_state::foldReports(local_upstream &target, std::vector<task_report> reports)
{
    bool urgent = false;
    report_map current;
    for (auto &report : reports) {
        const auto before = target.reports.find(report.task);
        const bool isNew = before == target.reports.end();
        if (isNew || worthTelling(before->second, report)) {
            urgent = urgent || isNew || before->second.state != report.state;
            next_.reports.insert_or_assign(report.task, report);
            current.insert_or_assign(report.task, std::move(report));
        } else {
            current.insert_or_assign(report.task, before->second);
        }
    }
    target.reports = std::move(current);
    return urgent;
}

std::pair<sync_call_id, sync_request> sync_state::begin(time_point now, milliseconds wait)
{
    pruneLocal(now);
    sync_request request;
    request.entryId = identity_.entryId;
    request.entryIncarnation = identity_.incarnation;
    request.httpAddress = identity_.httpAddress;
    request.place = identity_.place;
    request.appliedVersion = appliedVersion;
    request.viewEpoch = viewEpoch_;
    request.viewSequence = viewSequence_;
    request.demand = demand;
    request.stopping = stopping;
    request.wait = wait;
    for (const auto &[id, pending] : next_.announcements)
        request.announcements.push_back(pending.news);
    request.alive.assign(next_.alive.begin(), next_.alive.end());
    for (const auto &[task, report] : next_.reports)
        request.reports.push_back(report);
    next_.sentAt = now;
    const auto call = static_cast<sync_call_id>(++lastCall_);
    calls_.emplace(call, std::exchange(next_, {}));
    urgent_ = false;
    return {call, std::move(request)};
}

sync_effects sync_state::complete(time_point /*now*/, sync_call_id call,
                                  const result<sync_response> &answer)
{
    sync_effects effects;
    auto node = calls_.extract(call);
    if (node.empty()) {
        effects.outdated = true;
        return effects;
    }
    auto &sent = node.mapped();
    if (failed(answer) || valueOf(answer).failure.code != result_code::Ok) {
        effects.failure = failed(answer) ? errorOf(answer) : valueOf(answer).failure;
        restore(std::move(sent));
        return effects;
    }
    const auto &value = valueOf(answer);
    if (value.viewEpoch < highestEpoch_) {
        effects.outdated = true;
        restore(std::move(sent));
        return effects;
    }
    // A new leader knows nothing about upstreams and tasks until it is told in full.
    if (value.viewEpoch > highestEpoch_)
        forgetTold();
    markTold(sent);
    highestEpoch_ = value.viewEpoch;
    for (const auto &[id, pending] : sent.announcements)
        effects.acknowledged.insert(effects.acknowledged.end(), pending.tickets.begin(),
                                    pending.tickets.end());
    effects.leaseUntil = sent.sentAt + value.lease;
    if (value.hasTables)
        effects.newTables = value.newTables;
    effects.drain = value.drain;
    applyView(value, effects);
    return effects;
}

void sync_state::applyView(const sync_response &answer, sync_effects &effects)
{
    const bool continues = answer.viewEpoch == viewEpoch_;
    if (!continues && !answer.fullView) {
        viewEpoch_ = 0; // asks for the full view
        viewSequence_ = 0;
        return;
    }
    // Two calls may be open at once; the answer with the older state may come last.
    if (continues && answer.viewSequence < viewSequence_)
        return;
    viewEpoch_ = answer.viewEpoch;
    viewSequence_ = answer.viewSequence;
    if (answer.fullView) {
        viewUpstreams_.clear();
        orders_.clear();
    }
    for (const auto &upstream : answer.upstreams) {
        if (upstream.state == upstream_state::Gone)
            viewUpstreams_.erase(upstream.id);
        else
            viewUpstreams_[upstream.id] = upstream.incarnation;
    }
    for (const auto &item : answer.orders)
        orders_[item.upstream] = item.orders;
    // The leader takes a later view sequence as the proof that these shares are in force.
    if (answer.hasShares)
        effects.shares = answer.shares;
    effects.viewChanged = answer.fullView || !answer.upstreams.empty();
    effects.fullView = answer.fullView;
    effects.upstreams = answer.upstreams;
}

// Puts the content of a failed call back. What a later message has replaced is not told again.
void sync_state::restore(batch lost)
{
    for (auto &[id, pending] : lost.announcements) {
        const auto known = local_.find(id);
        if (known != local_.end())
            pending.news = known->second.last;
        const auto [place, added] = next_.announcements.try_emplace(id, pending);
        if (!added) {
            auto &tickets = place->second.tickets;
            tickets.insert(tickets.end(), pending.tickets.begin(), pending.tickets.end());
        }
        urgent_ = true;
    }
    next_.alive.merge(lost.alive);
    for (auto &[task, report] : lost.reports) {
        const auto known = local_.find(report.upstream);
        if (known == local_.end())
            continue;
        const auto last = known->second.reports.find(task);
        if (last != known->second.reports.end() && last->second == report) {
            next_.reports.try_emplace(task, report);
            urgent_ = true;
        }
    }
}

void sync_state::markTold(const batch &sent)
{
    for (const auto &[id, pending] : sent.announcements) {
        const auto found = local_.find(id);
        if (found != local_.end() && found->second.last == pending.news)
            found->second.toldLeader = true;
    }
}

void sync_state::forgetTold()
{
    for (auto &[id, known] : local_) {
        known.toldLeader = false;
        known.reports.clear();
    }
}

void sync_state::pruneLocal(time_point now)
{
    std::erase_if(local_,
                  [now](const auto &known) { return known.second.seenAt + localRetention < now; });
}

std::optional<std::vector<task_order>> sync_state::ordersOf(const std::string &upstream,
                                                            std::uint64_t incarnation) const
{
    const auto seen = viewUpstreams_.find(upstream);
    if (seen == viewUpstreams_.end() || seen->second != incarnation)
        return std::nullopt;
    const auto found = orders_.find(upstream);
    return found == orders_.end() ? std::vector<task_order> {} : found->second;
}

} // namespace persimmon::entry
