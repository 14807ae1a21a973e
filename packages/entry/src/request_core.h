#pragma once

#include "base/sync.h"
#include "base/tables.h"
#include "fair_queue.h"
#include "request_id.h"
#include "retry_budget.h"
#include "route_table.h"
#include "upstream_table.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace persimmon::entry {

// Properties of a received request that the core uses.
struct request_info
{
    request_id id {};
    std::string host;
    std::string path;
    std::string key; // Idempotency-Key, may be empty
    std::uint64_t digest = 0; // of method, path, query and body
    std::optional<milliseconds> timeout; // requested by the caller; capped by the route's time-out
};

// Orders request keys. Written out because clang-tidy 14 reports a use of a defaulted operator<=>
// as a missing nullptr; the other comparisons of this package are written out for the same reason.
struct request_key_less
{
    bool operator()(const request_key &left, const request_key &right) const
    {
        return std::tie(left.workspace, left.key) < std::tie(right.workspace, right.key);
    }
};

// Result of an attempt at an upstream.
enum class attempt_end : std::uint8_t {
    Answered, // the complete answer was received
    NotConnected, // no bytes were written
    Incomplete, // the answer was truncated, or its end can't be determined
    TooLarge, // the answer exceeds the body limit
    Lost, // failed after bytes may have been written
    TimedOut,
};

// Identifies one attempt of a request.
struct attempt_ref
{
    request_id id {};
    std::uint32_t attempt = 0;

    friend bool operator<(const attempt_ref &left, const attempt_ref &right)
    {
        return std::tie(left.id, left.attempt) < std::tie(right.id, right.attempt);
    }
};

struct attempt_report
{
    attempt_ref ref;
    attempt_end end = attempt_end::Lost;
    std::uint16_t status = 0; // of the answer
};

// Sends the request to an upstream. A single-use dispatch requires a new connection.
struct send_attempt
{
    attempt_ref ref;
    std::string upstream;
    std::string address;
    bool singleUse = false;
    time_point deadline;
};

// Cancels an attempt whose answer is no longer needed. Its end is still reported.
struct cancel_attempt
{
    attempt_ref ref;
};

// Asks the ledger whether a request that is not repeatable may be dispatched.
struct query_ledger
{
    request_id id {};
    request_key key;
    std::uint64_t digest = 0;
    time_point deadline;
};

// Answers the caller with a refusal, a stored answer, or the answer of an attempt.
struct answer_caller
{
    request_id id {};
    request_outcome outcome = request_outcome::NotRun;
    std::optional<error> refusal;
    std::optional<answer> stored;
    std::uint32_t attempt = 0;
    std::string workspace;
    std::string route;
    priority_class priority = priority_class::Standard;
    milliseconds queueWait {0};
    milliseconds duration {0};
};

// Records the outcome of a request in the ledger. With attachAnswer, the answer that is relayed to
// the caller is stored as well.
struct store_outcome
{
    request_id id {};
    outcome_record record;
    bool attachAnswer = false;
};

using action
        = std::variant<send_attempt, cancel_attempt, query_ledger, answer_caller, store_outcome>;
using actions = std::vector<action>;

struct core_options
{
    std::uint32_t queueLength = 256; // per workspace
    std::uint32_t retryPercent = 10;
    std::uint64_t seed = 1;
};

struct core_counters
{
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    std::uint64_t ejections = 0;
};

enum class request_phase : std::uint8_t { New, Deferred, AwaitingLedger, Queued, Sent };

// State of a request from its arrival to its answer.
struct request_state
{
    request_info info;
    route target; // a copy, because the tables may change while the request waits
    request_phase phase = request_phase::New;
    bool routed = false;
    time_point receivedAt;
    time_point deadline = time_point::max();
    milliseconds queueWait {0};
    std::uint32_t attempts = 0;
    bool mayHaveRun = false; // any attempt may have written bytes
    bool mayHaveWritten = false; // an attempt that has ended may have written bytes
    bool ledgerApproved = false; // the ledger allowed this dispatch
    std::uint64_t ledgerAttempt = 0;
    std::optional<upstream_choice> chosen;
    std::string lastUpstream;
    std::optional<attempt_report> report; // of the last attempt
    // Set when the request is decided.
    request_outcome outcome = request_outcome::NotRun;
    std::optional<error> refusal;
    std::optional<answer> stored;
};

// Result of a filter: continue with the next filter, pause until an event, return to the queue, or
// answer the request.
enum class filter_result : std::uint8_t { Continue, Pause, Requeue, Answer };

