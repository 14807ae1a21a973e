#include "sync_state.h"

#include <algorithm>
#include <utility>

namespace persimmon::entry {

namespace {

// Smaller changes of a task's usage are not reported to the leader.
constexpr std::uint32_t minUsageChangePercent = 10;

// Upstreams without an announcement for this time are removed: they have moved to another entry.
constexpr milliseconds localRetention {60000};

bool isSignificantChange(const task_report &before, const task_report &now)
{
    const auto low = std::min(before.usagePercent, now.usagePercent);
    const auto high = std::max(before.usagePercent, now.usagePercent);
    return before.state != now.state || before.result != now.result
            || high - low >= minUsageChangePercent;
}

} // namespace

sync_state::sync_state(sync_identity identity)
    : identity_(std::move(identity))
{
}

result<announce_outcome> sync_state::announce(time_point now, const announcement &announced,
                                              std::vector<task_report> reports)
{
    auto &local = localUpstreams_[announced.id];
    if (announced.incarnation < local.last.incarnation)
        return error {result_code::InvalidValue,
                      "a later incarnation has announced itself",
                      "incarnation",
                      {}};
    auto current = announced;
    // Leaving is final for an incarnation, even if an older announcement arrives late.
    if (local.last.incarnation == announced.incarnation
        && local.last.state == upstream_state::Leaving)
        current.state = upstream_state::Leaving;
    const bool changed = !(local.last == current);
    if (local.last.incarnation != current.incarnation)
        local.reports.clear();
    local.lastAnnouncedAt = now;
    local.last = current;
    if (changed)
        local.leaderAcknowledged = false;

    announce_outcome outcome;
    const auto inView = viewUpstreams_.find(current.id);
    const bool inLeaderView
            = inView != viewUpstreams_.end() && inView->second == current.incarnation;
    if (local.leaderAcknowledged && inLeaderView) {
        nextCall_.alive.insert(current.id);
    } else {
        outcome.urgent = true;
        outcome.ticket = static_cast<announce_ticket>(++lastTicket_);
        auto &pending = nextCall_.announcements[current.id];
        pending.announced = current;
        pending.tickets.push_back(*outcome.ticket);
    }
    outcome.urgent = mergeReports(local, std::move(reports)) || outcome.urgent;
    urgent_ = urgent_ || outcome.urgent;
    return outcome;
}

// Adds reports with significant changes to the next call. Returns whether a task is new or has
// changed its state.
bool sync_state::mergeReports(local_upstream &target, std::vector<task_report> reports)
{
    bool urgent = false;
    report_map current;
    for (auto &report : reports) {
        const auto before = target.reports.find(report.task);
        const bool isNew = before == target.reports.end();
        if (isNew || isSignificantChange(before->second, report)) {
            urgent = urgent || isNew || before->second.state != report.state;
            nextCall_.reports.insert_or_assign(report.task, report);
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
    for (const auto &[id, pending] : nextCall_.announcements)
        request.announcements.push_back(pending.announced);
    request.alive.assign(nextCall_.alive.begin(), nextCall_.alive.end());
    for (const auto &[task, report] : nextCall_.reports)
        request.reports.push_back(report);
    nextCall_.sentAt = now;
    const auto call = static_cast<sync_call_id>(++lastCall_);
    openCalls_.emplace(call, std::exchange(nextCall_, {}));
    urgent_ = false;
    return {call, std::move(request)};
}

sync_effects sync_state::complete(time_point /*now*/, sync_call_id call,
                                  const result<sync_response> &answer)
{
    sync_effects effects;
    auto node = openCalls_.extract(call);
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
    // A new leader has no state of upstreams and tasks and needs all announcements and reports
    // again.
    if (value.viewEpoch > highestEpoch_)
        resetAcknowledged();
    markAcknowledged(sent);
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
    const bool sameEpoch = answer.viewEpoch == viewEpoch_;
    if (!sameEpoch && !answer.fullView) {
        viewEpoch_ = 0; // requests the full view
        viewSequence_ = 0;
        return;
    }
    // Two calls may be in flight at once, so an answer with older state may arrive last.
    if (sameEpoch && answer.viewSequence < viewSequence_)
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
    // The leader treats a later view sequence as confirmation that these shares are in force.
    if (answer.hasShares)
        effects.shares = answer.shares;
    effects.viewChanged = answer.fullView || !answer.upstreams.empty();
    effects.fullView = answer.fullView;
    effects.upstreams = answer.upstreams;
}

// Returns the content of a failed call to the next call, except what newer content has replaced.
void sync_state::restore(call_content failedCall)
{
    for (auto &[id, pending] : failedCall.announcements) {
        const auto local = localUpstreams_.find(id);
        if (local != localUpstreams_.end())
            pending.announced = local->second.last;
        const auto [position, added] = nextCall_.announcements.try_emplace(id, pending);
        if (!added) {
            auto &tickets = position->second.tickets;
            tickets.insert(tickets.end(), pending.tickets.begin(), pending.tickets.end());
        }
        urgent_ = true;
    }
    nextCall_.alive.merge(failedCall.alive);
    for (auto &[task, report] : failedCall.reports) {
        const auto local = localUpstreams_.find(report.upstream);
        if (local == localUpstreams_.end())
            continue;
        const auto last = local->second.reports.find(task);
        if (last != local->second.reports.end() && last->second == report) {
            nextCall_.reports.try_emplace(task, report);
            urgent_ = true;
        }
    }
}

void sync_state::markAcknowledged(const call_content &sent)
{
    for (const auto &[id, pending] : sent.announcements) {
        const auto found = localUpstreams_.find(id);
        if (found != localUpstreams_.end() && found->second.last == pending.announced)
            found->second.leaderAcknowledged = true;
    }
}

void sync_state::resetAcknowledged()
{
    for (auto &[id, local] : localUpstreams_) {
        local.leaderAcknowledged = false;
        local.reports.clear();
    }
}

void sync_state::pruneLocal(time_point now)
{
    std::erase_if(localUpstreams_, [now](const auto &local) {
        return local.second.lastAnnouncedAt + localRetention < now;
    });
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
