#include "request_core.h"
#include "seeded_check.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace persimmon;
using namespace persimmon::entry;

namespace {

constexpr std::uint32_t retryPercent = 20;
constexpr std::uint32_t workspaces = 3;
constexpr std::uint32_t upstreams = 5;

tables modelTables(std::uint64_t version)
{
    tables values;
    values.version = version;
    values.pools = {{"p", 16, 64, 3, "buddy"}};
    for (std::uint32_t index = 0; index < workspaces; ++index) {
        const auto name = "w" + std::to_string(index);
        values.workspaces.push_back({name, index + 1, 0, {}});
        const milliseconds timeout {200};
        values.routes.push_back(
                {"r" + name, name, "", "/r" + name, "p", priority_class::Standard, true, timeout});
        values.routes.push_back(
                {"o" + name, name, "", "/o" + name, "p", priority_class::Urgent, false, timeout});
    }
    return values;
}

template <typename Container>
auto pickFrom(Container &items, std::uint32_t pick)
{
    return std::next(items.begin(), static_cast<std::ptrdiff_t>(pick % items.size()));
}

// Simulates the adapter with random events and checks every action against the event history.
class oracle
{
public:
    oracle()
        : core_({6, retryPercent, 7})
    {
        perform(core_.applyTables(now_, modelTables(1)));
        for (std::uint32_t index = 0; index < upstreams; ++index)
            view_.push_back(upstreamOf(index, 1));
        perform(core_.applyView(now_, view_, true));
        renewLease();
    }

    void apply(std::uint32_t number)
    {
        const auto pick = number / 16;
        switch (number % 16) {
        case 0:
        case 1:
        case 2:
        case 3:
        case 4:
            return receive(pick);
        case 5:
        case 6:
        case 7:
        case 8:
            return endAttempt(pick, pick % 5 == 0 ? attempt_end::Lost : attempt_end::Answered);
        case 9:
            return endAttempt(pick, static_cast<attempt_end>(pick % 5));
        case 10:
            return replyFromLedger(pick);
        case 11:
            return storeOutcome(pick);
        case 12:
            now_ += milliseconds {pick % 120};
            return perform(core_.tick(now_));
        case 13:
            return changeUpstream(pick);
        case 14:
            return pick % 3 == 0 ? expireLease() : renewLease();
        default:
            return changeShares(pick);
        }
    }

    // Completes all open work and checks that nothing is left.
    void finish()
    {
        core_.beginDrain();
        renewLease();
        for (int round = 0; round < 2000 && !core_.idle(); ++round) {
            endAttempt(0, attempt_end::Answered);
            replyFromLedger(0);
            storeOutcome(0);
            now_ += milliseconds {1};
            perform(core_.tick(now_));
        }
        RC_ASSERT(core_.idle());
        for (const auto &[id, request] : requests_)
            RC_ASSERT(request.answers == 1);
        const auto counters = core_.counters();
        RC_ASSERT(counters.retries * 100 <= counters.requests * retryPercent);
        RC_ASSERT(retries_ == counters.retries);
    }

private:
    struct model_attempt
    {
        std::string upstream;
        std::uint64_t incarnation = 0;
    };

    struct model_request
    {
        bool repeatable = true;
        int answers = 0;
        bool ledgerAllowed = false;
        bool mayHaveWritten = false; // an ended attempt may have sent bytes
        std::uint32_t attempts = 0;
        bool lastAnswered = false; // the last attempt ended with a complete answer
    };

    announcement upstreamOf(std::uint32_t index, std::uint64_t incarnation) const
    {
        announcement announced;
        announced.id = "u" + std::to_string(index);
        announced.incarnation = incarnation;
        announced.address = announced.id;
        announced.pool = "p";
        announced.slots = 8 * (1 + index % 2);
        announced.connections = 64;
        return announced;
    }

    void renewLease()
    {
        leaseUntil_ = now_ + milliseconds {400};
        perform(core_.setLease(now_, leaseUntil_));
    }

