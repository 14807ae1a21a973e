#pragma once

#include "base/model.h"

#include <cstdint>
#include <string>
#include <vector>

// Messages between entries and the control leader, independent of the wire format.
namespace persimmon {

// Load of one pool at one entry.
struct pool_demand
{
    std::string pool;
    std::uint32_t queued = 0;
    std::uint32_t inFlight = 0;

    friend bool operator==(const pool_demand &, const pool_demand &) = default;
};

// Slots of one upstream that an entry may use until the next sync answer.
struct slot_share
{
    std::string upstream;
    std::uint32_t slots = 0;

    friend bool operator==(const slot_share &, const slot_share &) = default;
};

// All orders of one upstream; replaces the orders held for it.
struct upstream_orders
{
    std::string upstream;
    std::vector<task_order> orders;

    friend bool operator==(const upstream_orders &, const upstream_orders &) = default;
};

// Sync call of an entry to the leader: its state and the changes since its last call.
struct sync_request
{
    std::string entryId;
    std::uint64_t entryIncarnation = 0;
    std::string httpAddress;
    location place;
    std::uint64_t appliedVersion = 0;
    std::uint64_t viewEpoch = 0; // leader term of the view held; 0: none
    std::uint64_t viewSequence = 0; // last applied change of that view
    std::vector<announcement> announcements; // first or changed announcements
    std::vector<std::string> alive; // upstreams that sent an unchanged announcement
    std::vector<task_report> reports;
    std::vector<pool_demand> demand;
    bool stopping = false;
    milliseconds wait {0}; // longest time the leader may hold the call without a change

    friend bool operator==(const sync_request &, const sync_request &) = default;
};

// Response of the leader to a sync call.
struct sync_response
{
    error failure {result_code::Ok, {}, {}, {}};
    std::uint32_t leaderHint = 0; // voter id of the leader, 0: not known
    milliseconds lease {0}; // starts when the entry sends the request
    bool hasTables = false;
    tables newTables;
    std::uint64_t viewEpoch = 0;
    std::uint64_t viewSequence = 0;
    bool fullView = false; // the lists below replace the whole view
    std::vector<announcement> upstreams;
    std::vector<upstream_orders> orders;
    bool hasShares = false; // false: the current shares stay valid
    std::vector<slot_share> shares;
    bool drain = false; // an operator requested a drain of this entry

    friend bool operator==(const sync_response &, const sync_response &) = default;
};

// State of a job as returned to its caller and to operators.
struct job_view
{
    job_id id {};
    job_state state = job_state::Waiting;
    std::uint32_t attempt = 0;
    job_spec spec;
    std::vector<std::string> results; // one for each task of a done job, in order
    result_code code = result_code::Ok;
    std::vector<decision_record> records;

    friend bool operator==(const job_view &, const job_view &) = default;
};

// Specifies how an entry handles a request that is not repeatable.
enum class intent_decision : std::uint8_t {
    Dispatch, // send it once under the returned attempt number
    Stored, // finished earlier; the stored answer is attached
    InProgress, // another attempt is in flight
    Unknown, // may have run; never sent again
};

// Identifies a request that is not repeatable.
struct request_key
{
    std::string workspace;
    std::string key;

    friend auto operator<=>(const request_key &, const request_key &) = default;
};

struct intent_request
{
    request_key key;
    std::uint64_t digest = 0; // of method, path and body; reuse with another digest is rejected
    std::string entryId;
    std::uint64_t entryIncarnation = 0;

    friend bool operator==(const intent_request &, const intent_request &) = default;
};

struct intent_reply
{
    intent_decision decision = intent_decision::Unknown;
    std::uint64_t attempt = 0;
    request_outcome outcome = request_outcome::Unknown;
    answer stored;

    friend bool operator==(const intent_reply &, const intent_reply &) = default;
};

struct outcome_record
{
    request_key key;
    std::uint64_t attempt = 0;
    request_outcome outcome = request_outcome::Unknown;
    answer stored;

    friend bool operator==(const outcome_record &, const outcome_record &) = default;
};

} // namespace persimmon
