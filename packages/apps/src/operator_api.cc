#include "apps/operator_api.h"

#include "apps/json_views.h"
#include "apps/voter_change.h"
#include "base/client_counts.h"
#include "base/log.h"

#include <algorithm>
#include <array>

namespace persimmon::apps {

namespace {

constexpr std::size_t maxChangeIdLength = 128;

// Clients wait for two seconds at least before they try another voter.
constexpr milliseconds maxOrderAge {1500};

http::response jsonResponse(std::string body)
{
    http::response answer;
    answer.body = std::move(body);
    return answer;
}

http::response textResponse(std::string body)
{
    http::response answer;
    answer.contentType = "text/plain; charset=utf-8";
    answer.body = std::move(body);
    return answer;
}

error invalidValueError(std::string_view field, std::string allowed)
{
    return {result_code::InvalidValue, std::move(allowed), std::string(field), {}};
}

// Parameters of a change of the tables, without the rows.
struct change_request
{
    std::uint64_t expectedVersion = 0;
    std::string changeId;
    bool dryRun = false;
};

result<change_request> readChange(const http::request &request)
{
    change_request change;
    change.dryRun = http::queryValue(request.query, "dry_run") == "1";
    auto version = request.find("If-Match");
    if (version.empty())
        return error {result_code::MissingField, "the expected version", "If-Match", {}};
    if (version.size() > 2 && version.front() == '"' && version.back() == '"')
        version = version.substr(1, version.size() - 2);
    const auto number = parseNumber(version, 0, UINT64_MAX);
    if (failed(number))
        return invalidValueError("If-Match", errorOf(number).detail);
    change.expectedVersion = valueOf(number);
    change.changeId = request.find("Change-Id");
    if (change.changeId.empty() && !change.dryRun)
        return error {result_code::MissingField, "a unique id of the change", "Change-Id", {}};
    if (change.changeId.size() > maxChangeIdLength)
        return invalidValueError("Change-Id", "at most 128 characters");
    return change;
}

constexpr std::string_view voterPrefix = "voter-";

} // namespace

operator_api::operator_api(voter &target, control_metrics &metrics, operator_hooks hooks)
    : voter_(target)
    , metrics_(metrics)
    , hooks_(std::move(hooks))
{
}

const operator_api::endpoint *operator_api::findEndpoint(const http::request &request)
{
    using api = operator_api;
    static constexpr std::array<endpoint, 11> endpoints {{
            {"GET", "/v1/tables", &api::getTables, true},
            {"PUT", "/v1/tables", &api::putTables, false},
            {"GET", "/v1/history", &api::getHistory, true},
            {"GET", "/v1/status", &api::getStatus, true},
            {"GET", "/v1/voter", &api::getVoter, false},
            {"GET", "/v1/explain/", &api::explain, true},
            {"POST", "/v1/drain/", &api::drain, false},
            {"POST", "/v1/voters", &api::changeVoters, false},
            {"GET", "/healthz", &api::getHealth, false},
            {"GET", "/readyz", &api::getReadiness, false},
            {"GET", "/metrics", &api::getMetrics, false},
    }};
    const auto matches = [&](const endpoint &item) {
        if (item.method != request.method)
            return false;
        if (item.path.ends_with('/'))
            return request.path.starts_with(item.path) && request.path.size() > item.path.size();
        return request.path == item.path;
    };
    const auto *found = std::ranges::find_if(endpoints, matches);
    return found == endpoints.end() ? nullptr : found;
}

void operator_api::handle(const http::request &request, const http::server::reply &reply)
{
    const auto *matched = findEndpoint(request);
    if (matched == nullptr) {
        reply(errorResponse({result_code::NotFound, request.method + " " + request.path, {}, {}}));
        return;
    }
    if (matched->needsReads) {
        if (const auto ready = voter_.checkReads(); failed(ready)) {
            reply(errorResponse(errorOf(ready)));
            return;
        }
    }
    // Other changes name the version that they change.
    if (request.method == "POST" && mayBeOutdated(request)) {
        reply(errorResponse({result_code::NotReady, "the order may be old", {}, {}}));
        return;
    }
    const auto id = matched->path.ends_with('/')
            ? std::string_view(request.path).substr(matched->path.size())
            : std::string_view {};
    if (request.method == "GET") {
        (this->*matched->handle)(request, id, reply);
        return;
    }
    const auto label = request.method + " " + request.path;
    const auto started = voter_.now();
    (this->*matched->handle)(request, id, [this, label, started, reply](http::response answer) {
        const auto elapsed = std::chrono::duration_cast<milliseconds>(voter_.now() - started);
        logFor("operator")
                ->info("{} returned status {} after {} ms", label, answer.status, elapsed.count());
        reply(std::move(answer));
    });
}

// An order that has no version may have waited for longer than its client, who has given it again
// to another voter since, and perhaps a newer one.
bool operator_api::mayBeOutdated(const http::request &request) const
{
    const auto now = voter_.now();
    const auto age = now - request.arrivedAfter.value_or(now);
    if (!request.isAbandoned && age <= maxOrderAge)
        return false;
    logFor("operator")
            ->info("refused {} {}, which may be {} ms old{}", request.method, request.path,
                   std::chrono::duration_cast<milliseconds>(age).count(),
                   request.isAbandoned ? " and whose client is gone" : "");
    return true;
}

void operator_api::getTables(const http::request &request, std::string_view,
                             const http::server::reply &reply)
{
    const auto &current = voter_.ledger().currentTables();
    auto answer = http::queryValue(request.query, "format") == "json"
            ? jsonResponse(tablesJson(current))
            : textResponse(formatTables(current));
    answer.headers.push_back({"ETag", std::to_string(current.version)});
    reply(std::move(answer));
}

void operator_api::putTables(const http::request &request, std::string_view,
                             const http::server::reply &reply)
{
    if (const auto ready = voter_.checkLeadership(); failed(ready)) {
        reply(errorResponse(errorOf(ready)));
        return;
    }
    const auto change = readChange(request);
    if (failed(change)) {
        reply(errorResponse(errorOf(change)));
        return;
    }
    const auto parsed = parseTables(request.body);
    if (!parsed.errors.empty()) {
        auto answer = jsonResponse(mistakesJson(parsed.errors));
        answer.status = describe(result_code::InvalidTable).httpStatus;
        reply(std::move(answer));
        return;
    }
    const auto &[expectedVersion, changeId, dryRun] = valueOf(change);
    voter_.coordinator().applyTables(
            voter_.now(), parsed.values, expectedVersion, changeId, dryRun,
            [this, reply, dryRun = dryRun](const result<control::apply_outcome> &outcome) {
                if (!failed(outcome)) {
                    reply(jsonResponse(applyJson(valueOf(outcome), dryRun)));
                    return;
                }
                auto answer = errorResponse(errorOf(outcome));
                if (errorOf(outcome).code == result_code::VersionConflict)
                    answer.body = conflictJson(errorOf(outcome),
                                               voter_.ledger().currentTables().version);
                reply(std::move(answer));
            });
}

void operator_api::getHistory(const http::request &, std::string_view,
                              const http::server::reply &reply)
{
    reply(jsonResponse(historyJson(voter_.ledger().history())));
}

void operator_api::getStatus(const http::request &, std::string_view,
                             const http::server::reply &reply)
{
    reply(jsonResponse(statusJson(voter_)));
}

void operator_api::getVoter(const http::request &, std::string_view,
                            const http::server::reply &reply)
{
    reply(jsonResponse(voterJson(voter_)));
}

void operator_api::explain(const http::request &, std::string_view id,
                           const http::server::reply &reply)
{
    const auto number = parseNumber(id, 1, UINT64_MAX);
    if (failed(number)) {
        reply(errorResponse(invalidValueError("id", errorOf(number).detail)));
        return;
    }
    const auto job = voter_.ledger().findJob(static_cast<job_id>(valueOf(number)));
    if (job)
        reply(jsonResponse(explainJson(*job)));
    else
        reply(errorResponse({result_code::NotFound, "no such job", "id", {}}));
}

void operator_api::drain(const http::request &, std::string_view id,
                         const http::server::reply &reply)
{
    const auto replyWith = [this, reply](const status &outcome) {
        reply(failed(outcome) ? errorResponse(errorOf(outcome))
                              : jsonResponse(R"({"draining":true})"));
    };
    if (id.starts_with(voterPrefix)) {
        const auto number = parseNumber(id.substr(voterPrefix.size()), 1, 1000);
        if (failed(number)) {
            reply(errorResponse(invalidValueError("id", "voter-NUMBER")));
        } else if (valueOf(number) == voter_.values().voterId) {
            replyWith(std::monostate {});
            hooks_.startShutdown();
        } else {
            hooks_.drainVoter(static_cast<std::uint32_t>(valueOf(number)), replyWith);
        }
        return;
    }
    if (const auto ready = voter_.checkReads(); failed(ready))
        replyWith(ready);
    else
        replyWith(voter_.coordinator().drainEntry(std::string(id)));
}

void operator_api::changeVoters(const http::request &request, std::string_view,
                                const http::server::reply &reply)
{
    const auto change = readVoterChange(request.body);
    if (failed(change)) {
        reply(errorResponse(errorOf(change)));
        return;
    }
    const auto &[id, add] = valueOf(change);
    voter_.changeVoter(id, add, [this, reply](const result<std::monostate> &outcome) {
        reply(failed(outcome) ? errorResponse(errorOf(outcome)) : jsonResponse(voterJson(voter_)));
    });
}

void operator_api::getHealth(const http::request &, std::string_view,
                             const http::server::reply &reply)
{
    reply(textResponse("ok\n"));
}

void operator_api::getReadiness(const http::request &, std::string_view,
                                const http::server::reply &reply)
{
    if (stopping_)
        reply(errorResponse({result_code::Stopping, "this voter is shutting down", {}, {}}));
    else if (voter_.leaderHint() == 0)
        reply(errorResponse({result_code::NotReady, "no known leader", {}, {}}));
    else
        reply(textResponse("ready\n"));
}

void operator_api::getMetrics(const http::request &, std::string_view,
                              const http::server::reply &reply)
{
    auto answer = textResponse(metrics_.serialize(voter_) + clientMetrics());
    answer.contentType = "text/plain; version=0.0.4";
    reply(std::move(answer));
}

http::response operator_api::errorResponse(const error &reason) const
{
    auto answer = http::refusal(reason);
    const auto address = voter_.httpAddressOf(voter_.leaderHint());
    if (reason.code == result_code::NotLeader && !address.empty())
        answer.headers.push_back({"Persimmon-Leader", address});
    return answer;
}

} // namespace persimmon::apps
