#include "proxy_service.h"

#include "base/log.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace persimmon::entry {

namespace {

// Precision of request deadlines.
constexpr milliseconds tickPeriod {10};

constexpr milliseconds idleClientCheckInterval {10000};
constexpr std::chrono::seconds idleClientTimeout {60};

// An outcome is retried with exponential back-off while the leader is unreachable. After this time
// the entry's lease has expired and the ledger has closed the intent as unknown.
constexpr std::chrono::seconds outcomeRetryWindow {30};
constexpr milliseconds outcomeCallTimeout {2000};
constexpr milliseconds maxOutcomeBackOff {2000};

constexpr std::string_view timeoutField = "Persimmon-Timeout-Ms";
constexpr std::string_view outcomeField = "Persimmon-Outcome";

std::uint64_t digestOf(const http::request &request)
{
    const auto text
            = request.method + "\n" + request.rawPath + "\n" + request.query + "\n" + request.body;
    return XXH64(text.data(), text.size(), 0);
}

std::optional<milliseconds> timeoutOf(const http::request &request)
{
    const auto text = request.find(timeoutField);
    std::uint32_t value = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || code != std::errc {} || end != text.data() + text.size() || value == 0)
        return std::nullopt;
    return milliseconds {value};
}

milliseconds remainingTime(time_point deadline, time_point now)
{
    return std::max(std::chrono::duration_cast<milliseconds>(deadline - now), milliseconds {1});
}

} // namespace

proxy_service::proxy_service(wire::event_loop &loop, const settings &values, control_link &link,
                             entry_metrics &metrics, std::uint64_t incarnation)
    : loop_(loop)
    , values_(values)
    , link_(link)
    , metrics_(metrics)
    , incarnation_(incarnation)
    , core_({values.queueLength, values.retryPercent, incarnation})
    , client_(upstream_client::create(loop, values.maxBodyBytes))
    , alive_(std::make_shared<bool>(true))
{
    timers_.push_back(
            loop_.timers().every(tickPeriod, [this](time_point now) { perform(core_.tick(now)); }));
    timers_.push_back(loop_.timers().every(idleClientCheckInterval, [this](time_point now) {
        client_->closeIdle(now - idleClientTimeout);
    }));
}

proxy_service::~proxy_service()
{
    *alive_ = false;
    for (const auto id : timers_)
        loop_.timers().cancel(id);
}

void proxy_service::abandon()
{
    for (auto &[id, item] : open_) {
        auto response = http::refusal({result_code::Stopping, "this instance is stopping", {}, {}});
        response.headers.push_back(
                {std::string(outcomeField), std::string(toName(request_outcome::Unknown))});
        item.reply(std::move(response));
    }
    open_.clear();
}

void proxy_service::handle(http::request request, http::server::reply reply)
{
    request_info info;
    info.id = static_cast<request_id>(++lastId_);
    info.host = std::string(request.find("Host"));
    info.path = request.path;
    info.key = std::string(request.find("Idempotency-Key"));
    info.digest = digestOf(request);
    info.timeout = timeoutOf(request);
    open_.emplace(info.id, open_request {std::move(request), std::move(reply), {}});
    perform(core_.requestReceived(loop_.now(), std::move(info)));
}

void proxy_service::apply(const sync_effects &effects)
{
    const auto now = loop_.now();
    if (effects.newTables) {
        const auto previousVersion = core_.version();
        perform(core_.applyTables(now, *effects.newTables));
        if (core_.version() != previousVersion)
            logFor("entry")->info("tables {} are in force", core_.version());
    }
    if (effects.viewChanged)
        perform(core_.applyView(now, effects.upstreams, effects.fullView));
    if (effects.shares && values_.slotSharing == "lending")
        perform(core_.applyShares(now, *effects.shares));
    if (effects.leaseUntil)
        perform(core_.setLease(now, *effects.leaseUntil));
}

void proxy_service::markLeaving(const upstream_key &key)
{
    core_.markLeaving(loop_.now(), key);
}

void proxy_service::perform(const actions &list)
{
    for (const auto &item : list)
        std::visit([this](const auto &value) { perform(value); }, item);
}

