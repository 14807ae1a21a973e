// Process-level tests of the scheduler and gateway roles with stand-ins for workers and consumers:
// request serving, leader failover and tracing a job's failure to its cause by the job id.
#include "batch_system.h"

#include <algorithm>

using namespace persimmon;
using namespace persimmon::system_test;

namespace {

// A stalled job is named after 2 s, or 2.5 s after its worker was last heard. The rest of this time
// is for a loaded machine.
constexpr std::int64_t stallLogMs = 8000;

// Returns the address at which a scheduler serves its metrics, from its settings file.
std::string metricsAddress(int scheduler)
{
    const auto name = "scheduler-" + std::to_string(scheduler);
    const auto text
            = readFile("/tmp/persimmon-batch-" + std::to_string(getpid()) + "/" + name + ".ini");
    const std::string key = "metrics_listen = ";
    const auto begin = text.find(key) + key.size();
    return text.substr(begin, text.find('\n', begin) - begin);
}

// Returns a gauge of the leader, or -1 if it has none of this name.
double leaderGauge(const batch_system &system, const std::string &what)
{
    const auto leader = system.leader();
    if (leader < 0)
        return -1;
    const auto metrics = call(metricsAddress(leader), "GET", "/metrics").body;
    const auto name = "persimmon_scheduler_state{what=\"" + what + "\"} ";
    const auto at = metrics.find(name);
    return at == std::string::npos ? -1 : std::stod(metrics.substr(at + name.size()));
}

// Returns the lines that name a stalled job of an id with a reason.
std::string stallLines(const batch_system &system, const std::string &job, const std::string &why)
{
    return system.logLines("event=job.stalled job=" + job + " ", "why=" + why + " ");
}

} // namespace

TEST_GROUP(BatchSystem) {};

// Guards against jobs that are lost or run twice when the leader is killed while they run.
TEST(BatchSystem, jobsSurviveLeaderLoss)
{
    batch_system system;
    platform::standin_fleet fleet(3);
    CHECK_TRUE(system.configure());
    for (int i = 0; i < 6; ++i) {
        const auto id = "a" + std::to_string(i);
        const auto body = addJob(fleet, id, {1000, 1500, 2, i % 2 == 0});
        CHECK_TRUE(waitUntil(milliseconds {5000}, [&] {
            return system.sendToGateway("POST", "/q/" + id, body).status == 200;
        }));
    }
    CHECK_TRUE(system.stepUntil(fleet, [&] {
        return std::ranges::any_of(fleet.workers,
                                   [](const auto &worker) { return !worker.running.empty(); });
    }));
    const auto leader = system.leader();
    CHECK_TRUE(leader >= 0);
    system.killScheduler(leader);
    CHECK_TRUE(system.stepUntil(fleet, [&] {
        for (int i = 0; i < 6; ++i) {
            if (system.jobState("a" + std::to_string(i)) != "done")
                return false;
        }
        return true;
    }));
    for (const auto &violation : fleet.violations)
        FAIL(violation.c_str());
    for (const auto &[task, runs] : fleet.doneRuns)
        CHECK_EQUAL(1, runs);
}

