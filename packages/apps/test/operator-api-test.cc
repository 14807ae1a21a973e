#include "apps/operator_api.h"
#include "apps/voter_change.h"
#include "test-voter.h"

#include <optional>

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::apps;

namespace {

const std::string someTables = "[route a]\nworkspace = w\npath = /a\npool = p\n[pool p]\n"
                               "[workspace w]\n";

http::request requestOf(std::string method, std::string path, std::string body = {})
{
    http::request request;
    request.method = std::move(method);
    request.path = std::move(path);
    request.body = std::move(body);
    return request;
}

http::request change(const std::string &version, const std::string &id, std::string body)
{
    auto request = requestOf("PUT", "/v1/tables", std::move(body));
    request.headers = {{"If-Match", version}, {"Change-Id", id}};
    return request;
}

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

std::string headerOf(const http::response &answer, std::string_view name)
{
    for (const auto &field : answer.headers) {
        if (field.name == name)
            return field.value;
    }
    return {};
}

} // namespace

TEST_GROUP(operator_api)
{
    http::response handleRequest(test_voter & target, const http::request &request)
    {
        operator_hooks hooks;
        hooks.startShutdown = [this] { shutDowns += 1; };
        operator_api api(*target.member, metrics, hooks);
        std::optional<http::response> answer;
        api.handle(request, [&answer](http::response response) { answer = std::move(response); });
        for (int i = 0; i < 100 && !answer; ++i)
            target.runFor(milliseconds {10});
        CHECK_TRUE(answer.has_value());
        return answer.value_or(http::response {});
    }

    control_metrics metrics;
    int shutDowns = 0;
};

TEST(operator_api, acceptsTablesAndShowsThem)
{
    test_voter leader(1);
    leader.runFor(milliseconds {1000});
    const auto accepted = handleRequest(leader, change("0", "c1", someTables));
    LONGS_EQUAL(200, accepted.status);
    CHECK_TRUE(contains(accepted.body, R"("version":1)"));
    const auto shown = handleRequest(leader, requestOf("GET", "/v1/tables"));
    STRCMP_EQUAL("1", headerOf(shown, "ETag").c_str());
    CHECK_TRUE(contains(shown.body, "[route a]"));
    CHECK_TRUE(contains(handleRequest(leader, requestOf("GET", "/v1/history")).body,
                        R"("change_id":"c1")"));
    CHECK_TRUE(contains(handleRequest(leader, requestOf("GET", "/v1/status")).body,
                        R"("role":"leader")"));
}

// Guards against accepting two changes to the same version (lost update), and against
// rejecting a resent change as a conflict with itself.
TEST(operator_api, detectsConflictsAndAcceptsRepeatedChanges)
{
    test_voter leader(1);
    leader.runFor(milliseconds {1000});
    LONGS_EQUAL(200, handleRequest(leader, change("0", "c1", someTables)).status);
    const auto conflicting = handleRequest(leader, change("0", "c2", "[pool q]\n"));
    LONGS_EQUAL(412, conflicting.status);
    CHECK_TRUE(contains(conflicting.body, R"("current_version":1)"));
    const auto repeated = handleRequest(leader, change("0", "c1", someTables));
    LONGS_EQUAL(200, repeated.status);
    CHECK_TRUE(contains(repeated.body, R"("version":1)"));
}

// Guards against a dry run that changes the tables.
TEST(operator_api, dryRunChangesNothing)
{
    test_voter leader(1);
    leader.runFor(milliseconds {1000});
    auto request = change("0", "", someTables);
    request.query = "dry_run=1";
    const auto answer = handleRequest(leader, request);
    LONGS_EQUAL(200, answer.status);
    CHECK_TRUE(contains(answer.body, R"("row":"route a")"));
    STRCMP_EQUAL("0",
                 headerOf(handleRequest(leader, requestOf("GET", "/v1/tables")), "ETag").c_str());
}

TEST(operator_api, listsEveryMistakeOfTheTables)
{
    test_voter leader(1);
    leader.runFor(milliseconds {1000});
    const auto answer
            = handleRequest(leader, change("0", "c1", "[route a]\nspeed = 1\npath = /a\n"));
    LONGS_EQUAL(422, answer.status);
    for (const auto *key : {R"("key":"speed")", R"("key":"workspace")", R"("key":"pool")"})
        CHECK_TRUE(contains(answer.body, key));
}

TEST(operator_api, refusesChangesWithoutVersionOrId)
{
    test_voter leader(1);
    leader.runFor(milliseconds {1000});
    CHECK_TRUE(contains(handleRequest(leader, change("", "c1", someTables)).body,
                        R"("field":"If-Match")"));
    CHECK_TRUE(
            contains(handleRequest(leader, change("x", "c1", someTables)).body, "invalid_value"));
    CHECK_TRUE(contains(handleRequest(leader, change("0", "", someTables)).body,
                        R"("field":"Change-Id")"));
}