class request_core;

// One step of request processing. Filters are stateless.
class filter
{
public:
    filter() = default;
    filter(const filter &) = delete;
    filter &operator=(const filter &) = delete;
    virtual ~filter() = default;

    virtual filter_result apply(request_core &core, request_state &request) const = 0;
};

// Load of one pool at this entry.
struct pool_load
{
    fair_queue queue;
    double meanServiceMs = 0; // moving average of attempt durations; 0: no sample yet
    std::uint32_t capacity = 0;
    time_point capacityAt; // when the capacity was computed
};

// Processes proxied requests from arrival to answer. Deterministic: no clock, no I/O, no threads.
// Each call takes the current time and returns the actions that the adapter must perform, in order.
class request_core
{
public:
    explicit request_core(const core_options &options);

    actions requestReceived(time_point now, request_info info);
    actions ledgerReplied(time_point now, request_id id, const result<intent_reply> &reply);
    actions attemptEnded(time_point now, const attempt_report &report);
    // Reports that storing an outcome has ended; releases its key. Without success the ledger
    // attempt stays marked as dispatched, so that an intent that is still open in the ledger is not
    // dispatched a second time.
    void outcomeStored(request_id id, bool success);
    actions tick(time_point now);

    // Applies tables unless the version in force is the same or higher.
    actions applyTables(time_point now, const tables &values);
    actions applyView(time_point now, std::span<const announcement> changes, bool fullView);
    actions applyShares(time_point now, std::span<const slot_share> shares);
    void markLeaving(time_point now, const upstream_key &key);
    actions setLease(time_point now, time_point until);

    // Refuses new requests; queued and running requests are completed.
    void beginDrain() { draining_ = true; }
    bool idle() const;
    bool leaseHeld(time_point now) const { return now < leaseUntil_; }
    std::uint64_t version() const { return tables_.version; }
    const tables &currentTables() const { return tables_; }
    core_counters counters() const;
    std::vector<pool_demand> demand() const;

private:
    friend class readiness_filter;
    friend class route_filter;
    friend class admit_filter;
    friend class ledger_filter;
    friend class queue_filter;
    friend class select_filter;
    friend class dispatch_filter;
    friend class retry_filter;
    friend class answer_filter;

    struct running_attempt
    {
        upstream_key upstream;
        std::string pool;
        time_point startedAt;
        bool callerTimeout = false; // ended by a caller's time-out shorter than the route's
    };

    using request_map = std::map<request_id, request_state>;

    void runFilters(std::size_t position, request_state &request);
    void refuse(request_state &request, result_code code, std::string detail,
                milliseconds retryAfter = milliseconds {0});
    bool mayDispatch(const intent_reply &reply) const;
    static void applyDecision(request_state &request, const intent_reply &reply);
    void dispatchQueued(time_point now);
    void dispatchPool(const std::string &pool, pool_load &load);
    void expire(request_id id);
    void finish(request_id id);
    void rerouteWaiting();
    void reroute(request_state &request);
    void resumeDeferred();
    void removeFromQueue(request_state &request);
    std::uint32_t weightOf(std::string_view workspace) const;
    std::uint32_t capacityOf(const std::string &pool, pool_load &load);
    std::size_t queuedOf(std::string_view workspace) const;
    actions takeActions();

    core_options options_;
    random_source random_;
    retry_budget budget_;
    route_table routes_;
    tables tables_;
    upstream_table upstreams_;
    request_map requests_;
    std::map<attempt_ref, running_attempt> running_;
    std::map<std::string, pool_load, std::less<>> pools_;
    std::map<request_key, request_id, request_key_less>
            keys_; // of requests that are not repeatable
    // Answered requests whose outcome is not yet in the ledger.
    std::map<request_id, std::pair<request_key, std::uint64_t>> pendingOutcomes_;
    std::set<std::uint64_t> dispatchedLedgerAttempts_; // outcome not yet in the ledger
    std::set<std::pair<time_point, request_id>> deadlines_;
    std::vector<request_id> deferred_; // ledger query awaits the lease or a pending outcome
    std::uint32_t openLedgerQueries_ = 0;
    time_point now_;
    time_point leaseUntil_;
    bool haveTables_ = false;
    bool draining_ = false;
    std::uint64_t requestCount_ = 0;
    std::uint64_t retryCount_ = 0;
    actions pendingActions_;
};

} // namespace persimmon::entry
