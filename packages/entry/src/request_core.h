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

// What the core needs to know about a received request.
struct arrival
{
    request_id id {};
    std::string host;
    std::string path;
    std::string key; // Idempotency-Key, may be empty
    std::uint64_t digest = 0; // of method, path, query and body
    std::optional<milliseconds> timeout; // wish of the caller; the route's time-out is the limit
};

// Order of keys. Written out because clang-tidy 14 reports the use of a defaulted operator<=> as a
// missing nullptr; so are the other orders of this package.
struct request_key_less
{
    bool operator()(const request_key &left, const request_key &right) const
    {
        return std::tie(left.workspace, left.key) < std::tie(right.workspace, right.key);
    }
};

// How an attempt at an upstream ended.
enum class attempt_end : std::uint8_t {
    Answered, // the whole answer is there
    NotConnected, // no byte was written
    Incomplete, // the answer was cut, or can't be known to be whole
    TooLarge, // the answer is over the body limit
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
    attempt_ref which;
    attempt_end end = attempt_end::Lost;
    std::uint16_t status = 0; // of the answer
};

// Sends the request to an upstream. A single-use dispatch needs a connection that was never used.
struct send_attempt
{
    attempt_ref which;
    std::string upstream;
    std::string address;
    bool singleUse = false;
    time_point deadline;
};

// Ends an attempt whose answer nobody waits for. Its end is still reported.
struct cancel_attempt
{
    attempt_ref which;
};

// Asks the ledger whether a request that is not repeatable may be dispatched.
struct query_ledger
{
    request_id id {};
    request_key key;
    std::uint64_t digest = 0;
    time_point deadline;
};

// Answers the caller: with a refusal, with a stored answer, or with the answer of an attempt.
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

// Records the outcome of a request in the ledger. With attachAnswer, the answer of the attempt that
// the caller gets is stored.
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
    std::uint32_t queueLength = 256; // of each workspace
    std::uint32_t retryPercent = 10;
    std::uint64_t seed = 1;
};

struct core_counters
{
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    std::uint64_t ejections = 0;
};

enum class request_phase : std::uint8_t { New, Held, AwaitingLedger, Queued, Sent };

// One request between its arrival and its answer.
struct request_state
{
    arrival info;
    route target; // copied, because tables change while requests wait
    request_phase phase = request_phase::New;
    bool routed = false;
    time_point arrivedAt;
    time_point deadline = time_point::max();
    milliseconds queueWait {0};
    std::uint32_t attempts = 0;
    bool mayHaveRun = false; // bytes of some attempt may have been written
    bool wroteBefore = false; // bytes of a finished attempt may have been written
    bool ledgerRead = false; // the ledger allowed this dispatch
    std::uint64_t ledgerAttempt = 0;
    std::optional<upstream_choice> chosen;
    std::string lastUpstream;
    std::optional<attempt_report> report; // of the last attempt
    // Result, once decided.
    request_outcome outcome = request_outcome::NotRun;
    std::optional<error> refusal;
    std::optional<answer> stored;
};

// What a filter decides: go on to the next filter, wait for an event, queue again, or answer now.
enum class verdict : std::uint8_t { Next, Hold, Requeue, Answer };

class request_core;

// One step of the handling of a request. Filters keep no state of their own.
class filter
{
public:
    filter() = default;
    filter(const filter &) = delete;
    filter &operator=(const filter &) = delete;
    virtual ~filter() = default;

    virtual verdict apply(request_core &core, request_state &request) const = 0;
};

// Load of one pool as seen by this entry.
struct pool_load
{
    fair_queue queue;
    double serviceMs = 0; // moving average of the time of an attempt; 0: none seen
    std::uint32_t capacity = 0;
    time_point capacityAt; // when the capacity was computed
};

// Handles proxied requests from arrival to answer. Deterministic: no clock, no I/O, no threads.
// Each call takes the time and returns what the adapter has to do, in order.
class request_core
{
public:
    explicit request_core(const core_options &options);

    actions arrive(time_point now, arrival info);
    actions ledgerReplied(time_point now, request_id id, const result<intent_reply> &reply);
    actions attemptEnded(time_point now, const attempt_report &report);
    // Ends the storing of an outcome; its key can be used again. Without success the dispatch stays
    // on record here, so that the ledger's memory of it is never taken for an unused one.
    void outcomeStored(request_id id, bool success);
    actions tick(time_point now);

    // Applies tables unless their version is lower than the one in force.
    actions applyTables(time_point now, const tables &values);
    actions applyView(time_point now, std::span<const announcement> changes, bool fullView);
    actions applyShares(time_point now, std::span<const slot_share> shares);
    void markLeaving(time_point now, const upstream_key &key);
    actions setLease(time_point now, time_point until);

    // Refuses new requests from now on; those that are queued or running are finished.
    void beginDrain() { draining_ = true; }
    bool idle() const;
    bool leaseHeld(time_point now) const { return now < leaseUntil_; }
    std::uint64_t version() const { return tables_.version; }
    const tables &currentTables() const { return tables_; }
    core_counters counters() const;
    std::vector<pool_demand> demand() const;

private:
    friend class identify_filter;
    friend class route_filter;
    friend class admit_filter;
    friend class record_filter;
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
        bool impatient = false; // ended by a time-out that the caller had shortened
    };

    using request_map = std::map<request_id, request_state>;

    void run(std::size_t position, request_state &request);
    void refuse(request_state &request, result_code code, std::string detail,
                milliseconds retryAfter = milliseconds {0});
    bool mayDispatch(const intent_reply &reply) const;
    static void applyDecision(request_state &request, const intent_reply &reply);
    void pump(time_point now);
    void pumpPool(const std::string &pool, pool_load &load);
    void expire(request_id id);
    void finish(request_id id);
    void resumeHeld();
    void leaveQueue(request_state &request);
    std::uint32_t weightOf(std::string_view workspace) const;
    std::uint32_t capacityOf(const std::string &pool, pool_load &load);
    std::size_t queuedOf(std::string_view workspace) const;
    actions take();

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
    // Answered, outcome not yet in the ledger.
    std::map<request_id, std::pair<request_key, std::uint64_t>> unstored_;
    std::set<std::uint64_t> usedLedgerAttempts_; // dispatched, outcome not yet in the ledger
    std::set<std::pair<time_point, request_id>> deadlines_;
    std::vector<request_id> held_; // wait for the lease, or for an outcome, to ask the ledger
    std::uint32_t askingLedger_ = 0;
    time_point now_;
    time_point leaseUntil_;
    bool haveTables_ = false;
    bool draining_ = false;
    std::uint64_t requestCount_ = 0;
    std::uint64_t retryCount_ = 0;
    actions pending_;
};

} // namespace persimmon::entry