// Guards against a voter without a quorum that returns stale tables or accepts changes.
TEST(operator_api, voterWithoutLeaderAnswersNotLeader)
{
    test_voter isolated(3);
    isolated.runFor(milliseconds {2000});
    for (const auto *path : {"/v1/tables", "/v1/status", "/v1/history", "/v1/explain/1"}) {
        const auto answer = handleRequest(isolated, requestOf("GET", path));
        LONGS_EQUAL(503, answer.status);
        CHECK_TRUE(contains(answer.body, "not_leader"));
    }
    LONGS_EQUAL(503, handleRequest(isolated, change("0", "c1", someTables)).status);
    LONGS_EQUAL(503, handleRequest(isolated, requestOf("GET", "/readyz")).status);
    LONGS_EQUAL(503, handleRequest(isolated, requestOf("POST", "/v1/drain/entry-1")).status);
    LONGS_EQUAL(200, handleRequest(isolated, requestOf("GET", "/healthz")).status);
    LONGS_EQUAL(200, handleRequest(isolated, requestOf("GET", "/v1/voter")).status);
}

TEST(operator_api, drainRejectsUnknownInstances)
{
    test_voter leader(1);
    leader.runFor(milliseconds {1000});
    LONGS_EQUAL(404, handleRequest(leader, requestOf("POST", "/v1/drain/entry-9")).status);
    LONGS_EQUAL(404, handleRequest(leader, requestOf("POST", "/v1/drain/voter-9")).status);
    LONGS_EQUAL(0, shutDowns);
    LONGS_EQUAL(200, handleRequest(leader, requestOf("POST", "/v1/drain/voter-1")).status);
    LONGS_EQUAL(1, shutDowns);
}

// Guards against an order that a voter finds after it has stood still and obeys, although its
// client has given it again to another voter since, and perhaps the opposite one.
TEST(operator_api, refusesOrdersThatMayBeOld)
{
    test_voter leader(1);
    leader.runFor(milliseconds {1000});
    for (const auto *path : {"/v1/drain/voter-1", "/v1/voters"}) {
        auto order = requestOf("POST", path, R"({"action":"remove","id":2})");
        order.arrivedAfter = leader.member->now() - milliseconds {2000};
        LONGS_EQUAL(503, handleRequest(leader, order).status);
        order.arrivedAfter = leader.member->now();
        order.isAbandoned = true;
        LONGS_EQUAL(503, handleRequest(leader, order).status);
    }
    LONGS_EQUAL(0, shutDowns);
    auto order = requestOf("POST", "/v1/drain/voter-1");
    order.arrivedAfter = leader.member->now() - milliseconds {100};
    LONGS_EQUAL(200, handleRequest(leader, order).status);
    LONGS_EQUAL(1, shutDowns);
}

TEST(operator_api, validatesVoterChanges)
{
    const auto codeOf = [](std::string_view body) {
        const auto change = readVoterChange(body);
        return failed(change) ? errorOf(change).code : result_code::Ok;
    };
    CHECK_TRUE(codeOf(R"({"action":"add","id":4})") == result_code::Ok);
    CHECK_TRUE(codeOf("{") == result_code::MalformedRequest);
    CHECK_TRUE(codeOf(R"({"action":"add"})") == result_code::MissingField);
    CHECK_TRUE(codeOf(R"({"action":"add","id":4,"force":true})") == result_code::UnknownField);
    CHECK_TRUE(codeOf(R"({"action":"add","id":0})") == result_code::InvalidValue);
    CHECK_TRUE(codeOf(R"({"action":"swap","id":4})") == result_code::InvalidValue);
}

// Guards against adding a voter whose address is not in the settings.
TEST(operator_api, rejectsVotersMissingFromTheSettings)
{
    test_voter leader(1);
    leader.runFor(milliseconds {1000});
    const auto answer
            = handleRequest(leader, requestOf("POST", "/v1/voters", R"({"action":"add","id":9})"));
    LONGS_EQUAL(400, answer.status);
}

TEST(operator_api, metricsShowLeadershipAndCommits)
{
    test_voter leader(1);
    leader.member->observeCommits([this](double seconds) { metrics.observeCommit(seconds); });
    leader.runFor(milliseconds {1000});
    handleRequest(leader, change("0", "c1", someTables));
    const auto text = handleRequest(leader, requestOf("GET", "/metrics")).body;
    CHECK_TRUE(contains(text, "persimmon_control_role{role=\"leader\"} 1"));
    CHECK_TRUE(contains(text, "persimmon_configuration_version 1"));
    CHECK_TRUE(contains(text, "persimmon_log_commit_seconds_count 1"));
    CHECK_TRUE(contains(text, "persimmon_waiting_jobs 0"));
}

TEST(operator_api, answersUnknownPathsWithNotFound)
{
    test_voter leader(1);
    LONGS_EQUAL(404, handleRequest(leader, requestOf("GET", "/v1/nothing")).status);
    LONGS_EQUAL(404, handleRequest(leader, requestOf("DELETE", "/v1/tables")).status);
    LONGS_EQUAL(404, handleRequest(leader, requestOf("GET", "/v1/explain/")).status);
}