// Guards against failures whose cause can't be traced afterwards. The test uses only the output of
// the processes and persimmonctl, as described in docs/OPERATIONS.md.
TEST(BatchSystem, failureCauseIsTraceableById)
{
    batch_system system;
    platform::standin_fleet fleet(1);
    CHECK_TRUE(system.configure());

    // A rejected submission.
    CHECK_EQUAL(404, system.sendToGateway("POST", "/other/r1", addJob(fleet, "r1", {})).status);
    CHECK_EQUAL(401,
                system.sendToGateway("POST", "/q/r2", addJob(fleet, "r2", {}), "wrong").status);
    CHECK_TRUE(waitUntil(milliseconds {3000}, [&] {
        return system.logLines("event=request.refused", "path=/other/r1").find("code=no_route")
                != std::string::npos
                && system.logLines("event=request.refused", "path=/q/r2")
                           .find("code=unknown_workspace")
                != std::string::npos;
    }));

    // A job that ends late because it waits for another.
    CHECK_EQUAL(200,
                system.sendToGateway("POST", "/q/w1", addJob(fleet, "w1", {4000, 1500, 1, false}))
                        .status);
    CHECK_TRUE(system.stepUntil(fleet, [&] { return !fleet.workers.front().running.empty(); }));
    CHECK_EQUAL(200,
                system.sendToGateway("POST", "/q/w2", addJob(fleet, "w2", {4000, 200, 1, false}))
                        .status);
    CHECK_TRUE(system.stepUntil(fleet, [&] { return system.jobState("w2") == "done"; }));
    CHECK_TRUE(system.logLines("event=step.waiting", "job=w2").find("why=no_room")
               != std::string::npos);
    CHECK_TRUE(system.logLines("event=job.ended", "job=w2").find("outcome=done")
               != std::string::npos);

    // A task that ran and failed.
    CHECK_EQUAL(200,
                system.sendToGateway("POST", "/q/f1", addJob(fleet, "f1", {1000, 9000, 1, false}))
                        .status);
    CHECK_TRUE(system.stepUntil(fleet, [&] { return !fleet.workers.front().running.empty(); }));
    fleet.fail(fleet.workers.front(), "f1.0.0.0");
    CHECK_TRUE(system.stepUntil(fleet, [&] { return system.jobState("f1") == "failed"; }));
    CHECK_TRUE(system.logLines("event=task.ended", "job=f1").find("how=failed")
               != std::string::npos);
    const auto text = system.explain("f1");
    CHECK_TRUE(text.find("failed") != std::string::npos);
    CHECK_TRUE(text.find("0.0.0 on i-0") != std::string::npos);
}

// Guards against a job that fails because one of its tasks crashes workers, and whose logs and
// explanation don't say so.
TEST(BatchSystem, crashesOfWorkersAreTraceableByJobId)
{
    batch_system system;
    platform::standin_fleet fleet(4);
    CHECK_TRUE(system.configure());
    const auto body = addJob(fleet, "c1", {1000, 500, 1, false, true});
    CHECK_TRUE(waitUntil(milliseconds {5000}, [&] {
        return system.sendToGateway("POST", "/q/c1", body).status == 200;
    }));
    CHECK_TRUE(system.stepUntil(fleet, [&] {
        for (auto &worker : fleet.workers) {
            if (fleet.crashedWorkers.erase(worker.id) > 0)
                fleet.restart(worker, nowMs());
        }
        return system.jobState("c1") == "failed";
    }));
    CHECK_EQUAL(0, fleet.violations.size());
    // Lines are written by a thread of their own.
    const auto isLogged = [&system](const char *first, const char *second, const char *detail) {
        return waitUntil(milliseconds {3000}, [&] {
            return system.logLines(first, second).find(detail) != std::string::npos;
        });
    };
    for (const auto *run : {"run=1 ", "run=2 ", "run=3 "})
        CHECK_TRUE(isLogged("event=task.loss job=c1 ", run, "kind=crashed"));
    CHECK_TRUE(isLogged("event=worker.lost", "evidence=restarted", "runs=1"));
    CHECK_TRUE(isLogged("event=job.ended", "job=c1", "outcome=failed"));
    CHECK_TRUE(system.explain("c1").find("lost") != std::string::npos);
}

// Guards against a job that waits in a full fleet and is named neither in the log of the leader nor
// in its metrics, or that hides behind jobs that do run.
TEST(BatchSystem, jobThatWaitsInAFullFleetIsTraceableById)
{
    batch_system system;
    platform::standin_fleet fleet(1);
    CHECK_TRUE(system.configure());
    const auto occupant = addJob(fleet, "full1", {4000, 30000, 1, false});
    CHECK_TRUE(waitUntil(milliseconds {5000}, [&] {
        return system.sendToGateway("POST", "/q/full1", occupant).status == 200;
    }));
    CHECK_TRUE(system.stepUntil(fleet, [&] { return fleet.hasStarted("full1.0.0.0"); }));
    CHECK_EQUAL(
            200,
            system.sendToGateway("POST", "/q/wait1", addJob(fleet, "wait1", {1000, 200, 1, false}))
                    .status);
    CHECK_TRUE(system.stepUntil(
            fleet, [&] { return !stallLines(system, "wait1", "no_room").empty(); }, stallLogMs));
    const auto lines = stallLines(system, "wait1", "no_room");
    CHECK_TRUE(lines.find("node=scheduler-" + std::to_string(system.leader()) + " ")
               != std::string::npos);
    CHECK_TRUE(lines.find("room=0 in_use_percent=100 ") != std::string::npos);
    CHECK_TRUE(system.stepUntil(fleet, [&] { return leaderGauge(system, "stalled_jobs") == 1; }));
    CHECK_TRUE(leaderGauge(system, "longest_stall_seconds") >= 2);
    STRCMP_EQUAL("", stallLines(system, "full1", "no_room").c_str());
}

