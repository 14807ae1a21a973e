#include "filters.h"

#include <algorithm>

namespace persimmon::entry {

namespace {

error refusalOf(result_code code, std::string detail)
{
    return {code, std::move(detail), {}, {}};
}

// Limits open ledger queries, so that a burst of requests that are not repeatable can't fill the
// log.
constexpr std::uint32_t maxOpenLedgerQueries = 256;

// Returns the part of the queue that is reserved for a workspace under overload.
std::size_t reservedQueueLength(std::size_t queueLength, std::uint32_t weight,
                                std::uint64_t allWeights)
{
    return std::max<std::size_t>(queueLength * weight / std::max<std::uint64_t>(allWeights, 1), 1);
}

} // namespace

// Refuses requests while the instance is draining or has no tables.
class readiness_filter : public filter
{
public:
    filter_result apply(request_core &core, request_state &request) const override
    {
        if (core.draining_) {
            core.refuse(request, result_code::Stopping, "this instance is shutting down");
            return filter_result::Answer;
        }
        if (!core.haveTables_) {
            core.refuse(request, result_code::NotReady, "no tables received yet");
            return filter_result::Answer;
        }
        return filter_result::Continue;
    }
};

// Determines the workspace, pool, priority and deadline of the request.
class route_filter : public filter
{
public:
    filter_result apply(request_core &core, request_state &request) const override
    {
        const auto found = core.routes_.find(request.info.host, request.info.path);
        if (failed(found)) {
            request.refusal = errorOf(found);
            return filter_result::Answer;
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
            return filter_result::Answer;
        }
        return filter_result::Continue;
    }
};

// Rejects requests early that could not be served in time. A workspace is refused for its own load,
// or for the pool's load once it exceeds its weighted share; within its share it is admitted.
class admit_filter : public filter
{
public:
    filter_result apply(request_core &core, request_state &request) const override
    {
        // The ledger is queried first for a request that is not repeatable: it may have run before.
        if (!request.target.repeatable && !request.ledgerApproved)
            return filter_result::Continue;
        const auto &workspace = request.target.workspace;
        auto &load = core.pools_[request.target.pool];
        const auto own = core.queuedOf(workspace);
        if (own >= core.options_.queueLength) {
            core.refuse(request, result_code::Overloaded, "the queue of the workspace is full");
            return filter_result::Answer;
        }
        std::uint64_t weights = 0;
        for (const auto &row : core.tables_.workspaces)
            weights += std::max(row.weight, 1U);
        const auto share
                = reservedQueueLength(core.options_.queueLength, core.weightOf(workspace), weights);
        if (load.queue.size() >= core.options_.queueLength && own >= share) {
            core.refuse(request, result_code::Overloaded,
                        "the pool is overloaded and the workspace exceeds its share");
            return filter_result::Answer;
        }
        const auto wait = expectedWait(core, request, load);
        if (wait > request.deadline - core.now_) {
            core.refuse(request, result_code::Overloaded, "the expected wait exceeds the time-out",
                        wait);
            return filter_result::Answer;
        }
        return filter_result::Continue;
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
        const auto wait = static_cast<double>(ahead) * load.meanServiceMs / (capacity * share);
        return milliseconds {static_cast<std::int64_t>(std::min(wait, 1e9))};
    }
};

// Queries the ledger about a request that is not repeatable, before it is dispatched.
class ledger_filter : public filter
{
public:
    filter_result apply(request_core &core, request_state &request) const override
    {
        if (request.target.repeatable || request.ledgerApproved)
            return filter_result::Continue;
        const request_key key {request.target.workspace, request.info.key};
        const auto [holder, added] = core.keys_.emplace(key, request.info.id);
        if (!added && holder->second != request.info.id) {
            // The outcome is being written to the ledger; the request waits until it is stored and
            // then queries the ledger.
            if (core.pendingOutcomes_.contains(holder->second))
                return defer(core, request, "the outcome of the key is not recorded yet");
            request.refusal = refusalOf(result_code::InProgress,
                                        "a request with the same key is in progress");
            request.outcome = request_outcome::Unknown;
            return filter_result::Answer;
        }
        if (!core.leaseHeld(core.now_))
            return defer(core, request, "the configuration lease has expired");
        if (core.openLedgerQueries_ >= maxOpenLedgerQueries) {
            core.refuse(request, result_code::Overloaded,
                        "too many requests with new keys in flight");
            return filter_result::Answer;
        }
        ++core.openLedgerQueries_;
        request.phase = request_phase::AwaitingLedger;
        core.pendingActions_.emplace_back(
                query_ledger {request.info.id, key, request.info.digest, request.deadline});
        return filter_result::Pause;
    }

private:
    static filter_result defer(request_core &core, request_state &request, const char *reason)
    {
        if (core.deferred_.size() >= core.options_.queueLength) {
            core.refuse(request, result_code::NotReady, reason);
            return filter_result::Answer;
        }
        request.phase = request_phase::Deferred;
        core.deferred_.push_back(request.info.id);
        return filter_result::Pause;
    }
};

// Puts the request into the queue of its workspace; dispatchQueued() removes it.
class queue_filter : public filter
{
public:
    filter_result apply(request_core &core, request_state &request) const override
    {
        // A retry goes first, because it has already waited in the queue.
        const auto where
                = request.attempts == 0 ? fair_queue::position::Back : fair_queue::position::Front;
        request.phase = request_phase::Queued;
        const auto &target = request.target;
        core.pools_[target.pool].queue.push(target.workspace, core.weightOf(target.workspace),
                                            target.priority, request.info.id, where);
        return filter_result::Pause;
    }
};

// Chooses the upstream; pauses the request when none has a free slot.
class select_filter : public filter
{
public:
    filter_result apply(request_core &core, request_state &request) const override
    {
        if (!request.chosen)
            request.chosen = core.upstreams_.choose(request.target.pool, request.lastUpstream,
                                                    core.now_, core.random_);
        return request.chosen ? filter_result::Continue : filter_result::Pause;
    }
};

// Takes a slot and sends the request.
class dispatch_filter : public filter
{
public:
    filter_result apply(request_core &core, request_state &request) const override
    {
        const auto choice = std::move(*request.chosen);
        request.chosen.reset();
        const attempt_ref ref {request.info.id, ++request.attempts};
        if (request.attempts == 1)
            request.queueWait
                    = std::chrono::duration_cast<milliseconds>(core.now_ - request.receivedAt);
        else
            ++core.retryCount_;
        request.phase = request_phase::Sent;
        if (request.ledgerApproved)
            core.dispatchedLedgerAttempts_.insert(request.ledgerAttempt);
        request.mayHaveRun = true;
        request.lastUpstream = choice.key.id;
        request.report.reset();
        core.upstreams_.attemptStarted(choice.key);
        core.running_.emplace(
                ref, request_core::running_attempt {choice.key, request.target.pool, core.now_});
        core.pendingActions_.emplace_back(send_attempt {
                ref, choice.key.id, choice.address, !request.target.repeatable, request.deadline});
        return filter_result::Pause;
    }
};

// Retries a failed attempt if no bytes were written or the route is repeatable, within the pool's
// maximum of attempts, the retry budget and the deadline.
class retry_filter : public filter
{
public:
    filter_result apply(request_core &core, request_state &request) const override
    {
        const auto end = request.report->end;
        if (end == attempt_end::Answered || end == attempt_end::TooLarge
            || end == attempt_end::TimedOut)
            return filter_result::Answer;
        const bool safe = request.target.repeatable || end == attempt_end::NotConnected;
        std::uint32_t limit = 1;
        const auto row = std::ranges::find(core.tables_.pools, request.target.pool, &pool::name);
        if (row != core.tables_.pools.end())
            limit = row->maxAttempts;
        if (!safe || request.attempts >= limit || core.now_ >= request.deadline
            || !core.budget_.tryTake())
            return filter_result::Answer;
        return filter_result::Requeue;
    }
};

// Determines the outcome, answers the caller and records the outcome in the ledger.
class answer_filter : public filter
{
public:
    filter_result apply(request_core &core, request_state &request) const override
    {
        if (!request.refusal && !request.stored)
            decideOutcome(request);
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
        reply.duration = std::chrono::duration_cast<milliseconds>(core.now_ - request.receivedAt);
        const bool relaysAnswer = !request.refusal && !request.stored;
        if (request.ledgerApproved)
            storeOutcome(core, request, relaysAnswer);
        core.pendingActions_.emplace_back(std::move(reply));
        const request_key key {request.target.workspace, request.info.key};
        const auto holder = core.keys_.find(key);
        if (!request.ledgerApproved && holder != core.keys_.end() && holder->second == id)
            core.keys_.erase(holder);
        return filter_result::Pause;
    }

private:
    // The outcome is stored before the reply, because the adapter discards the answer with the
    // reply.
    static void storeOutcome(request_core &core, const request_state &request, bool relaysAnswer)
    {
        const request_key key {request.target.workspace, request.info.key};
        core.pendingActions_.emplace_back(store_outcome {
                request.info.id, {key, request.ledgerAttempt, request.outcome, {}}, relaysAnswer});
        core.pendingOutcomes_.emplace(request.info.id, std::pair {key, request.ledgerAttempt});
    }

    static void decideOutcome(request_state &request)
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
            request.refusal = refusalOf(result_code::AnswerIncomplete, "the answer was truncated");
            break;
        case attempt_end::TooLarge:
            request.refusal
                    = refusalOf(result_code::AnswerIncomplete, "the answer exceeds the body limit");
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
    static const readiness_filter readiness;
    static const route_filter route;
    static const admit_filter admit;
    static const ledger_filter ledger;
    static const queue_filter queue;
    static const select_filter select;
    static const dispatch_filter dispatch;
    static const retry_filter retry;
    static const answer_filter answer;
    static const std::array<const filter *, static_cast<std::size_t>(chain_position::End)> chain {
            &readiness, &route, &admit, &ledger, &queue, &select, &dispatch, &retry, &answer};
    return *chain.at(position);
}

} // namespace persimmon::entry
