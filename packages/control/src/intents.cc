#include "intents.h"

namespace persimmon::control {

void intents::record(const intent_request &request, coordinator::completion<intent_reply> done)
{
    if (!entries_.mayServe(request.entryId, request.entryIncarnation))
        return done(error {result_code::NotReady, "the entry holds no lease", {}, {}});
    shared_.commitAndAnswer<intent_reply>(record_intent {request}, std::move(done),
                                          [](const reply &answer) { return answer.intent; });
}

void intents::record(const outcome_record &record, coordinator::completion<std::monostate> done)
{
    shared_.commitAndAnswer<std::monostate>(record_outcome {record}, std::move(done),
                                            [](const reply &) { return std::monostate {}; });
}

void intents::tick()
{
    std::vector<entry_incarnation> expired;
    for (const auto &[owner, keys] : shared_.data().openIntents)
        if (!entries_.mayServe(owner.first, owner.second))
            expired.push_back(owner);
    for (const auto &owner : expired) {
        if (!expiring_.insert(owner).second)
            continue;
        shared_.commit(expire_intents {owner.first, owner.second},
                       [this, owner](const auto &) { expiring_.erase(owner); });
    }
}

} // namespace persimmon::control
