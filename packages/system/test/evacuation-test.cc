// Process-level tests of the evacuation of availability zones, with the loss of leaders and of all
// schedulers.
#include "batch_system.h"

#include <array>

using namespace persimmon;
using namespace persimmon::system_test;

namespace {

// An order of the operator is confirmed in this time although the leader is lost.
constexpr milliseconds confirmationTime {5000};

// Time in which the order reaches the sockets of the followers.
constexpr milliseconds appendTime {200};

// Longer than callers wait for an answer before they call another scheduler, and than a lease.
constexpr milliseconds standstill {2000};
constexpr milliseconds shortStandstill {300};

// Time in which a scheduler that goes on reads what it finds.
constexpr milliseconds catchUpTime {1500};

// How long the caller of an old order keeps its connection: it leaves, or stays beyond the pause.
constexpr std::array<milliseconds, 2> patiences {standstill / 2, standstill * 4};

// An old order for a zone and the one that overtakes it.
struct order_pair
{
    std::string old;
    std::string newer;
};

const order_pair restoring {"DELETE", "POST"};
const order_pair evacuating {"POST", "DELETE"};

// Schedulers of a test: the one that stands still, the one that gets the old order, and the one
// that is called instead.
struct scheduler_roles
{
    int frozen;
    int asked;
    int other;
};

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

    // Repeats an order until it is confirmed.
    bool isConfirmed(int scheduler, const std::string &method)
    {
        return waitUntil(confirmationTime, [&] { return order(scheduler, method) == 200; });
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

    // Number of orders that leaders have carried out.
    std::size_t ordersObeyed() const
    {
        const auto lines = system.logLines("event=zone.set", "outcome=ok");
        return static_cast<std::size_t>(std::ranges::count(lines, '\n'));
    }

    // Gives an order while a scheduler stands still, and then, elsewhere, the same one again and a
    // newer one. Only these may be obeyed, and the newer one must be confirmed again at once.
    void expectOvertaken(const scheduler_roles &roles, const std::string &old,
                         const std::string &newer, milliseconds patience)
    {
        CHECK_TRUE(isConfirmed(roles.other, newer));
        system.signalScheduler(roles.frozen, SIGSTOP);
        auto late = std::async(std::launch::async, [&] {
            return call(system.schedulerAddress(roles.asked), old, "/drain/north", {}, {}, patience)
                    .status;
        });
        std::this_thread::sleep_for(standstill);
        CHECK_TRUE(isConfirmed(roles.other, old));
        CHECK_TRUE(isConfirmed(roles.other, newer));
        const bool wasAnswered = late.wait_for(milliseconds {0}) == std::future_status::ready;
        const auto obeyed = ordersObeyed();
        system.signalScheduler(roles.frozen, SIGCONT);
        CHECK_TRUE(isConfirmed(roles.frozen, newer));
        CHECK_TRUE(wasAnswered || late.get() != 200);
        std::this_thread::sleep_for(catchUpTime);
        CHECK_EQUAL(obeyed + 1, ordersObeyed());
        const bool isEvacuated = system.control({"zones"}).find("north  2") != std::string::npos;
        CHECK_EQUAL(newer == "POST", isEvacuated); // a year stands behind it, or nothing
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
    CHECK_TRUE(isConfirmed(first, "POST"));
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
    CHECK_TRUE(isConfirmed(other, "POST"));
    expectNoStartsInTheZone();
    runJobs();
    CHECK_TRUE(isConfirmed(other, "POST"));
    CHECK_TRUE(isConfirmed(other, "DELETE"));
    CHECK_TRUE(isConfirmed(other, "DELETE"));
}

// Guards against an order that a scheduler finds after it has stood still and passes on, although
// it was given again elsewhere and a newer one was confirmed.
TEST(ZoneEvacuation, orderThatAFollowerFindsAfterAPauseIsNotObeyed)
{
    const auto leading = findLeader();
    const auto other = (leading + 1) % schedulers;
    const auto frozen = (leading + 2) % schedulers;
    for (const auto &[old, newer] : {restoring, evacuating}) {
        for (const auto patience : patiences)
            expectOvertaken({frozen, frozen, other}, old, newer, patience);
    }
}

// Guards against the same by the leader, which is replaced meanwhile, and reads the order of its
// caller, or of another scheduler, after it.
TEST(ZoneEvacuation, orderThatALeaderFindsAfterAPauseIsNotObeyed)
{
    for (const auto &[old, newer] : {restoring, evacuating}) {
        const auto frozen = findLeader();
        const auto other = (frozen + 1) % schedulers;
        const auto patience = newer == restoring.newer ? patiences.front() : patiences.back();
        expectOvertaken({frozen, frozen, other}, old, newer, patience);
        const auto relayed = findLeader();
        expectOvertaken({relayed, (relayed + 2) % schedulers, (relayed + 1) % schedulers}, old,
                        newer, patience);
    }
}

// Guards against an order that its caller hears nothing of because its scheduler stands still for
// less than the caller waits, and that isn't confirmed, or twice, once it goes on.
TEST(ZoneEvacuation, orderInAShortPauseIsConfirmed)
{
    const auto leading = findLeader();
    for (const auto frozen : {leading, (leading + 1) % schedulers}) {
        for (const auto *method : {"POST", "DELETE"}) {
            system.signalScheduler(frozen, SIGSTOP);
            auto answer
                    = std::async(std::launch::async, [&] { return isConfirmed(frozen, method); });
            std::this_thread::sleep_for(shortStandstill);
            system.signalScheduler(frozen, SIGCONT);
            CHECK_TRUE(answer.get());
        }
    }
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
        return system.runControl({"explain", "w1"}).second.find("0.0.0  evacuated")
                != std::string::npos;
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