// Guards against a job whose only run is on a worker that is not heard any more, and whose log
// doesn't name the run and the worker, and against gauges that stay up once it runs again.
TEST(BatchSystem, jobOnAWorkerThatFallsSilentIsTraceableById)
{
    batch_system system;
    platform::standin_fleet fleet(1);
    CHECK_TRUE(system.configure());
    const auto body = addJob(fleet, "mute1", {1000, 20000, 1, false});
    CHECK_TRUE(waitUntil(milliseconds {5000}, [&] {
        return system.sendToGateway("POST", "/q/mute1", body).status == 200;
    }));
    CHECK_TRUE(system.stepUntil(fleet, [&] { return fleet.hasStarted("mute1.0.0.0"); }));
    CHECK_TRUE(system.stepUntil(fleet, [&] { return leaderGauge(system, "stalled_jobs") == 0; }));
    // The worker sends nothing from here on.
    CHECK_TRUE(waitUntil(milliseconds {stallLogMs},
                         [&] { return !stallLines(system, "mute1", "run_not_listed").empty(); }));
    const auto lines = stallLines(system, "mute1", "run_not_listed");
    CHECK_TRUE(lines.find("node=scheduler-" + std::to_string(system.leader()) + " ")
               != std::string::npos);
    CHECK_TRUE(lines.find("worker=i-0 ") != std::string::npos);
    CHECK_TRUE(lines.find("runs=1 ") != std::string::npos);
    CHECK_EQUAL(1, leaderGauge(system, "stalled_jobs"));
    CHECK_TRUE(leaderGauge(system, "longest_stall_seconds") >= 2);
    CHECK_TRUE(system.stepUntil(fleet, [&] { return leaderGauge(system, "stalled_jobs") == 0; }));
    CHECK_EQUAL(0, leaderGauge(system, "longest_stall_seconds"));
}

// Guards against a graceful shutdown that drops a request or hangs.
TEST(BatchSystem, gatewayStopsGracefully)
{
    batch_system system;
    CHECK_TRUE(system.configure());
    CHECK_TRUE(waitUntil(milliseconds {5000},
                         [&] { return system.sendToGateway("GET", "/q/").status == 200; }));
    system.gatewayProcess().sendSignal(SIGHUP);
    CHECK_EQUAL(200, system.sendToGateway("GET", "/q/").status);
    system.gatewayProcess().sendSignal(SIGTERM);
    CHECK_EQUAL(200, system.sendToGateway("GET", "/q/").status);
    CHECK_EQUAL(0, system.gatewayProcess().waitForExit(milliseconds {8000}));
}

// Guards against a changed settings file that is reloaded only on a signal.
TEST(BatchSystem, settingsFileIsReadAgainWhenItChanges)
{
    batch_system system;
    CHECK_TRUE(system.configure());
    system.addGatewaySeed("127.0.32.7");
    CHECK_TRUE(waitUntil(milliseconds {5000}, [&] {
        return system.logLines("event=process.reloaded", "seeds=4").find("outcome=ok")
                != std::string::npos;
    }));
}

// Guards against a scheduler that stays out of the group, or ends again and again, after its disk
// was full: with each disk full in turn, changes were refused for good.
TEST(BatchSystem, disksThatAreFullInTurnLeaveNoHarm)
{
    constexpr std::int64_t ackMs = 5000; // a change is acknowledged in this time
    constexpr milliseconds fullFor {4500};
    batch_system system;
    CHECK_TRUE(system.configure());
    int version = 3;
    for (int i = 0; i < schedulers; ++i) {
        auto &full = system.schedulerProcess(i);
        full.limitFileSize(0);
        CHECK_TRUE(system.configure(++version, (i + 1) % schedulers));
        CHECK_EQUAL(-1, full.waitForExit(fullFor)); // forwards calls meanwhile
        full.liftFileSizeLimit();
        CHECK_EQUAL(32, full.waitForExit(milliseconds {1000}));
        system.startScheduler(i, false);
    }
    for (int i = 0; i < schedulers; ++i) {
        const auto sentMs = nowMs();
        CHECK_TRUE(system.configure(++version, i));
        CHECK_TRUE(nowMs() - sentMs < ackMs);
    }
}
