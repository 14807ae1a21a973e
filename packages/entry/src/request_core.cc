#include "request_core.h"

#include "filters.h"

#include <algorithm>

namespace persimmon::entry {

namespace {

constexpr std::size_t at(chain_position position)
{
    return static_cast<std::size_t>(position);
}

// Age up to which a computed capacity is used again; it only serves estimates.
constexpr milliseconds capacityAge {100};

// Weight of one attempt in the moving average of service times.
constexpr double serviceSample = 1.0 / 16;

attempt_health healthOf(const attempt_report &report)
{
    const bool refusedByUpstream = report.status >= 502 && report.status <= 504;
    if (report.end == attempt_end::Answered)
        return refusedByUpstream ? attempt_health::Bad : attempt_health::Good;
    return report.end == attempt_end::TooLarge ? attempt_health::Neutral : attempt_health::Bad;
}

} // namespace

request_core::request_core(const core_options &options)
    : options_(options)
    , random_(options.seed)
    , budget_(options.retryPercent)
{
}

actions request_core::arrive(time_point now, arrival info)
{
    now_ = now;
    ++requestCount_;
    budget_.onRequest();
    const auto id = info.id;
    auto &request = requests_[id];
    request.info = std::move(info);
    request.arrivedAt = now;
    run(at(chain_position::Identify), request);
    pump(now);
    return take();
}

actions request_core::ledgerReplied(time_point now, request_id id,
                                    const result<intent_reply> &reply)
{
    now_ = now;
    const auto found = requests_.find(id);
    if (found == requests_.end() || found->second.phase != request_phase::AwaitingLedger)
        return take();
    --askingLedger_;
    auto &request = found->second;
    request.phase = request_phase::New;
    if (failed(reply)) {
        request.refusal = errorOf(reply);
        request.outcome = errorOf(reply).code == result_code::KeyReused ? request_outcome::NotRun
                                                                        : request_outcome::Unknown;
        run(at(chain_position::Answer), request);
        return take();
    }
    const auto &value = valueOf(reply);
    if (mayDispatch(value)) {
        request.ledgerRead = true;
        request.ledgerAttempt = value.attempt;
        if (now >= request.deadline)
            expire(id);
        else
            run(at(chain_position::Admit), request);
        pump(now);
        return take();
    }
    applyDecision(request, value);
    run(at(chain_position::Answer), request);
    return take();
}

// The ledger names the attempt of an intent that is open for this instance. Its key is free here,
// so the reply to an earlier call was lost, and unless it was dispatched it still can be.
bool request_core::mayDispatch(const intent_reply &reply) const
{
    if (reply.decision == intent_decision::Dispatch)
        return true;
    return reply.decision == intent_decision::InProgress && reply.attempt != 0
            && !usedLedgerAttempts_.contains(reply.attempt);
}

// Sets the result of a request that the ledger does not let run.
void request_core::applyDecision(request_state &request, const intent_reply &reply)
{
    const auto refuseAs = [&request](result_code code, const char *detail) {
        request.refusal = error {code, detail, {}, {}};
    };
    request.outcome = request_outcome::Unknown;
    if (reply.decision == intent_decision::InProgress) {
        refuseAs(result_code::InProgress, "the same key is in progress");
    } else if (reply.decision == intent_decision::Stored && reply.outcome == request_outcome::Ran) {
        request.outcome = request_outcome::Ran;
        request.stored = reply.stored;
    } else if (reply.decision == intent_decision::Stored
               && reply.outcome == request_outcome::NotRun) {
        request.outcome = request_outcome::NotRun;
        refuseAs(result_code::Cancelled, "the key was closed without a run");
    } else {
        refuseAs(result_code::OutcomeUnknown, "an earlier attempt may have run");
    }
}

actions request_core::attemptEnded(time_point now, const attempt_report &report)
{
    now_ = now;
    const auto running = running_.find(report.which);
    if (running == running_.end())
        return take();
    const auto attempt = std::move(running->second);
    running_.erase(running);
    const auto health = attempt.impatient ? attempt_health::Neutral : healthOf(report);
    upstreams_.ended(attempt.upstream, health, now);
    if (report.end == attempt_end::Answered) {
        const std::chrono::duration<double, std::milli> taken = now - attempt.startedAt;
        auto &average = pools_[attempt.pool].serviceMs;
        average = average == 0 ? taken.count()
                               : average + (taken.count() - average) * serviceSample;
    }
    const auto found = requests_.find(report.which.id);
    // An answer of a superseded attempt only frees its slot.
    if (found != requests_.end() && found->second.phase == request_phase::Sent
        && found->second.attempts == report.which.attempt) {
        auto &request = found->second;
        request.report = report;
        request.wroteBefore = request.wroteBefore || report.end != attempt_end::NotConnected;
        request.mayHaveRun = request.wroteBefore;
        run(at(chain_position::Retry), request);
    }
    pump(now);
    return take();
}

void request_core::outcomeStored(request_id id, bool success)
{
    const auto found = unstored_.find(id);
    if (found == unstored_.end())
        return;
    keys_.erase(found->second.first);
    if (success)
        usedLedgerAttempts_.erase(found->second.second);
    unstored_.erase(found);
}

actions request_core::tick(time_point now)
{
    now_ = now;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const auto id = deadlines_.begin()->second;
        deadlines_.erase(deadlines_.begin());
        expire(id);
    }
    resumeHeld();
    pump(now);
    return take();
}