    void expireLease()
    {
        now_ = std::max(now_, leaseUntil_);
        perform(core_.tick(now_));
    }

    void receive(std::uint32_t pick)
    {
        request_info info;
        info.id = static_cast<request_id>(++lastId_);
        auto &request = requests_[info.id];
        request.repeatable = pick % 4 != 0;
        info.path = (request.repeatable ? "/rw" : "/ow") + std::to_string(pick / 4 % workspaces);
        if (!request.repeatable)
            info.key = "k" + std::to_string(pick / 16 % 6);
        perform(core_.requestReceived(now_, info));
    }

    void endAttempt(std::uint32_t pick, attempt_end end)
    {
        if (running_.empty())
            return;
        const auto item = pickFrom(running_, pick);
        const auto ref = item->first;
        auto &request = requests_.at(ref.id);
        request.mayHaveWritten = request.mayHaveWritten || end != attempt_end::NotConnected;
        request.lastAnswered = end == attempt_end::Answered && ref.attempt == request.attempts;
        running_.erase(item);
        perform(core_.attemptEnded(now_, {ref, end, 200}));
    }

    void replyFromLedger(std::uint32_t pick)
    {
        if (openQueries_.empty())
            return;
        const auto item = pickFrom(openQueries_, pick);
        const auto [id, key] = *item;
        openQueries_.erase(item);
        intent_reply reply {intent_decision::Unknown, 0, request_outcome::Unknown, {}};
        if (mayHaveRunKeys_.contains(key))
            reply.decision = pick % 2 == 0 ? intent_decision::InProgress : intent_decision::Unknown;
        else
            reply = {intent_decision::Dispatch, ++lastLedgerAttempt_, request_outcome::Unknown, {}};
        requests_.at(id).ledgerAllowed = reply.decision == intent_decision::Dispatch;
        if (pick % 7 == 6 && reply.decision != intent_decision::Dispatch)
            return perform(core_.ledgerReplied(
                    now_, id, error {result_code::NoQuorum, "unreachable", {}, {}}));
        perform(core_.ledgerReplied(now_, id, reply));
    }

    void storeOutcome(std::uint32_t pick)
    {
        if (openStores_.empty())
            return;
        const auto item = pickFrom(openStores_, pick);
        const auto id = *item;
        openStores_.erase(item);
        core_.outcomeStored(id, true);
    }

    void changeUpstream(std::uint32_t pick)
    {
        auto &target = view_[pick % upstreams];
        const auto kind = pick / upstreams % 3;
        if (kind == 0) {
            leaving_[target.id] = target.incarnation;
            core_.markLeaving(now_, {target.id, target.incarnation});
        } else if (kind == 1) {
            target = upstreamOf(pick % upstreams, target.incarnation + 1);
        }
        // The leader's view may still show a leaving upstream as serving.
        perform(core_.applyView(now_, view_, pick % 2 == 0));
    }

    void changeShares(std::uint32_t pick)
    {
        shares_.clear();
        for (std::uint32_t index = 0; index < upstreams; ++index) {
            if (pick >> index & 1U)
                shares_["u" + std::to_string(index)] = pick >> (index + 5) & 3U;
        }
        std::vector<slot_share> list;
        for (const auto &[id, slots] : shares_)
            list.push_back({id, slots});
        perform(core_.applyShares(now_, list));
    }

    std::uint32_t limitOf(const std::string &id) const
    {
        const auto share = shares_.find(id);
        if (share != shares_.end())
            return share->second;
        return id == "u1" || id == "u3" ? 2 : 1;
    }

    void perform(const actions &list)
    {
        for (const auto &item : list)
            std::visit([this](const auto &value) { check(value); }, item);
    }

