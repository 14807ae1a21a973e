#include "apps/ctl_commands.h"
#include "apps/ctl_views.h"

#include <deque>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::apps;

namespace {

// Returns scripted responses and records the requests.
class scripted_client final : public operator_client
{
public:
    result<operator_answer> callVoter(const std::string &, const operator_call &call,
                                      milliseconds timeout) override
    {
        return callLeader(call, timeout);
    }

    result<operator_answer> callLeader(const operator_call &call, milliseconds) override
    {
        calls.push_back(call);
        if (answers.empty())
            return error {result_code::RpcFailed, "no more answers", {}, {}};
        auto next = answers.front();
        if (answers.size() > 1)
            answers.pop_front();
        return next;
    }

    std::deque<result<operator_answer>> answers; // the last one repeats
    std::vector<operator_call> calls;
};

operator_answer ok(std::string body, std::string version = {})
{
    return {200, std::move(version), {}, std::move(body)};
}

std::string statusJson(std::uint64_t version, std::uint64_t entryVersion, std::uint64_t lease)
{
    const auto text = [](std::uint64_t number) { return std::to_string(number); };
    return R"({"voter":{"id":1,"role":"leader","leader":1,"leader_address":"127.0.0.1:7101",)"
           R"("term":2,"committed":9,"peers":[{"id":1,"voter":true,"matched":9}]},)"
           R"("rollout":{"version":)"
            + text(version) + R"(,"complete":)"
            + (entryVersion >= version || lease == 0 ? "true" : "false")
            + R"(,"entries":[{"id":"entry-1","address":"127.0.0.1:8081","region":"r","zone":"a",)"
              R"("applied_version":)"
            + text(entryVersion) + R"(,"lease_left_ms":)" + text(lease)
            + R"(,"stopping":false}]},"upstreams":[],"quarantined":[],"pools":[],"workspaces":[],)"
              R"("waiting_jobs":3,"running_jobs":1})";
}

const std::string accepted
        = R"({"version":5,"dry_run":false,"changes":[{"sign":"+","row":"route boards"}]})";

} // namespace

TEST_GROUP(ctl)
{
    int runWith(std::string command, std::vector<std::string> operands)
    {
        arguments.command = std::move(command);
        arguments.operands = std::move(operands);
        arguments.control = {"127.0.0.1:7101"};
        return runCommand(arguments, client, output, errors);
    }

    bool outputContains(std::string_view part)
    {
        return output.str().find(part) != std::string::npos;
    }

    ctl_arguments arguments;
    scripted_client client;
    std::ostringstream output;
    std::ostringstream errors;
};

TEST(ctl, applyWaitsUntilTheVersionIsInForce)
{
    client.answers
            = {ok("", "4"), ok(accepted), ok(statusJson(5, 4, 900)), ok(statusJson(5, 5, 900))};
    LONGS_EQUAL(0, runWith("apply", {"test/data/tables.ini"}));
    STRCMP_EQUAL("If-Match", client.calls[1].headers[0].first.c_str());
    STRCMP_EQUAL("4", client.calls[1].headers[0].second.c_str());
    CHECK_TRUE(outputContains("version 5 accepted"));
    CHECK_TRUE(outputContains("entry-1"));
    CHECK_TRUE(outputContains("in force on 1 entries"));
}

// Guards against reporting success while an entry still serves an older version.
TEST(ctl, applyFailsWhenAnEntryKeepsAnOlderVersion)
{
    arguments.timeout = milliseconds {300};
    client.answers = {ok("", "4"), ok(accepted), ok(statusJson(5, 4, 900))};
    LONGS_EQUAL(35, runWith("apply", {"test/data/tables.ini"}));
    CHECK_TRUE(errors.str().find("not in force everywhere yet") != std::string::npos);
}

// Guards against exit code 0 on a version conflict, which scripts would treat as success.
TEST(ctl, applyReportsAConflictByItsExitCode)
{
    arguments.expectedVersion = 3;
    client.answers = {operator_answer {
            412, {}, {}, R"({"code":4001,"name":"version_conflict","detail":"4","field":""})"}};
    LONGS_EQUAL(20, runWith("apply", {"test/data/tables.ini"}));
    LONGS_EQUAL(1, client.calls.size());
}

// Guards against sending tables to the leader that fail local validation.
TEST(ctl, applyListsMistakesWithoutAnyCall)
{
    LONGS_EQUAL(22, runWith("apply", {"test/data/mistakes.ini"}));
    LONGS_EQUAL(0, client.calls.size());
    CHECK_TRUE(errors.str().find("[instance]") != std::string::npos);
    CHECK_TRUE(errors.str().find("[control]") != std::string::npos);
}

