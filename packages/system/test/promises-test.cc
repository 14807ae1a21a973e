// Process-level tests of the system's guarantees: the real programs on loopback, with killed and
// suspended processes. The time limits come from docs/design.md.
#include "local_system.h"

#include "tools/load.h"

#include <chrono>
#include <csignal>
#include <set>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::system_test;

namespace {

const std::string requestTables = R"([route boards]
workspace = moreton
path = /boards/
pool = boards
[route dial]
workspace = moreton
path = /dial/
pool = boards
repeatable = false
[pool boards]
[workspace moreton]
)";

std::string jobTables()
{
    return "[pool gpu]\n[workspace moreton]\nguarantee = gpu:1*2x8\n[workspace ceiba]\n";
}

std::string jobBody(const std::string &workspace, int tasks, int accelerators,
                    const std::string &extra = "")
{
    return R"({"workspace":")" + workspace + R"(","pool":"gpu","tasks":)" + std::to_string(tasks)
            + R"(,"accelerators":)" + std::to_string(accelerators)
            + R"(,"cores":1,"memory_mb":64,"declared_seconds":1)" + extra + "}";
}

// An entry may still lack the tables when they are accepted: they are in force on the entries that
// the leader knows, and an entry that hasn't reached the leader yet refuses jobs as not ready.
constexpr milliseconds tablesLimit {10000};

// Submits a job, and again with the same key while the entry has no tables, as a client would.
// Returns the id of the accepted job. Fails the test if it is refused for another reason.
std::uint64_t submit(const std::string &entry, const std::string &key, const std::string &body)
{
    http_response answer;
    waitUntil(tablesLimit, [&] {
        answer = call(entry, "POST", "/v1/jobs", body, {{"Idempotency-Key", key}});
        return answer.body.find(R"("name":"not_ready")") == std::string::npos;
    });
    LONGS_EQUAL_TEXT(202, answer.status, answer.body.c_str());
    return answer.json().at("id").as_number().to_uint64();
}

std::string jobState(const std::string &entry, std::uint64_t id)
{
    const auto answer = call(entry, "GET", "/v1/jobs/" + std::to_string(id));
    if (answer.status != 200)
        return "status " + std::to_string(answer.status);
    return answer.json().at("state").as_string();
}

bool waitForState(const std::string &entry, std::uint64_t id, const std::string &state,
                  milliseconds limit)
{
    return waitUntil(limit, [&] { return jobState(entry, id) == state; });
}

// Waits until every entry serves the route from an upstream.
bool waitForRoute(local_system &system, const std::string &path)
{
    return waitUntil(milliseconds {15000}, [&] {
        for (const auto &entry : system.entryAddresses()) {
            if (call(entry, "GET", path, {}, {{"Idempotency-Key", "probe"}}).status != 200)
                return false;
        }
        return true;
    });
}

// Returns how often the stand-in fleet at the address executed each key.
std::map<std::string, int> executions(const std::string &standin)
{
    std::map<std::string, int> counts;
    const auto log = call(standin, "GET", "/standin/log").json();
    for (const auto &item : log.at("requests").as_array())
        ++counts[item.at("key").as_string()];
    return counts;
}

std::size_t executedRequests(const std::string &standin)
{
    return call(standin, "GET", "/standin/log").json().at("requests").as_array().size();
}

std::string loopbackAddress(unsigned port)
{
    return "127.0.0.1:" + std::to_string(port);
}

tools::load_options loadOptions(const local_system &system, const std::string &path,
                                milliseconds duration)
{
    tools::load_options options;
    options.targets = system.entryAddresses();
    options.path = path;
    options.clients = 8;
    options.duration = duration;
    options.followReadiness = true;
    return options;
}

} // namespace

TEST_GROUP(configuration) {};

// Guards against an entry that serves an old version after a newer one was accepted, also when the
// entry was suspended while the change was accepted.
TEST(configuration, suspendedEntryNeverServesAnOlderVersion)
{
    local_system system(3, 2);
    system.startAll();
    LONGS_EQUAL(0, system.applyTables(requestTables));
    const auto port = system.reservePorts(1);
    const auto standin = system.startUpstreams("u", port, {"--pool", "boards"});
    CHECK_TRUE(waitForRoute(system, "/boards/x"));
    system.entryProcess(1).sendSignal(SIGSTOP);
    const auto begin = std::chrono::steady_clock::now();
    LONGS_EQUAL(0, system.applyTables("[pool boards]\n[workspace moreton]\n"));
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    CHECK_TRUE(elapsed < std::chrono::seconds {4});
    system.entryProcess(1).sendSignal(SIGCONT);
    for (int i = 0; i < 20; ++i)
        CHECK_FALSE(call(system.entryAddress(1), "GET", "/boards/x").status == 200);
}