    void check(const send_attempt &item)
    {
        auto &request = requests_.at(item.ref.id);
        RC_ASSERT(now_ < leaseUntil_);
        RC_ASSERT(request.answers == 0);
        RC_ASSERT(item.ref.attempt == ++request.attempts);
        RC_ASSERT(item.singleUse == !request.repeatable);
        if (!request.repeatable) {
            RC_ASSERT(request.ledgerAllowed);
            RC_ASSERT(!request.mayHaveWritten);
        }
        if (request.attempts > 1)
            ++retries_;
        request.lastAnswered = false;
        const auto current = std::ranges::find(view_, item.upstream, &announcement::id);
        const auto mark = leaving_.find(item.upstream);
        RC_ASSERT(mark == leaving_.end() || mark->second < current->incarnation);
        std::uint32_t inFlight = 0;
        for (const auto &[ref, attempt] : running_) {
            RC_ASSERT(ref.id != item.ref.id);
            inFlight += attempt.upstream == item.upstream
                            && attempt.incarnation == current->incarnation
                    ? 1
                    : 0;
        }
        RC_ASSERT(inFlight < limitOf(item.upstream));
        running_[item.ref] = {item.upstream, current->incarnation};
    }

    void check(const cancel_attempt &item) { RC_ASSERT(running_.contains(item.ref)); }

    void check(const query_ledger &item)
    {
        RC_ASSERT(!requests_.at(item.id).repeatable);
        RC_ASSERT(now_ < leaseUntil_);
        openQueries_[item.id] = item.key.workspace + item.key.key;
    }

    void check(const answer_caller &item)
    {
        auto &request = requests_.at(item.id);
        RC_ASSERT(++request.answers == 1);
        bool running = false;
        for (const auto &[ref, attempt] : running_)
            running = running || ref.id == item.id;
        if (item.outcome == request_outcome::NotRun) {
            RC_ASSERT(!request.mayHaveWritten && !running);
            // Only the ledger can determine whether an earlier request with the key has run.
            RC_ASSERT(request.repeatable || request.ledgerAllowed);
        }
        if (item.outcome == request_outcome::Ran && !item.stored) {
            RC_ASSERT(request.lastAnswered);
            RC_ASSERT(item.attempt == request.attempts);
        }
        RC_ASSERT(item.refusal.has_value() == (item.outcome != request_outcome::Ran));
    }

    void check(const store_outcome &item)
    {
        const auto &request = requests_.at(item.id);
        RC_ASSERT(request.ledgerAllowed);
        RC_ASSERT(item.attachAnswer == (item.record.outcome == request_outcome::Ran));
        if (item.record.outcome != request_outcome::NotRun)
            mayHaveRunKeys_.insert(item.record.key.workspace + item.record.key.key);
        openStores_.insert(item.id);
    }

    request_core core_;
    time_point now_ {milliseconds {1000}};
    time_point leaseUntil_;
    std::vector<announcement> view_;
    std::map<std::string, std::uint64_t> leaving_;
    std::map<std::string, std::uint32_t> shares_;
    std::map<request_id, model_request> requests_;
    std::map<attempt_ref, model_attempt> running_;
    std::map<request_id, std::string> openQueries_;
    std::set<request_id> openStores_;
    std::set<std::string> mayHaveRunKeys_;
    std::uint64_t lastId_ = 0;
    std::uint64_t lastLedgerAttempt_ = 0;
    std::uint64_t retries_ = 0;
};

} // namespace

TEST_GROUP(request_core_fuzz) {};

// Guards against lost and duplicate answers, a false not_run, a second dispatch of a request that
// is not repeatable, exceeded slots, dispatches to leaving upstreams or without the lease, and
// retries beyond the budget.
TEST(request_core_fuzz, holdsInvariantsUnderRandomEvents)
{
    const bool success = persimmon::test::checkSeeded("request core", 2000, [] {
        const auto events
                = *rc::gen::resize(400,
                                   rc::gen::container<std::vector<std::uint32_t>>(
                                           rc::gen::inRange<std::uint32_t>(0, 1U << 30U)));
        oracle model;
        for (const auto event : events)
            model.apply(event);
        model.finish();
    });
    CHECK_TRUE(success);
}