void proxy_service::perform(const send_attempt &item)
{
    const auto &source = open_.at(item.ref.id).request;
    outgoing_request request;
    request.method = source.method;
    request.target = source.query.empty() ? source.rawPath : source.rawPath + "?" + source.query;
    request.headers = endToEnd(source.headers);
    std::erase_if(request.headers,
                  [](const http::header &field) { return field.name == timeoutField; });
    const auto remaining = remainingTime(item.deadline, loop_.now());
    request.headers.push_back({std::string(timeoutField), std::to_string(remaining.count())});
    request.body = source.body;
    client_->send(
            item.ref, item.address, item.singleUse, request,
            [this, ref = item.ref](attempt_answer answer) { endAttempt(ref, std::move(answer)); });
}

void proxy_service::endAttempt(attempt_ref ref, attempt_answer answer)
{
    const attempt_report report {ref, answer.end, static_cast<std::uint16_t>(answer.status)};
    if (answer.end != attempt_end::Answered)
        logFor("proxy")->info("attempt {} of request {} failed: {}", ref.attempt,
                              static_cast<std::uint64_t>(ref.id), answer.detail);
    const auto found = open_.find(ref.id);
    if (found != open_.end())
        found->second.answer = std::move(answer);
    perform(core_.attemptEnded(loop_.now(), report));
}

void proxy_service::perform(const cancel_attempt &item)
{
    client_->cancel(item.ref);
}

void proxy_service::perform(const query_ledger &item)
{
    const intent_request request {item.key, item.digest, values_.instanceId, incarnation_};
    const auto now = loop_.now();
    link_.recordIntent(request, remainingTime(item.deadline, now),
                       [this, alive = alive_, id = item.id](const result<intent_reply> &reply) {
                           if (*alive)
                               perform(core_.ledgerReplied(loop_.now(), id, reply));
                       });
}

void proxy_service::perform(const answer_caller &item)
{
    const auto found = open_.find(item.id);
    auto &source = found->second;
    http::response response;
    if (item.refusal) {
        response = http::refusal(*item.refusal);
    } else if (item.stored) {
        response.status = item.stored->status;
        response.contentType = item.stored->contentType;
        response.body = item.stored->body;
    } else {
        response.status = source.answer.status;
        response.contentType = std::move(source.answer.contentType);
        response.headers = std::move(source.answer.headers);
        response.body = std::move(source.answer.body);
    }
    std::erase_if(response.headers,
                  [](const http::header &field) { return field.name == outcomeField; });
    response.headers.push_back({std::string(outcomeField), std::string(toName(item.outcome))});
    metrics_.observe(item);
    if (item.refusal)
        logFor("proxy")->info("request {} of route '{}' refused: {} ({}), {}",
                              static_cast<std::uint64_t>(item.id), item.route,
                              describe(item.refusal->code).name, item.refusal->detail,
                              toName(item.outcome));
    const auto reply = std::move(source.reply);
    open_.erase(found);
    reply(std::move(response));
}

void proxy_service::perform(const store_outcome &item)
{
    auto write = std::make_shared<outcome_write>();
    write->id = item.id;
    write->record = item.record;
    write->retryUntil = loop_.now() + outcomeRetryWindow;
    if (item.attachAnswer) {
        const auto &answer = open_.at(item.id).answer;
        write->record.stored
                = {static_cast<std::uint16_t>(answer.status), answer.contentType, answer.body};
    }
    writeOutcome(write);
}

void proxy_service::writeOutcome(const std::shared_ptr<outcome_write> &write)
{
    link_.recordOutcome(write->record, outcomeCallTimeout,
                        [this, alive = alive_, write](const result<std::monostate> &written) {
                            if (*alive)
                                outcomeWritten(write, written);
                        });
}

void proxy_service::outcomeWritten(const std::shared_ptr<outcome_write> &write,
                                   const result<std::monostate> &written)
{
    if (!failed(written)) {
        core_.outcomeStored(write->id, true);
        return;
    }
    const auto &reason = errorOf(written);
    if (!describe(reason.code).retryable || loop_.now() >= write->retryUntil) {
        logFor("proxy")->warn("outcome of request {} not recorded: {}",
                              static_cast<std::uint64_t>(write->id), reason.detail);
        core_.outcomeStored(write->id, false);
        return;
    }
    loop_.timers().after(write->backOff, [this, alive = alive_, write](time_point /*now*/) {
        if (*alive)
            writeOutcome(write);
    });
    write->backOff = std::min(write->backOff * 2, maxOutcomeBackOff);
}

} // namespace persimmon::entry
