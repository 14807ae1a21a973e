#include "request_core.h"

#include "filters.h"

#include <algorithm>

namespace persimmon::entry {

namespace {

constexpr std::size_t indexOf(chain_position position)
{
    return static_cast<std::size_t>(position);
}

// A computed capacity is reused up to this age; it is used for estimates only.
constexpr milliseconds maxCapacityAge {100};

// Weight of one sample in the moving average of service times.
constexpr double serviceTimeSmoothing = 1.0 / 16;

attempt_health healthOf(const attempt_report &report)
{
    const bool gatewayError = report.status >= 502 && report.status <= 504;
    if (report.end == attempt_end::Answered)
        return gatewayError ? attempt_health::Bad : attempt_health::Good;
    return report.end == attempt_end::TooLarge ? attempt_health::Neutral : attempt_health::Bad;
}

} // namespace

request_core::request_core(const core_options &options)
    : options_(options)
    , random_(options.seed)
    , budget_(options.retryPercent)
{
}

actions request_core::requestReceived(time_point now, request_info info)
{
    now_ = now;
    ++requestCount_;
    budget_.onRequest();
    const auto id = info.id;
    auto &request = requests_[id];
    request.info = std::move(info);
    request.receivedAt = now;
    runFilters(indexOf(chain_position::Readiness), request);
    dispatchQueued(now);
    return takeActions();
}

actions request_core::ledgerReplied(time_point now, request_id id,
                                    const result<intent_reply> &reply)
{
    now_ = now;
    const auto found = requests_.find(id);
    if (found == requests_.end() || found->second.phase != request_phase::AwaitingLedger)
        return takeActions();
    --openLedgerQueries_;
    auto &request = found->second;
    request.phase = request_phase::New;
    if (failed(reply)) {
        request.refusal = errorOf(reply);
        request.outcome = errorOf(reply).code == result_code::KeyReused ? request_outcome::NotRun
                                                                        : request_outcome::Unknown;
        runFilters(indexOf(chain_position::Answer), request);
        return takeActions();
    }
    const auto &value = valueOf(reply);
    if (mayDispatch(value)) {
        request.ledgerApproved = true;
        request.ledgerAttempt = value.attempt;
        if (now >= request.deadline)
            expire(id);
        else
            runFilters(indexOf(chain_position::Admit), request);
        dispatchQueued(now);
        return takeActions();
    }
    applyDecision(request, value);
    runFilters(indexOf(chain_position::Answer), request);
    return takeActions();
}

// Returns whether the ledger's reply allows a dispatch. InProgress with an attempt number means
// that the ledger holds an open intent of this instance. Since no local request holds the key, the
// reply to an earlier query was lost, and the attempt may be dispatched unless it already was.
bool request_core::mayDispatch(const intent_reply &reply) const
{
    if (reply.decision == intent_decision::Dispatch)
        return true;
    return reply.decision == intent_decision::InProgress && reply.attempt != 0
            && !dispatchedLedgerAttempts_.contains(reply.attempt);
}

// Sets the result of a request that the ledger does not allow to run.
void request_core::applyDecision(request_state &request, const intent_reply &reply)
{
    const auto refuseAs = [&request](result_code code, const char *detail) {
        request.refusal = error {code, detail, {}, {}};
    };
    request.outcome = request_outcome::Unknown;
    if (reply.decision == intent_decision::InProgress) {
        refuseAs(result_code::InProgress, "a request with the same key is in progress");
    } else if (reply.decision == intent_decision::Stored && reply.outcome == request_outcome::Ran) {
        request.outcome = request_outcome::Ran;
        request.stored = reply.stored;
    } else if (reply.decision == intent_decision::Stored
               && reply.outcome == request_outcome::NotRun) {
        request.outcome = request_outcome::NotRun;
        refuseAs(result_code::Cancelled,
                 "an earlier request with the same key was closed without being run");
    } else {
        refuseAs(result_code::OutcomeUnknown, "an earlier attempt may have run");
    }
}

actions request_core::attemptEnded(time_point now, const attempt_report &report)
{
    now_ = now;
    const auto running = running_.find(report.ref);
    if (running == running_.end())
        return takeActions();
    const auto attempt = std::move(running->second);
    running_.erase(running);
    const auto health = attempt.callerTimeout ? attempt_health::Neutral : healthOf(report);
    upstreams_.attemptEnded(attempt.upstream, health, now);
    if (report.end == attempt_end::Answered) {
        const std::chrono::duration<double, std::milli> taken = now - attempt.startedAt;
        auto &average = pools_[attempt.pool].meanServiceMs;
        average = average == 0 ? taken.count()
                               : average + (taken.count() - average) * serviceTimeSmoothing;
    }
    const auto found = requests_.find(report.ref.id);
    // The end of a superseded attempt only frees its slot.
    if (found != requests_.end() && found->second.phase == request_phase::Sent
        && found->second.attempts == report.ref.attempt) {
        auto &request = found->second;
        request.report = report;
        request.mayHaveWritten = request.mayHaveWritten || report.end != attempt_end::NotConnected;
        request.mayHaveRun = request.mayHaveWritten;
        runFilters(indexOf(chain_position::Retry), request);
    }
    dispatchQueued(now);
    return takeActions();
}

void request_core::outcomeStored(request_id id, bool success)
{
    const auto found = pendingOutcomes_.find(id);
    if (found == pendingOutcomes_.end())
        return;
    keys_.erase(found->second.first);
    if (success)
        dispatchedLedgerAttempts_.erase(found->second.second);
    pendingOutcomes_.erase(found);
}

actions request_core::tick(time_point now)
{
    now_ = now;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const auto id = deadlines_.begin()->second;
        deadlines_.erase(deadlines_.begin());
        expire(id);
    }
    resumeDeferred();
    dispatchQueued(now);
    return takeActions();
}