// Guards against two concurrent changes that are both reported as accepted for the same expected
// version.
TEST(configuration, onlyOneOfTwoConcurrentChangesIsAccepted)
{
    local_system system(3, 1);
    system.startAll();
    LONGS_EQUAL(0, system.applyTables(requestTables));
    const auto first = system.writeFile("a.ini", requestTables + "[pool a]\n");
    const auto second = system.writeFile("b.ini", requestTables + "[pool b]\n");
    LONGS_EQUAL(0, system.runCtl({"apply", first, "--expect-version", "1"}));
    LONGS_EQUAL(20, system.runCtl({"apply", second, "--expect-version", "1"}));
    LONGS_EQUAL(0, system.runCtl({"get"}));
    CHECK_TRUE(system.lastOutput().find("[pool a]") != std::string::npos);
    CHECK_TRUE(system.lastOutput().find("[pool b]") == std::string::npos);
}

// Guards against accepted tables that are lost when the leader is killed or all voters restart.
TEST(configuration, survivesLeaderKillAndFullRestart)
{
    local_system system(3, 1);
    system.startAll();
    LONGS_EQUAL(0, system.applyTables(requestTables));
    const auto leader = system.leader();
    CHECK_TRUE(leader >= 0);
    system.controlProcess(static_cast<std::size_t>(leader)).killNow();
    LONGS_EQUAL(0, system.applyTables(requestTables + "[pool extra]\n"));
    for (std::size_t i = 0; i < 3; ++i)
        system.controlProcess(i).killNow();
    for (std::size_t i = 0; i < 3; ++i)
        system.startControl(i);
    CHECK_TRUE(waitUntil(milliseconds {10000}, [&] { return system.leader() >= 0; }));
    LONGS_EQUAL(0, system.runCtl({"get"}));
    CHECK_TRUE(system.lastOutput().find("[pool extra]") != std::string::npos);
}

TEST_GROUP(requests) {};

// Guards against a request that runs twice or is reported wrongly when the entry that holds it and
// the control leader are killed while it is in progress.
TEST(requests, nonRepeatableRequestRunsAtMostOnce)
{
    local_system system(3, 3);
    system.startAll();
    LONGS_EQUAL(0, system.applyTables(requestTables));
    const auto port = system.reservePorts(2);
    const auto standin = system.startUpstreams(
            "u", port, {"--pool", "boards", "--count", "2", "--request-ms", "20"});
    CHECK_TRUE(waitForRoute(system, "/dial/x"));
    auto options = loadOptions(system, "/dial/x", milliseconds {8000});
    options.resend = true;
    tools::load_report report;
    std::thread load([&] { report = tools::runLoad(options); });
    std::this_thread::sleep_for(milliseconds {1500});
    system.entryProcess(0).killNow();
    std::this_thread::sleep_for(milliseconds {1000});
    const auto leader = system.leader();
    if (leader >= 0)
        system.controlProcess(static_cast<std::size_t>(leader)).killNow();
    std::this_thread::sleep_for(milliseconds {1500});
    system.startEntry(0);
    load.join();
    const auto counts = executions(loopbackAddress(port));
    for (const auto &[key, count] : counts) {
        if (key != "probe")
            LONGS_EQUAL_TEXT(1, count, key.c_str());
    }
    for (const auto &key : report.ranKeys)
        LONGS_EQUAL_TEXT(1, counts.contains(key) ? counts.at(key) : 0, key.c_str());
    LONGS_EQUAL(0, report.mismatchedAnswers);
    CHECK_TRUE(report.ran > 100);
}

TEST_GROUP(leaving) {};

// Guards against new requests to a leaving upstream when the entry that received its announcement
// is killed right after the acknowledgement.
TEST(leaving, getsNoNewRequestsAfterTheEntryIsKilled)
{
    local_system system(3, 3);
    system.startAll();
    LONGS_EQUAL(0, system.applyTables(requestTables));
    const auto port = system.reservePorts(2);
    const auto stays = system.startUpstreams("stays", port, {"--pool", "boards"});
    auto leaves = system.startUpstreams("leaves", port + 1, {"--pool", "boards"});
    CHECK_TRUE(waitForRoute(system, "/boards/x"));
    auto options = loadOptions(system, "/boards/x", milliseconds {7000});
    options.resend = true;
    tools::load_report report;
    std::thread load([&] { report = tools::runLoad(options); });
    std::this_thread::sleep_for(milliseconds {1500});
    const std::string announcement = R"({"id":"leaves-0","incarnation":99999999999999,"address":")"
            + loopbackAddress(port + 1)
            + R"(","pool":"boards","region":"region-1","zone":"a","rack":"r","slots":8,)"
              R"("connections":60,"accelerators":8,"cores":1,"memory_mb":64,"state":"leaving",)"
              R"("tasks":[]})";
    LONGS_EQUAL(200, call(system.entryAddress(0), "POST", "/v1/announce", announcement).status);
    system.entryProcess(0).killNow();
    std::this_thread::sleep_for(milliseconds {2000});
    const auto before = executedRequests(loopbackAddress(port + 1));
    load.join();
    LONGS_EQUAL(before, executedRequests(loopbackAddress(port + 1)));
    CHECK_TRUE(report.ran > 100);
}

TEST_GROUP(planned_stop) {};

