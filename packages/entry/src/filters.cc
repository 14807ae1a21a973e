#include "filters.h"

#include <algorithm>

namespace persimmon::entry {

namespace {

error refusalOf(result_code code, std::string detail)
{
    return {code, std::move(detail), {}, {}};
}

// The ledger gets no more intents at once than this, so that a burst of requests that are not
// repeatable can't fill the log.
constexpr std::uint32_t maxLedgerQueries = 256;

// Share of the queue that a workspace keeps while the others fill it.
std::size_t protectedLength(std::size_t queueLength, std::uint32_t weight, std::uint64_t allWeights)
{
    return std::max<std::size_t>(queueLength * weight / std::max<std::uint64_t>(allWeights, 1), 1);
}

} // namespace

// Refuses what must not enter: requests while the instance drains or has no tables.
class identify_filter : public filter
{
public:
    verdict apply(request_core &core, request_state &request) const override
    {
        if (core.draining_) {
            core.refuse(request, result_code::Stopping, "this instance is shutting down");
            return verdict::Answer;
        }
        if (!core.haveTables_) {
            core.refuse(request, result_code::NotReady, "no tables received yet");
            return verdict::Answer;
        }
        return verdict::Next;
    }
};

// Names the workspace, pool, priority and deadline of the request.
class route_filter : public filter
{
public:
    verdict apply(request_core &core, request_state &request) const override
    {
        const auto found = core.routes_.find(request.info.host, request.info.path);
        if (failed(found)) {
            request.refusal = errorOf(found);
            return verdict::Answer;
        }
        request.target = *valueOf(found);
        request.routed = true;
        auto timeout = request.target.timeout;
        if (request.info.timeout)
            timeout = std::min(timeout, *request.info.timeout);
        request.deadline = core.now_ + timeout;
        core.deadlines_.emplace(request.deadline, request.info.id);
        if (!request.target.repeatable && request.info.key.empty()) {
            request.refusal = refusalOf(result_code::KeyRequired,
                                        "route " + request.target.name + " is not repeatable");
            request.refusal->field = "Idempotency-Key";
            return verdict::Answer;
        }
        return verdict::Next;
    }
};

// Rejects early what would only wait in vain. A workspace is refused for its own load, or for the
// pool's load once it is over its weighted share; a workspace within its share gets in.
class admit_filter : public filter
{
public:
    verdict apply(request_core &core, request_state &request) const override
    {
        // The ledger decides first about a request that is not repeatable: it may have run before.
        if (!request.target.repeatable && !request.ledgerRead)
            return verdict::Next;
        const auto &workspace = request.target.workspace;
        auto &load = core.pools_[request.target.pool];
        const auto own = core.queuedOf(workspace);
        if (own >= core.options_.queueLength) {
            core.refuse(request, result_code::Overloaded, "the queue of the workspace is full");
            return verdict::Answer;
        }
        std::uint64_t weights = 0;
        for (const auto &row : core.tables_.workspaces)
            weights += std::max(row.weight, 1U);
        const auto share
                = protectedLength(core.options_.queueLength, core.weightOf(workspace), weights);
        if (load.queue.size() >= core.options_.queueLength && own >= share) {
            core.refuse(request, result_code::Overloaded,
                        "the pool is overloaded and the workspace is over its share");
            return verdict::Answer;
        }
        const auto wait = expectedWait(core, request, load);
        if (wait > request.deadline - core.now_) {
            core.refuse(request, result_code::Overloaded,
                        "the expected wait is longer than the time-out", wait);
            return verdict::Answer;
        }
        return verdict::Next;
    }

private:
    static milliseconds expectedWait(request_core &core, const request_state &request,
                                     pool_load &load)
    {
        const auto &workspace = request.target.workspace;
        const auto ahead = load.queue.ahead(workspace, request.target.priority);
        const auto capacity = core.capacityOf(request.target.pool, load);
        if (ahead == 0 || capacity == 0)
            return milliseconds {0};
        const double weight = core.weightOf(workspace);
        const auto share
                = weight / (weight + static_cast<double>(load.queue.otherWeights(workspace)));
        const auto wait = static_cast<double>(ahead) * load.serviceMs / (capacity * share);
        return milliseconds {static_cast<std::int64_t>(std::min(wait, 1e9))};
    }
};

// Asks the ledger about a request that is not repeatable, before anything can be dispatched.
class record_filter : public filter
{
public:
    verdict apply(request_core &core, request_state &request) const override
    {
        if (request.target.repeatable || request.ledgerRead)
            return verdict::Next;
        const request_key key {request.target.workspace, request.info.key};
        const auto [holder, added] = core.keys_.emplace(key, request.info.id);
        if (!added && holder->second != request.info.id) {
            // The outcome is on its way to the ledger, which will answer for it in a moment.
            if (core.unstored_.contains(holder->second))
                return hold(core, request, "the outcome of the key is not recorded yet");
            request.refusal = refusalOf(result_code::InProgress, "the same key is in progress");
            request.outcome = request_outcome::Unknown;
            return verdict::Answer;
        }
        if (!core.leaseHeld(core.now_))
            return hold(core, request, "the configuration lease has run out");
        if (core.askingLedger_ >= maxLedgerQueries) {
            core.refuse(request, result_code::Overloaded, "too many new keys at once");
            return verdict::Answer;
        }
        ++core.askingLedger_;
        request.phase = request_phase::AwaitingLedger;
        core.pending_.emplace_back(
                query_ledger {request.info.id, key, request.info.digest, request.deadline});
        return verdict::Hold;
    }

private:
    static verdict hold(request_core &core, request_state &request, const char *reason)
    {
        if (core.held_.size() >= core.options_.queueLength) {
            core.refuse(request, result_code::NotReady, reason);
            return verdict::Answer;
        }
        request.phase = request_phase::Held;
        core.held_.push_back(request.info.id);
        return verdict::Hold;
    }
};

// Puts the request into the queue of its workspace; pump() takes it out.
class queue_filter : public filter
{
public:
    verdict apply(request_core &core, request_state &request) const override
    {
        // A retry has waited its turn already.
        const auto where
                = request.attempts == 0 ? fair_queue::position::Back : fair_queue::position::Front;
        request.phase = request_phase::Queued;
        const auto &target = request.target;
        core.pools_[target.pool].queue.push(target.workspace, core.weightOf(target.workspace),
                                            target.priority, request.info.id, where);
        return verdict::Hold;
    }
};

// Chooses the upstream; returns to the queue when none is free.
class select_filter : public filter
{
public:
    verdict apply(request_core &core, request_state &request) const override
    {
        if (!request.chosen)
            request.chosen = core.upstreams_.choose(request.target.pool, request.lastUpstream,
                                                    core.now_, core.random_);
        return request.chosen ? verdict::Next : verdict::Hold;
    }
};

// Takes a slot and sends the request.
class dispatch_filter : public filter
{
public:
    verdict apply(request_core &core, request_state &request) const override
    {
        const auto choice = std::move(*request.chosen);
        request.chosen.reset();
        const attempt_ref which {request.info.id, ++request.attempts};
        if (request.attempts == 1)
            request.queueWait
                    = std::chrono::duration_cast<milliseconds>(core.now_ - request.arrivedAt);
        else
            ++core.retryCount_;
        request.phase = request_phase::Sent;
        if (request.ledgerRead)
            core.usedLedgerAttempts_.insert(request.ledgerAttempt);
        request.mayHaveRun = true;
        request.lastUpstream = choice.key.id;
        request.report.reset();
        core.upstreams_.started(choice.key);
        core.running_.emplace(
                which, request_core::running_attempt {choice.key, request.target.pool, core.now_});
        core.pending_.emplace_back(send_attempt {which, choice.key.id, choice.address,
                                                 !request.target.repeatable, request.deadline});
        return verdict::Hold;
    }
};

// Sends a failed attempt again: when no byte was written, or when the route is repeatable, within
// the attempts of the pool, the budget and the deadline.
class retry_filter : public filter
{
public:
    verdict apply(request_core &core, request_state &request) const override
    {
        const auto end = request.report->end;
        if (end == attempt_end::Answered || end == attempt_end::TooLarge
            || end == attempt_end::TimedOut)
            return verdict::Answer;
        const bool safe = request.target.repeatable || end == attempt_end::NotConnected;
        std::uint32_t limit = 1;
        const auto row = std::ranges::find(core.tables_.pools, request.target.pool, &pool::name);
        if (row != core.tables_.pools.end())
            limit = row->maxAttempts;
        if (!safe || request.attempts >= limit || core.now_ >= request.deadline
            || !core.budget_.tryTake())
            return verdict::Answer;
        return verdict::Requeue;
    }
};

// Decides the outcome, answers the caller and records the outcome of a ledger entry.
class answer_filter : public filter
{
public:
    verdict apply(request_core &core, request_state &request) const override
    {
        if (!request.refusal && !request.stored)
            decide(request);
        const auto id = request.info.id;
        answer_caller reply;
        reply.id = id;
        reply.outcome = request.outcome;
        reply.refusal = request.refusal;
        reply.stored = request.stored;
        reply.attempt = request.attempts;
        reply.workspace = request.target.workspace;
        reply.route = request.target.name;
        reply.priority = request.target.priority;
        reply.queueWait = request.queueWait;
        reply.duration = std::chrono::duration_cast<milliseconds>(core.now_ - request.arrivedAt);
        const bool relays = !request.refusal && !request.stored;
        if (request.ledgerRead)
            store(core, request, relays);
        core.pending_.emplace_back(std::move(reply));
        const request_key key {request.target.workspace, request.info.key};
        const auto holder = core.keys_.find(key);
        if (!request.ledgerRead && holder != core.keys_.end() && holder->second == id)
            core.keys_.erase(holder);
        return verdict::Hold;
    }

private:
    // The stored answer precedes the reply, because the adapter drops the answer with the reply.
    static void store(request_core &core, const request_state &request, bool relays)
    {
        const request_key key {request.target.workspace, request.info.key};
        core.pending_.emplace_back(store_outcome {
                request.info.id, {key, request.ledgerAttempt, request.outcome, {}}, relays});
        core.unstored_.emplace(request.info.id, std::pair {key, request.ledgerAttempt});
    }