actions request_core::applyTables(time_point now, const tables &values)
{
    now_ = now;
    if (haveTables_ && values.version <= tables_.version)
        return takeActions();
    haveTables_ = true;
    tables_ = values;
    routes_ = route_table(values);
    upstreams_.setPools(values.pools);
    rerouteWaiting();
    dispatchQueued(now);
    return takeActions();
}

actions request_core::applyView(time_point now, std::span<const announcement> changes,
                                bool fullView)
{
    now_ = now;
    upstreams_.applyView(changes, fullView, now);
    dispatchQueued(now);
    return takeActions();
}

actions request_core::applyShares(time_point now, std::span<const slot_share> shares)
{
    now_ = now;
    upstreams_.setShares(shares);
    dispatchQueued(now);
    return takeActions();
}

void request_core::markLeaving(time_point now, const upstream_key &key)
{
    upstreams_.markLeaving(key, now);
}

actions request_core::setLease(time_point now, time_point until)
{
    now_ = now;
    leaseUntil_ = std::max(leaseUntil_, until);
    resumeDeferred();
    dispatchQueued(now);
    return takeActions();
}

bool request_core::idle() const
{
    return requests_.empty() && running_.empty() && pendingOutcomes_.empty();
}

core_counters request_core::counters() const
{
    return {requestCount_, retryCount_, upstreams_.ejections()};
}

std::vector<pool_demand> request_core::demand() const
{
    std::vector<pool_demand> list;
    for (const auto &row : tables_.pools) {
        const auto load = pools_.find(row.name);
        const auto queued = load == pools_.end() ? 0 : load->second.queue.size();
        list.push_back(
                {row.name, static_cast<std::uint32_t>(queued), upstreams_.inFlight(row.name)});
    }
    return list;
}

void request_core::runFilters(std::size_t position, request_state &request)
{
    while (true) {
        const auto decision = filterAt(position).apply(*this, request);
        if (position == indexOf(chain_position::Answer)) {
            finish(request.info.id);
            return;
        }
        if (decision == filter_result::Pause)
            return;
        if (decision == filter_result::Answer)
            position = indexOf(chain_position::Answer);
        else if (decision == filter_result::Requeue)
            position = indexOf(chain_position::Queue);
        else
            ++position;
    }
}

void request_core::finish(request_id id)
{
    const auto found = requests_.find(id);
    deadlines_.erase({found->second.deadline, id});
    requests_.erase(found);
}

// Sets a refusal. Until the ledger has decided about its key, a request may have run before, on
// this or another instance, so its outcome is not reported as not_run.
void request_core::refuse(request_state &request, result_code code, std::string detail,
                          milliseconds retryAfter)
{
    request.refusal = error {code, std::move(detail), {}, retryAfter};
    const bool keyed = !request.info.key.empty() && (!request.routed || !request.target.repeatable)
            && !request.ledgerApproved;
    request.outcome
            = keyed || request.mayHaveRun ? request_outcome::Unknown : request_outcome::NotRun;
}