actions request_core::applyTables(time_point now, const tables &values)
{
    now_ = now;
    if (haveTables_ && values.version <= tables_.version)
        return take();
    haveTables_ = true;
    tables_ = values;
    routes_ = route_table(values);
    upstreams_.setPools(values.pools);
    pump(now);
    return take();
}

actions request_core::applyView(time_point now, std::span<const announcement> changes,
                                bool fullView)
{
    now_ = now;
    upstreams_.applyView(changes, fullView, now);
    pump(now);
    return take();
}

actions request_core::applyShares(time_point now, std::span<const slot_share> shares)
{
    now_ = now;
    upstreams_.setShares(shares);
    pump(now);
    return take();
}

void request_core::markLeaving(time_point now, const upstream_key &key)
{
    upstreams_.markLeaving(key, now);
}

actions request_core::setLease(time_point now, time_point until)
{
    now_ = now;
    leaseUntil_ = std::max(leaseUntil_, until);
    resumeHeld();
    pump(now);
    return take();
}

bool request_core::idle() const
{
    return requests_.empty() && running_.empty() && unstored_.empty();
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

void request_core::run(std::size_t position, request_state &request)
{
    while (true) {
        const auto decision = filterAt(position).apply(*this, request);
        if (position == at(chain_position::Answer)) {
            finish(request.info.id);
            return;
        }
        if (decision == verdict::Hold)
            return;
        if (decision == verdict::Answer)
            position = at(chain_position::Answer);
        else if (decision == verdict::Requeue)
            position = at(chain_position::Queue);
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

// Sets a refusal. A request with a key that the ledger has not decided about may have run before,
// on this instance or another, so it is not called not_run.
void request_core::refuse(request_state &request, result_code code, std::string detail,
                          milliseconds retryAfter)
{
    request.refusal = error {code, std::move(detail), {}, retryAfter};
    const bool keyed = !request.info.key.empty() && (!request.routed || !request.target.repeatable)
            && !request.ledgerRead;
    request.outcome
            = keyed || request.mayHaveRun ? request_outcome::Unknown : request_outcome::NotRun;
}

void request_core::expire(request_id id)
{
    const auto found = requests_.find(id);
    // The reply of the ledger ends the wait for it; it comes before the call's own deadline.
    if (found == requests_.end() || found->second.phase == request_phase::AwaitingLedger)
        return;
    auto &request = found->second;
    if (request.phase == request_phase::Sent) {
        const attempt_ref which {id, request.attempts};
        const auto running = running_.find(which);
        running->second.impatient
                = request.info.timeout && *request.info.timeout < request.target.timeout;
        request.report = attempt_report {which, attempt_end::TimedOut, 0};
        pending_.emplace_back(cancel_attempt {which});
    } else {
        leaveQueue(request);
        refuse(request, result_code::DeadlineExceeded,
               upstreams_.hasServing(request.target.pool) ? "the deadline passed in the queue"
                                                          : "the pool has no upstream");
    }
    run(at(chain_position::Answer), request);
}

void request_core::leaveQueue(request_state &request)
{
    if (request.phase == request_phase::Queued)
        pools_[request.target.pool].queue.erase(request.target.workspace, request.info.id);
    if (request.phase == request_phase::Held)
        std::erase(held_, request.info.id);
}

void request_core::resumeHeld()
{
    if (held_.empty() || !leaseHeld(now_))
        return;
    std::vector<request_id> waiting;
    waiting.swap(held_);
    for (const auto id : waiting) {
        const auto found = requests_.find(id);
        if (found == requests_.end())
            continue;
        found->second.phase = request_phase::New;
        run(at(chain_position::Record), found->second);
    }
}

// Dispatches queued requests while upstreams are free. Without the lease, new work is held.
void request_core::pump(time_point now)
{
    if (!leaseHeld(now))
        return;
    for (auto &[name, load] : pools_)
        pumpPool(name, load);
}

void request_core::pumpPool(const std::string &pool, pool_load &load)
{
    while (load.queue.size() > 0) {
        auto choice = upstreams_.choose(pool, {}, now_, random_);
        if (!choice)
            return;
        const auto id = load.queue.pop();
        auto &request = requests_.at(*id);
        // A retry chooses again, to avoid the upstream that has failed.
        if (choice->key.id != request.lastUpstream)
            request.chosen = std::move(choice);
        run(at(chain_position::Select), request);
    }
}

std::uint32_t request_core::weightOf(std::string_view workspace) const
{
    const auto row = std::ranges::find(tables_.workspaces, workspace, &workspace::name);
    return row == tables_.workspaces.end() ? 1 : std::max(row->weight, 1U);
}

std::uint32_t request_core::capacityOf(const std::string &pool, pool_load &load)
{
    if (load.capacity == 0 || load.capacityAt + capacityAge < now_) {
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

actions request_core::take()
{
    actions result;
    result.swap(pending_);
    return result;
}

} // namespace persimmon::entry