TEST(ctl, dryRunShowsChangedRows)
{
    arguments.dryRun = true;
    client.answers = {ok("", "4"), ok(accepted)};
    LONGS_EQUAL(0, runWith("apply", {"test/data/tables.ini"}));
    STRCMP_EQUAL("would change: +route boards\n", output.str().c_str());
    CHECK_TRUE(client.calls[1].path.ends_with("dry_run=1"));
}

// Guards against a lost response whose change id the operator can't reuse for the retry.
TEST(ctl, lostResponseNamesTheChangeId)
{
    arguments.changeId = "c77";
    client.answers = {ok("", "4"), error {result_code::RpcFailed, "lost", {}, {}}};
    LONGS_EQUAL(34, runWith("apply", {"test/data/tables.ini"}));
    CHECK_TRUE(errors.str().find("--change-id c77 --expect-version 4") != std::string::npos);
}

TEST(ctl, statusShowsLeaderAndEntries)
{
    client.answers = {ok(statusJson(5, 5, 900))};
    LONGS_EQUAL(0, runWith("status", {}));
    CHECK_TRUE(outputContains("leader: voter 1 at 127.0.0.1:7101, term 2"));
    CHECK_TRUE(outputContains("tables: version 5, in force everywhere"));
    CHECK_TRUE(outputContains("jobs: 3 waiting, 1 running"));
}

TEST(ctl, explainShowsEachStep)
{
    client.answers = {ok(
            R"({"id":7,"state":"waiting","attempt":0,"workspace":"w","pool":"p","class":"urgent",)"
            R"("tasks":2,"accelerators":8,"code":0,"name":"ok","records":[{"at_ms":1500,)"
            R"("kind":"waiting","reason":"no_free_block","code":0,"name":"ok","other":0,)"
            R"("detail":"2 workers with 8 accelerators"}]})")};
    LONGS_EQUAL(0, runWith("explain", {"7"}));
    CHECK_TRUE(outputContains("job 7 of w: waiting"));
    CHECK_TRUE(outputContains("1970-01-01T00:00:01.500Z  waiting  no_free_block"));
}

// Guards against an explanation without the reason for which the job waits now.
TEST(ctl, explainShowsWhatTheJobWaitsFor)
{
    client.answers = {ok(
            R"({"id":"j","state":"queued","attempt":0,"workspace":"w","pool":"p","class":"urgent",)"
            R"("tasks":2,"accelerators":8,"records":[],)"
            R"("waits":[{"task":"0.0.0","why":"evacuated","room":0,"in_use_percent":40}]})")};
    LONGS_EQUAL(0, runWith("explain", {"j"}));
    CHECK_TRUE(outputContains("0.0.0  evacuated  0"));
}

// Guards against an order to a zone that is sent as the contrary one.
TEST(ctl, zonesAreEvacuatedAndRestored)
{
    client.answers = {ok("{}")};
    LONGS_EQUAL(0, runWith("evacuate", {"north"}));
    LONGS_EQUAL(0, runWith("restore", {"north"}));
    STRCMP_EQUAL("POST", client.calls[0].method.c_str());
    STRCMP_EQUAL("/v1/evacuations/north", client.calls[0].path.c_str());
    STRCMP_EQUAL("DELETE", client.calls[1].method.c_str());
    CHECK_TRUE(outputContains("zone north: evacuated\nzone north: open\n"));
}

// Guards against an order whose outcome isn't known, and which the operator takes for refused.
TEST(ctl, evacuationWithUnknownOutcomeAsksForARepetition)
{
    client.answers = {operator_answer {
            503, {}, {}, R"({"code":3002,"name":"outcome_unknown","detail":"","field":""})"}};
    CHECK_TRUE(runWith("evacuate", {"north"}) != 0);
    CHECK_TRUE(errors.str().find("repeat it") != std::string::npos);
}

TEST(ctl, zonesShowsWhatIsLeft)
{
    client.answers
            = {ok(R"([{"zone":"north","evacuated":true,"since_ms":1500,"workers":3,"runs":2},)"
                  R"({"zone":"south","evacuated":false,"since_ms":0,"workers":4,"runs":9}])")};
    LONGS_EQUAL(0, runWith("zones", {}));
    CHECK_TRUE(outputContains("north  1970-01-01T00:00:01.500Z  3        2"));
    CHECK_TRUE(outputContains("south  -                         4        9"));
}

// Guards against a crash on a response from another program or version.
TEST(ctl, unexpectedResponseFormatIsAnError)
{
    client.answers = {ok(R"({"hello":1})")};
    LONGS_EQUAL(70, runWith("history", {}));
    LONGS_EQUAL(70, runWith("status", {}));
}

// Guards against a command that ignores its time limit when no voter is reachable.
TEST(ctl, unreachableVotersGiveRpcFailed)
{
    const auto real = operator_client::create({"127.0.0.1:1", "127.0.0.1:2"});
    const auto answer = real->callLeader({"GET", "/v1/status"}, milliseconds {300});
    CHECK_TRUE(errorOf(answer).code == result_code::RpcFailed);
}