    static void decide(request_state &request)
    {
        switch (request.report->end) {
        case attempt_end::Answered:
            request.outcome = request_outcome::Ran;
            return;
        case attempt_end::NotConnected:
            request.refusal = refusalOf(result_code::UpstreamUnreachable,
                                        "no upstream accepted the connection");
            break;
        case attempt_end::Incomplete:
            request.refusal = refusalOf(result_code::AnswerIncomplete, "the answer was cut");
            break;
        case attempt_end::TooLarge:
            request.refusal
                    = refusalOf(result_code::AnswerIncomplete, "the answer is over the limit");
            break;
        case attempt_end::Lost:
            request.refusal = refusalOf(result_code::OutcomeUnknown,
                                        "the connection to the upstream was lost");
            break;
        case attempt_end::TimedOut:
            request.refusal
                    = refusalOf(result_code::Timeout, "the upstream did not answer in time");
            break;
        }
        request.outcome = request.mayHaveRun ? request_outcome::Unknown : request_outcome::NotRun;
    }
};

const filter &filterAt(std::size_t position)
{
    static const identify_filter identify;
    static const route_filter route;
    static const admit_filter admit;
    static const record_filter record;
    static const queue_filter queue;
    static const select_filter select;
    static const dispatch_filter dispatch;
    static const retry_filter retry;
    static const answer_filter answer;
    static const std::array<const filter *, static_cast<std::size_t>(chain_position::End)> chain {
            &identify, &route, &admit, &record, &queue, &select, &dispatch, &retry, &answer};
    return *chain.at(position);
}

} // namespace persimmon::entry