void request_core::expire(request_id id)
{
    const auto found = requests_.find(id);
    // A ledger query is ended by its reply, which arrives by the deadline of the call.
    if (found == requests_.end() || found->second.phase == request_phase::AwaitingLedger)
        return;
    auto &request = found->second;
    if (request.phase == request_phase::Sent) {
        const attempt_ref ref {id, request.attempts};
        const auto running = running_.find(ref);
        running->second.callerTimeout
                = request.info.timeout && *request.info.timeout < request.target.timeout;
        request.report = attempt_report {ref, attempt_end::TimedOut, 0};
        pendingActions_.emplace_back(cancel_attempt {ref});
    } else {
        removeFromQueue(request);
        refuse(request, result_code::DeadlineExceeded,
               upstreams_.hasServing(request.target.pool)
                       ? "the deadline passed while the request was queued"
                       : "the pool has no serving upstream");
    }
    runFilters(indexOf(chain_position::Answer), request);
}

void request_core::removeFromQueue(request_state &request)
{
    if (request.phase == request_phase::Queued)
        pools_[request.target.pool].queue.erase(request.target.workspace, request.info.id);
    if (request.phase == request_phase::Deferred)
        std::erase(deferred_, request.info.id);
}

// Routes requests again that have not been sent. Without this, a request that was deferred while
// the lease had expired was sent by a route that the new tables no longer contain.
void request_core::rerouteWaiting()
{
    std::vector<request_id> waiting;
    for (const auto &[id, request] : requests_) {
        if (request.phase == request_phase::Queued || request.phase == request_phase::Deferred)
            waiting.push_back(id);
    }
    for (const auto id : waiting)
        reroute(requests_.at(id));
}

void request_core::reroute(request_state &request)
{
    const auto position = request.phase == request_phase::Deferred ? chain_position::Ledger
                                                                   : chain_position::Queue;
    removeFromQueue(request);
    const auto found = routes_.find(request.info.host, request.info.path);
    if (failed(found)) {
        refuse(request, errorOf(found).code, errorOf(found).detail);
        runFilters(indexOf(chain_position::Answer), request);
        return;
    }
    const auto &next = *valueOf(found);
    // The ledger stores the key by workspace, and at-most-once delivery is a property of the old
    // route.
    if (next.workspace != request.target.workspace
        || next.repeatable != request.target.repeatable) {
        refuse(request, result_code::NotReady, "the route changed while the request was waiting");
        runFilters(indexOf(chain_position::Answer), request);
        return;
    }
    request.target = next;
    runFilters(indexOf(position), request);
}

void request_core::resumeDeferred()
{
    if (deferred_.empty() || !leaseHeld(now_))
        return;
    std::vector<request_id> waiting;
    waiting.swap(deferred_);
    for (const auto id : waiting) {
        const auto found = requests_.find(id);
        if (found == requests_.end())
            continue;
        found->second.phase = request_phase::New;
        runFilters(indexOf(chain_position::Ledger), found->second);
    }
}

// Dispatches queued requests while upstreams have free slots, provided that the configuration lease
// is held.
void request_core::dispatchQueued(time_point now)
{
    if (!leaseHeld(now))
        return;
    for (auto &[name, load] : pools_)
        dispatchPool(name, load);
}

void request_core::dispatchPool(const std::string &pool, pool_load &load)
{
    while (load.queue.size() > 0) {
        auto choice = upstreams_.choose(pool, {}, now_, random_);
        if (!choice)
            return;
        const auto id = load.queue.pop();
        auto &request = requests_.at(*id);
        // A retry chooses again in order to avoid the upstream that failed.
        if (choice->key.id != request.lastUpstream)
            request.chosen = std::move(choice);
        runFilters(indexOf(chain_position::Select), request);
    }
}

std::uint32_t request_core::weightOf(std::string_view workspace) const
{
    const auto row = std::ranges::find(tables_.workspaces, workspace, &workspace::name);
    return row == tables_.workspaces.end() ? 1 : std::max(row->weight, 1U);
}

std::uint32_t request_core::capacityOf(const std::string &pool, pool_load &load)
{
    if (load.capacity == 0 || load.capacityAt + maxCapacityAge < now_) {
        load.capacity = upstreams_.capacity(pool, now_);
        load.capacityAt = now_;
    }
    return load.capacity;
}

std::size_t request_core::queuedOf(std::string_view workspace) const
{
    std::size_t sum = 0;
    for (const auto &[name, load] : pools_)
        sum += load.queue.size(workspace);
    return sum;
}

actions request_core::takeActions()
{
    actions result;
    result.swap(pendingActions_);
    return result;
}

} // namespace persimmon::entry
