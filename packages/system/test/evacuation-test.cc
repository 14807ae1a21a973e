// Process-level tests of the evacuation of availability zones, with the loss of leaders and of all
// schedulers.
#include "batch_system.h"

using namespace persimmon;
using namespace persimmon::system_test;

namespace {

// An order of the operator is confirmed in this time although the leader is lost.
constexpr milliseconds confirmationTime {5000};

// Time in which the order reaches the sockets of the followers.
constexpr milliseconds appendTime {200};

} // namespace

// Workers 0 and 1 are in the zone north, 2 and 3 in the zone south.
TEST_GROUP(ZoneEvacuation)
{
    batch_system system;
    platform::standin_fleet fleet {4};
    int jobs = 0;

    void setup() override
    {
        for (std::size_t i = 0; i < fleet.workers.size(); ++i)
            fleet.workers[i].zone = i < 2 ? "north" : "south";
        CHECK_TRUE(system.configure());
        runJobs();
    }

    int findLeader()
    {
        int found = -1;
        CHECK_TRUE(waitUntil(milliseconds {8000}, [&] {
            found = system.leader();
            return found >= 0;
        }));
        return found;
    }

    int order(int scheduler, const std::string &method)
    {
        return call(system.schedulerAddress(scheduler), method, "/drain/north", {}, {},
                    milliseconds {2000})
                .status;
    }

    // Runs jobs to their end that together take all workers, or those of one zone twice.
    void runJobs()
    {
        std::vector<std::string> ids;
        for (int i = 0; i < 4; ++i) {
            ids.push_back("z" + std::to_string(++jobs));
            const auto body = addJob(fleet, ids.back(), {4000, 300, 1, false});
            CHECK_TRUE(system.stepUntil(fleet, [&] {
                return system.sendToGateway("POST", "/q/" + ids.back(), body).status == 200;
            }));
        }
        CHECK_TRUE(system.stepUntil(fleet, [&] {
            return std::ranges::all_of(
                    ids, [&](const std::string &id) { return system.jobState(id) == "done"; });
        }));
        for (const auto &violation : fleet.violations)
            FAIL(violation.c_str());
    }

    void expectNoStartsInTheZone()
    {
        fleet.evacuatedZones["north"] = nowMs();
    }
};

// Guards against an evacuation that is lost with the leader that has confirmed it, or with all
// schedulers at once.
TEST(ZoneEvacuation, outlivesTheLeaderAndALossOfAllSchedulers)
{
    const auto first = findLeader();
    CHECK_EQUAL(200, order(first, "POST"));
    system.killScheduler(first);
    expectNoStartsInTheZone();
    runJobs();
    CHECK_TRUE(system.control({"zones"}).find("north  -") == std::string::npos);
    for (int i = 0; i < schedulers; ++i)
        system.killScheduler(i);
    for (int i = 0; i < schedulers; ++i)
        system.startScheduler(i, true);
    runJobs();
    CHECK_TRUE(system.control({"zones"}).find("north  -") == std::string::npos);
    CHECK_TRUE(system.control({"restore", "north"}).find("open") != std::string::npos);
    CHECK_TRUE(system.control({"zones"}).find("north  -") != std::string::npos);
}

// Guards against an order that is refused, or without effect, when it is sent again after the
// leader was lost between the order and its answer.
TEST(ZoneEvacuation, isConfirmedAgainAfterTheLeaderWasLostBeforeItsAnswer)
{
    const auto first = findLeader();
    const auto other = (first + 1) % schedulers;
    for (int i = 0; i < schedulers; ++i) {
        if (i != first)
            system.signalScheduler(i, SIGSTOP);
    }
    auto answer = std::async(std::launch::async, [&] { return order(first, "POST"); });
    std::this_thread::sleep_for(appendTime);
    system.killScheduler(first);
    CHECK_TRUE(answer.get() != 200);
    for (int i = 0; i < schedulers; ++i) {
        if (i != first)
            system.signalScheduler(i, SIGCONT);
    }
    CHECK_TRUE(waitUntil(confirmationTime, [&] { return order(other, "POST") == 200; }));
    expectNoStartsInTheZone();
    runJobs();
    CHECK_EQUAL(200, order(other, "POST"));
    CHECK_EQUAL(200, order(other, "DELETE"));
    CHECK_EQUAL(200, order(other, "DELETE"));
}

// Guards against a job that waits because its zone is evacuated and whose explanation, log lines
// and metrics don't say so.
TEST(ZoneEvacuation, waitForAZoneIsTraceable)
{
    CHECK_TRUE(system.control({"evacuate", "north"}).find("evacuated") != std::string::npos);
    CHECK_TRUE(system.control({"evacuate", "south"}).find("evacuated") != std::string::npos);
    const auto body = addJob(fleet, "w1", {1000, 300, 1, false});
    CHECK_TRUE(system.stepUntil(
            fleet, [&] { return system.sendToGateway("POST", "/q/w1", body).status == 200; }));
    CHECK_TRUE(system.stepUntil(fleet, [&] {
        return system.explain("w1").find("0.0.0  evacuated") != std::string::npos;
    }));
    CHECK_TRUE(system.stepUntil(fleet, [&] {
        return !system.logLines("event=job.stalled job=w1", "why=evacuated").empty();
    }));
    CHECK_TRUE(system.stepUntil(
            fleet, [&] { return !system.logLines("event=zone.emptied", "zone=north").empty(); }));
    CHECK_TRUE(!system.logLines("event=zone.proposed", "action=evacuate").empty());
    CHECK_TRUE(!system.logLines("event=zone.set", "outcome=ok").empty());
    const auto metrics = call(system.schedulerMetricsAddress(findLeader()), "GET", "/metrics").body;
    CHECK_TRUE(metrics.find("persimmon_zone_state{what=\"evacuated\",zone=\"north\"} 1")
               != std::string::npos);
    CHECK_TRUE(metrics.find("persimmon_zone_state{what=\"workers\",zone=\"south\"} 2")
               != std::string::npos);
    CHECK_TRUE(system.control({"restore", "south"}).find("open") != std::string::npos);
    CHECK_TRUE(system.stepUntil(fleet, [&] { return system.jobState("w1") == "done"; }));
}
