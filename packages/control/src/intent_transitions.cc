#include "transitions.h"

namespace persimmon::control::detail {

namespace {

// New intents are refused beyond these bounds. Evicting a stored outcome early instead would let a
// repeated key run twice.
constexpr std::size_t maxIntents = 100000;
constexpr std::size_t maxStoredBytes = 64UL << 20U;

void eraseClosed(ledger_data &data, const request_key &key, const intent_entry &entry)
{
    const auto found = data.closedIntents.find(entry.endIndex);
    if (found == data.closedIntents.end())
        return;
    found->second.erase(key);
    if (found->second.empty())
        data.closedIntents.erase(found);
}

void closeIntent(ledger_data &data, log_position at, const request_key &key, intent_entry &entry,
                 request_outcome outcome)
{
    if (entry.open) {
        const auto owner = data.openIntents.find({entry.entryId, entry.entryIncarnation});
        owner->second.erase(key);
        if (owner->second.empty())
            data.openIntents.erase(owner);
    } else {
        eraseClosed(data, key, entry);
    }
    entry.open = false;
    entry.outcome = outcome;
    entry.endedAt = at.at;
    entry.endIndex = at.index;
    data.closedIntents[at.index].insert(key);
}

reply reserveDispatch(ledger_data &data, log_position at, const intent_request &request)
{
    if (data.intents.size() >= maxIntents || data.storedBytes >= maxStoredBytes)
        return refuse(result_code::Overloaded, "too many stored outcomes");
    auto &entry = data.intents[request.key];
    eraseClosed(data, request.key, entry);
    entry = {request.digest,
             request.entryId,
             request.entryIncarnation,
             at.index,
             true,
             request_outcome::Unknown,
             {},
             {},
             0};
    data.openIntents[{request.entryId, request.entryIncarnation}].insert(request.key);
    reply answer;
    answer.intent = {intent_decision::Dispatch, at.index, request_outcome::Unknown, {}};
    return answer;
}

reply describeClosed(const intent_entry &entry)
{
    const auto decision = entry.outcome == request_outcome::Ran ? intent_decision::Stored
                                                                : intent_decision::Unknown;
    reply answer;
    answer.intent = {decision, entry.attempt, entry.outcome, entry.stored};
    return answer;
}

} // namespace

reply applyBody(ledger_data &data, log_position at, const record_intent &body)
{
    const auto &request = body.request;
    const auto found = data.intents.find(request.key);
    if (found == data.intents.end())
        return reserveDispatch(data, at, request);
    auto &entry = found->second;
    if (entry.digest != request.digest)
        return refuse(result_code::KeyReused, "the key belongs to another request", "key");
    const bool sameEntry = entry.entryId == request.entryId;
    // A newer incarnation of the entry proves that the owner of the intent no longer runs.
    if (entry.open && sameEntry && entry.entryIncarnation < request.entryIncarnation)
        closeIntent(data, at, request.key, entry, request_outcome::Unknown);
    if (entry.open) {
        // The attempt lets an owner that missed the first answer identify its dispatch.
        const bool owner = sameEntry && entry.entryIncarnation == request.entryIncarnation;
        reply answer;
        answer.intent = {intent_decision::InProgress,
                         owner ? entry.attempt : 0,
                         request_outcome::Unknown,
                         {}};
        return answer;
    }
    if (entry.outcome == request_outcome::NotRun)
        return reserveDispatch(data, at, request);
    return describeClosed(entry);
}

reply applyBody(ledger_data &data, log_position at, const record_outcome &body)
{
    const auto &record = body.record;
    const auto found = data.intents.find(record.key);
    if (found == data.intents.end())
        return refuse(result_code::NotFound, "no intent with this key", "key");
    auto &entry = found->second;
    if (entry.attempt != record.attempt)
        return refuse(result_code::InvalidValue, "superseded attempt", "attempt");
    // Ran with its answer may replace Unknown, because a partitioned owner may report late. A late
    // NotRun may not, because callers have been informed that the request may have run.
    const bool late = !entry.open && entry.outcome == request_outcome::Unknown
            && record.outcome == request_outcome::Ran;
    if (!entry.open && !late) {
        if (entry.outcome == record.outcome)
            return {};
        return refuse(result_code::InvalidValue, "the outcome is already recorded", "outcome");
    }
    closeIntent(data, at, record.key, entry, record.outcome);
    if (record.outcome == request_outcome::Ran) {
        entry.stored = record.stored;
        data.storedBytes += entry.stored.body.size();
    }
    return {};
}

reply applyBody(ledger_data &data, log_position at, const expire_intents &body)
{
    std::vector<request_key> expired;
    for (const auto &[owner, keys] : data.openIntents)
        if (owner.first == body.entryId && owner.second <= body.incarnation)
            expired.insert(expired.end(), keys.begin(), keys.end());
    for (const auto &key : expired)
        closeIntent(data, at, key, data.intents.at(key), request_outcome::Unknown);
    reply answer;
    answer.value = expired.size();
    return answer;
}

} // namespace persimmon::control::detail