// Guards against requests that are dropped by the graceful shutdown of an entry under load.
TEST(planned_stop, dropsNoRequest)
{
    local_system system(3, 2);
    system.startAll();
    LONGS_EQUAL(0, system.applyTables(requestTables));
    const auto port = system.reservePorts(2);
    const auto standin = system.startUpstreams(
            "u", port, {"--pool", "boards", "--count", "2", "--request-ms", "200"});
    CHECK_TRUE(waitForRoute(system, "/boards/x"));
    auto options = loadOptions(system, "/boards/x", milliseconds {6000});
    options.clients = 24;
    tools::load_report report;
    std::thread load([&] { report = tools::runLoad(options); });
    std::this_thread::sleep_for(milliseconds {2000});
    system.entryProcess(0).sendSignal(SIGTERM);
    LONGS_EQUAL(0, system.entryProcess(0).waitForExit(milliseconds {10000}));
    load.join();
    LONGS_EQUAL(0, report.transportErrors);
    LONGS_EQUAL(0, report.unknown);
    LONGS_EQUAL(report.requests, report.ran);
}

TEST_GROUP(gang) {};

// Guards against tasks of a gang that keep running after the worker of another task was killed, and
// against an accepted job that is lost with the worker.
TEST(gang, restartsWhenAWorkerIsKilled)
{
    local_system system(3, 2);
    system.startAll();
    LONGS_EQUAL(0, system.applyTables(jobTables()));
    const auto port = system.reservePorts(3);
    const std::vector<std::string> arguments {"--pool", "gpu", "--run-ms", "6000"};
    std::vector<process> workers;
    for (unsigned i = 0; i < 3; ++i)
        workers.push_back(system.startUpstreams("w" + std::to_string(i), port + i, arguments));
    const auto id = submit(system.entryAddress(0), "gang-1", jobBody("moreton", 2, 8));
    CHECK_TRUE(id != 0);
    CHECK_TRUE(waitForState(system.entryAddress(0), id, "running", milliseconds {15000}));
    const auto runsTask = [&](unsigned i) {
        const auto log = call(loopbackAddress(port + i), "GET", "/standin/log").json();
        return log.at("task_events").as_array().size() >= 2;
    };
    unsigned victim = 0;
    CHECK_TRUE(waitUntil(milliseconds {3000}, [&] {
        for (victim = 0; victim < 3 && !runsTask(victim);)
            ++victim;
        return victim < 3;
    }));
    workers[victim].killNow();
    // The upstream's lease expires after 3 s, and the stop order follows within one announcement
    // period of 1 s.
    CHECK_TRUE(waitUntil(milliseconds {6000},
                         [&] { return jobState(system.entryAddress(1), id) != "running"; }));
    CHECK_TRUE(waitForState(system.entryAddress(1), id, "done", milliseconds {30000}));
}

// Guards against a running gang that is restarted or lost when the control leader is killed.
TEST(gang, keepsRunningWhenTheLeaderIsKilled)
{
    local_system system(3, 2);
    system.startAll();
    LONGS_EQUAL(0, system.applyTables(jobTables()));
    const auto port = system.reservePorts(2);
    const auto workers = system.startUpstreams(
            "w", port, {"--pool", "gpu", "--count", "2", "--run-ms", "5000"});
    const auto id = submit(system.entryAddress(0), "gang-1", jobBody("moreton", 2, 8));
    CHECK_TRUE(waitForState(system.entryAddress(0), id, "running", milliseconds {15000}));
    const auto leader = system.leader();
    CHECK_TRUE(leader >= 0);
    system.controlProcess(static_cast<std::size_t>(leader)).killNow();
    CHECK_TRUE(waitForState(system.entryAddress(0), id, "done", milliseconds {20000}));
    const auto answer = call(system.entryAddress(0), "GET", "/v1/jobs/" + std::to_string(id));
    LONGS_EQUAL(1, answer.json().at("attempt").as_number().to_uint32());
}

TEST_GROUP(guarantee) {};

// Guards against a guarantee that can't be reclaimed while another workspace borrows it.
TEST(guarantee, isReclaimedFromABorrower)
{
    local_system system(3, 1);
    system.startAll();
    LONGS_EQUAL(0, system.applyTables(jobTables()));
    const auto port = system.reservePorts(2);
    const auto workers = system.startUpstreams(
            "w", port, {"--pool", "gpu", "--count", "2", "--run-ms", "60000"});
    const auto entry = system.entryAddress(0);
    const auto borrower = submit(entry, "borrower", jobBody("ceiba", 2, 8));
    CHECK_TRUE(waitForState(entry, borrower, "running", milliseconds {15000}));
    const auto begin = std::chrono::steady_clock::now();
    const auto owner = submit(entry, "owner", jobBody("moreton", 2, 8, R"(,"class":"urgent")"));
    CHECK_TRUE(waitForState(entry, owner, "running", milliseconds {15000}));
    // The target for urgent jobs is 5.5 s, including the reclaim.
    CHECK_TRUE(std::chrono::steady_clock::now() - begin < milliseconds {5500});
}
