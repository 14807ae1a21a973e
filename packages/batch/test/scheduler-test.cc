#include "fixture.h"

#include <set>

using namespace persimmon;
using namespace persimmon::batch;

TEST_GROUP(Scheduler)
{
    leader_fixture leader;
    std::uint32_t percent = 0; // of the newest report of a run

    // Sends a heartbeat of each of the workers w1 to wN (or another prefix) in one rack.
    void sendHeartbeats(int count, const std::string &rack = "rack-1",
                        const std::string &prefix = "w")
    {
        for (int i = 1; i <= count; ++i) {
            auto report = leader.report(prefix + std::to_string(i));
            report.rack = rack;
            report.labels = {"kind", rack};
            leader.sendHeartbeat(report);
        }
    }

    std::size_t activeTasks(const std::string &job)
    {
        std::size_t count = 0;
        for (const auto &task : leader.state.findJob(job)->occurrences[0][0].tasks)
            count += task.active ? 1 : 0;
        return count;
    }

    std::set<std::string> workersOf(const std::string &job)
    {
        std::set<std::string> names;
        for (const auto &task : leader.state.findJob(job)->occurrences[0][0].tasks) {
            if (task.active)
                names.insert(task.worker);
        }
        return names;
    }
};

// Guards against placing tasks beyond the capacity of a worker.
TEST(Scheduler, keepsCapacity)
{
    sendHeartbeats(1);
    leader.configure(1);
    leader.submit("/q1/a", leader_fixture::tasks(5, 2));
    leader.advance(100);
    CHECK_EQUAL(4, activeTasks("a"));
}

// Guards against a gang that is started only in part.
TEST(Scheduler, startsGangAsWhole)
{
    sendHeartbeats(1);
    leader.configure(1);
    auto step = leader_fixture::tasks(2, 8);
    step.gang = true;
    leader.submit("/q1/a", step);
    leader.advance(100);
    CHECK_EQUAL(0, activeTasks("a"));
    sendHeartbeats(2);
    leader.advance(100);
    CHECK_EQUAL(2, activeTasks("a"));
}

// Guards against members of a gang with different run numbers.
TEST(Scheduler, gangMembersShareTheRun)
{
    sendHeartbeats(2);
    leader.configure(1);
    auto step = leader_fixture::tasks(2, 8);
    step.gang = true;
    leader.submit("/q1/a", step);
    leader.advance(100);
    leader.commit(end_runs {
            {{{"a", 0, 0, 0}, 1, end_kind::Stopped, ""}, {{"a", 0, 0, 1}, 1, end_kind::Broken, ""}},
            leader.wallMs});
    leader.advance(100);
    CHECK_EQUAL(2, leader.state.findJob("a")->taskOf({"a", 0, 0, 0}).run);
    CHECK_EQUAL(2, leader.state.findJob("a")->taskOf({"a", 0, 0, 1}).run);
}

// Guards against spreading a same-rack gang over several racks.
TEST(Scheduler, keepsSameRackGangTogether)
{
    sendHeartbeats(1, "rack-1", "a");
    sendHeartbeats(2, "rack-2", "b");
    leader.configure(1);
    auto step = leader_fixture::tasks(2, 8);
    step.gang = true;
    step.sameRack = true;
    leader.submit("/q1/a", step);
    leader.advance(100);
    CHECK_TRUE((workersOf("a") == std::set<std::string> {"b1", "b2"}));
}

// Guards against a step that starts before the steps it depends on are done.
TEST(Scheduler, waitsForEarlierSteps)
{
    sendHeartbeats(2);
    leader.configure(1);
    job_spec spec;
    spec.payload = "work";
    spec.steps = {leader_fixture::tasks(1, 1), leader_fixture::tasks(1, 1)};
    spec.steps[1].dependsOn = {0};
    leader.queues.submit(leader.wallMs, {"host", "/q1/a", ""}, spec, [](const status &) {});
    leader.advance(100);
    CHECK_FALSE(leader.state.findJob("a")->occurrences[0][1].begun);
    leader.commit(end_runs {{{{"a", 0, 0, 0}, 1, end_kind::Done, ""}}, leader.wallMs});
    leader.advance(100);
    CHECK_TRUE(leader.state.findJob("a")->occurrences[0][1].begun);
}

// Guards against occurrences that start before they are due.
TEST(Scheduler, startsOccurrencesWhenDue)
{
    sendHeartbeats(1);
    leader.configure(1);
    job_spec spec;
    spec.payload = "work";
    spec.steps = {leader_fixture::tasks(1, 1)};
    spec.occurrences = 2;
    spec.firstDueMs = leader.wallMs + 500;
    spec.intervalMs = 1000;
    leader.queues.submit(leader.wallMs, {"host", "/q1/a", ""}, spec, [](const status &) {});
    leader.advance(100);
    CHECK_FALSE(leader.state.findJob("a")->occurrences[0][0].begun);
    leader.advance(500);
    CHECK_TRUE(leader.state.findJob("a")->occurrences[0][0].begun);
    CHECK_FALSE(leader.state.findJob("a")->occurrences[1][0].begun);
    sendHeartbeats(1); // a worker whose heartbeat is overdue gets no tasks
    leader.advance(1000);
    CHECK_TRUE(leader.state.findJob("a")->occurrences[1][0].begun);
}

// Guards against placement on a worker without the required label or beyond the limit per worker.
TEST(Scheduler, keepsLabelsAndLimits)
{
    sendHeartbeats(2);
    leader.configure(1);
    auto labelled = leader_fixture::tasks(1, 1);
    labelled.requiredLabel = "other";
    leader.submit("/q1/a", labelled);
    auto limited = leader_fixture::tasks(3, 1);
    limited.maxPerWorker = 1;
    leader.submit("/q1/b", limited);
    leader.advance(100);
    CHECK_EQUAL(0, activeTasks("a"));
    CHECK_EQUAL(2, activeTasks("b"));
}

// Guards against urgent work that waits for work of lower priority, and against more preemptions
// than needed.
TEST(Scheduler, urgentWorkPreemptsLowerPriorities)
{
    sendHeartbeats(2);
    leader.configure(0);
    leader.submit("/q2/a", leader_fixture::tasks(4, 4));
    leader.advance(100);
    CHECK_EQUAL(4, activeTasks("a"));
    leader.submit("/q0/b", leader_fixture::pressingTasks(1, 8));
    leader.advance(100);
    std::size_t stops = 0;
    std::string freed;
    for (const auto *id : {"w1", "w2"}) {
        auto report = leader.report(id);
        for (const auto &[task, run] : leader.state.runsOn(id))
            report.running.push_back({task, run.run, "", 10, 0});
        const auto orders = leader.sendHeartbeat(report);
        stops += orders.stops.size();
        if (!orders.stops.empty())
            freed = id;
        for (const auto &order : orders.stops)
            leader.commit(
                    end_runs {{{order.task, order.run, end_kind::Stopped, ""}}, leader.wallMs});
    }
    CHECK_EQUAL(2, stops);
    leader.advance(100);
    CHECK_TRUE((workersOf("b") == std::set<std::string> {freed}));
}

// Guards against other work that takes the resources freed for an urgent gang.
TEST(Scheduler, keepsRoomForUrgentGang)
{
    sendHeartbeats(2);
    leader.configure(0);
    leader.submit("/q2/a", leader_fixture::tasks(2, 8));
    leader.advance(100);
    auto step = leader_fixture::pressingTasks(2, 8);
    step.gang = true;
    leader.submit("/q0/b", step);
    leader.submit("/q2/c", leader_fixture::tasks(1, 8));
    leader.advance(100);
    leader.commit(end_runs {{{{"a", 0, 0, 0}, 1, end_kind::Stopped, ""}}, leader.wallMs});
    leader.advance(100);
    CHECK_EQUAL(0, activeTasks("c"));
    leader.commit(end_runs {{{{"a", 0, 0, 1}, 1, end_kind::Stopped, ""}}, leader.wallMs});
    leader.advance(100);
    CHECK_EQUAL(2, activeTasks("b"));
}

// Guards against urgent work of one tenant that keeps the reserved accelerators of another.
TEST(Scheduler, reclaimsReservedAcceleratorsFromUrgentWorkOfOthers)
{
    sendHeartbeats(1);
    leader.tenants = {{"borrower", {"k1"}, 0}, {"owner", {"k2"}, 8}};
    leader.configure(0);
    leader.submit("/q0/a", leader_fixture::tasks(1, 8), "k1");
    leader.advance(100);
    CHECK_EQUAL(1, activeTasks("a"));
    leader.submit("/q0/b", leader_fixture::pressingTasks(1, 8), "k2");
    leader.advance(100);
    auto report = leader.report("w1");
    report.running.push_back({{"a", 0, 0, 0}, 1, "", 10, 0});
    CHECK_EQUAL(1, leader.sendHeartbeat(report).stops.size());
    leader.commit(end_runs {{{{"a", 0, 0, 0}, 1, end_kind::Stopped, ""}}, leader.wallMs});
    leader.advance(100);
    CHECK_EQUAL(1, activeTasks("b"));
    CHECK_EQUAL(0, activeTasks("a"));
}

// Guards against a tenant beyond its reservation that preempts urgent work of others.
TEST(Scheduler, urgentWorkBeyondReservationPreemptsNoUrgentWork)
{
    sendHeartbeats(1);
    leader.tenants = {{"first", {"k1"}, 0}, {"second", {"k2"}, 4}};
    leader.configure(0);
    leader.submit("/q0/a", leader_fixture::pressingTasks(1, 8), "k1");
    leader.advance(100);
    leader.submit("/q0/b", leader_fixture::pressingTasks(1, 8), "k2");
    leader.advance(100);
    auto report = leader.report("w1");
    report.running.push_back({{"a", 0, 0, 0}, 1, "", 10, 0});
    CHECK_EQUAL(0, leader.sendHeartbeat(report).stops.size());
}

// Guards against preempting urgent work of a tenant that is within its own reservation.
TEST(Scheduler, reclaimsOnlyFromTenantsBeyondTheirReservation)
{
    sendHeartbeats(2);
    leader.tenants = {{"first", {"k1"}, 8}, {"second", {"k2"}, 0}, {"third", {"k3"}, 8}};
    leader.configure(0);
    leader.submit("/q0/a", leader_fixture::pressingTasks(1, 8), "k1");
    leader.submit("/q0/b", leader_fixture::pressingTasks(1, 8), "k2");
    leader.advance(100);
    leader.submit("/q0/c", leader_fixture::pressingTasks(1, 8), "k3");
    leader.advance(100);
    leader.commit(end_runs {{{{"b", 0, 0, 0}, 1, end_kind::Stopped, ""}}, leader.wallMs});
    leader.advance(100);
    CHECK_EQUAL(1, activeTasks("a"));
    CHECK_EQUAL(1, activeTasks("c"));
}

// Guards against work within a reservation that is scheduled after work beyond a reservation.
TEST(Scheduler, placesWorkWithinAReservationFirst)
{
    leader.tenants = {{"borrower", {"k1"}, 0}, {"owner", {"k2"}, 8}};
    leader.configure(0);
    leader.submit("/q0/a", leader_fixture::tasks(1, 8), "k1");
    leader.wallMs += 10;
    leader.submit("/q0/b", leader_fixture::tasks(1, 8), "k2");
    sendHeartbeats(1);
    leader.advance(100);
    CHECK_EQUAL(1, activeTasks("b"));
}

// Guards against placing urgent work on a worker whose next heartbeat is far off while another
// worker will send one earlier.
TEST(Scheduler, placesUrgentWorkWhereOrdersArriveSoon)
{
    auto options = leader_fixture::options();
    options.idleHeartbeatPeriod = milliseconds {1000};
    leader_fixture slowHeartbeats(options);
    slowHeartbeats.configure(0);
    slowHeartbeats.sendHeartbeat(slowHeartbeats.report("early"));
    slowHeartbeats.advance(900);
    auto small = slowHeartbeats.report("late");
    small.capacity.accelerators = 4; // fits more tightly, so other work prefers it
    slowHeartbeats.sendHeartbeat(small);
    slowHeartbeats.submit("/q0/a", leader_fixture::tasks(1, 2));
    slowHeartbeats.submit("/q2/b", leader_fixture::tasks(1, 2));
    slowHeartbeats.advance(20);
    STRCMP_EQUAL("early", slowHeartbeats.state.findJob("a")->taskOf({"a", 0, 0, 0}).worker.c_str());
    STRCMP_EQUAL("late", slowHeartbeats.state.findJob("b")->taskOf({"b", 0, 0, 0}).worker.c_str());
}

// Guards against stopping work that still has value beside work that is too late to have any.
TEST(Scheduler, stopsWorkWithoutValueFirst)
{
    const auto reportAll = [this] {
        std::size_t stops = 0;
        for (const auto *id : {"w1", "w2"}) {
            auto report = leader.report(id);
            for (const auto &[task, run] : leader.state.runsOn(id))
                report.running.push_back({task, run.run, "", ++percent, 0});
            for (const auto &order : leader.sendHeartbeat(report).stops)
                stops += order.task.job == "late" ? 1 : 100;
        }
        return stops;
    };
    leader.configure(0);
    auto step = leader_fixture::tasks(1, 8);
    step.estimateMs = 100; // without value from 3.9 s on
    reportAll();
    leader.submit("/q2/late", step);
    for (int ms = 0; ms < 4400; ms += 400) {
        leader.advance(400);
        reportAll();
    }
    leader.submit("/q2/fresh", leader_fixture::tasks(1, 8));
    leader.advance(100);
    reportAll();
    leader.submit("/q0/urgent", leader_fixture::tasks(1, 8));
    std::size_t stops = 0;
    for (int ms = 0; ms < 2000 && stops == 0; ms += 100) {
        leader.advance(100);
        stops = reportAll();
    }
    CHECK_EQUAL(1, stops);
}

TEST_GROUP(UrgentReserve)
{
    urgent_reserve reserve;
    time_point now {std::chrono::seconds {100}};

    void take(std::size_t workers, int everyMs, int forMs)
    {
        for (int ms = 0; ms < forMs; ms += everyMs) {
            now += milliseconds {everyMs};
            reserve.recordTaken(now, workers);
        }
    }
};

// Guards against idle workers that are kept although no urgent work needs whole workers.
TEST(UrgentReserve, keepsNothingWithoutDemand)
{
    CHECK_EQUAL(0, reserve.size(now));
    take(8, 250, 4000);
    CHECK_TRUE(reserve.size(now) > 0);
    now += milliseconds {10000};
    CHECK_EQUAL(0, reserve.size(now));
}

// Guards against a reserve that doesn't follow the demand: 32 workers a second.
TEST(UrgentReserve, coversTheDemandOfASecond)
{
    take(8, 250, 8000);
    CHECK_TRUE(reserve.size(now) >= 30 && reserve.size(now) <= 34);
}

// Guards against a reserve that is too small for the next job like the largest one.
TEST(UrgentReserve, coversTheLargestUnit)
{
    take(8, 4000, 8000);
    CHECK_EQUAL(8, reserve.size(now));
}

// Guards against urgent tasks that stop other work although idle workers could have been kept for
// them: small tasks of lower priority that spread over the whole fleet, in a load in which urgent
// jobs that need whole workers come again and again.
TEST(Scheduler, keepsIdleWorkersForUrgentWork)
{
    leader.configure(0);
    sendHeartbeats(8);
    leader.submit("/q0/a", leader_fixture::tasks(2, 8));
    leader.advance(100);
    CHECK_EQUAL(2, workersOf("a").size());
    leader.submit("/q2/b", leader_fixture::tasks(60, 1));
    leader.advance(100);
    CHECK_EQUAL(32, activeTasks("b"));
    leader.submit("/q0/c", leader_fixture::tasks(2, 8));
    leader.advance(100);
    CHECK_EQUAL(2, workersOf("c").size());
}

// Guards against work that waits beside an idle fleet because of the reserve.
TEST(Scheduler, usesTheReserveWhileMostOfTheFleetIsIdle)
{
    leader.configure(0);
    sendHeartbeats(3);
    leader.submit("/q0/a", leader_fixture::tasks(2, 8));
    leader.advance(100);
    for (std::uint32_t i = 0; i < 2; ++i)
        leader.commit(end_runs {{{{"a", 0, 0, i}, 1, end_kind::Done, ""}}, leader.wallMs});
    leader.submit("/q2/b", leader_fixture::tasks(3, 8));
    leader.advance(100);
    CHECK_EQUAL(1, activeTasks("b"));
    for (int ms = 0; ms < 1500; ms += 300) {
        sendHeartbeats(3);
        leader.advance(300);
    }
    CHECK_TRUE(activeTasks("b") >= 2);
}

namespace {

constexpr int comparingWorkers = 3;

// Lets a model believe that tasks of the second kind slow those of the first one down.
void teach(interference_model &model, time_point now, const task_kind &slowed,
           const task_kind &neighbour)
{
    const auto first = *model.indexOf(now, slowed, false);
    const auto second = *model.indexOf(now, neighbour, false);
    for (int round = 0; round < 20; ++round) {
        const auto worker = "w" + std::to_string(round % comparingWorkers + 1);
        run_history slow;
        run_history other;
        std::uint32_t percent = 0;
        for (int i = 0; i < 30; ++i) {
            const bool beside = i >= 10 && i < 20;
            percent += beside ? 1 : 4;
            std::vector<observed_run> rows;
            rows.push_back({&slow, first, false, true, false, percent, 0});
            if (beside)
                rows.push_back({&other, second, false, true, false, 0, 0});
            model.observe(now, {worker, std::int64_t {i} * 250, true, rows});
        }
        const observed_run end {&slow, first, false, true, true, 0, 0};
        model.observe(now, {worker, 7500, true, {&end, 1}});
    }
}

// Plans one pass over the workers w1 to wN, without the controller.
schedule_output planWith(leader_fixture &leader, int workers, const interference_model *model)
{
    std::vector<worker_report> reports;
    for (int i = 1; i <= workers; ++i)
        reports.push_back(leader.report("w" + std::to_string(i)));
    const stall_watch stalls;
    const std::set<std::pair<task_id, std::uint32_t>> stopping;
    const advice_cache advice;
    schedule_input input;
    input.state = &leader.state;
    for (const auto &report : reports)
        input.workers.emplace_back().report = &report;
    input.progress = [](const assignment &) { return std::optional<run_progress> {}; };
    input.stalls = &stalls;
    input.stopping = &stopping;
    input.advice = &advice;
    input.interference = model;
    input.now = leader.now;
    input.wallMs = leader.wallMs;
    scheduler planner;
    return planner.plan(input);
}

} // namespace

// Guards against two kinds that disturb each other and share a worker although another has room.
// The reverse pair isn't known: the task that comes second would be the one that disturbs.
TEST(Scheduler, keepsKindsApartThatDisturbEachOther)
{
    leader.configure(1);
    sendHeartbeats(1);
    leader.submit("/q1/a", leader_fixture::tasks(1, 1));
    leader.advance(100);
    CHECK_TRUE((workersOf("a") == std::set<std::string> {"w1"}));
    leader.submit("/q2/b", leader_fixture::tasks(1, 1));
    interference_model model;
    const auto packed = planWith(leader, 2, &model);
    CHECK_EQUAL(1, packed.starts.size());
    STRCMP_EQUAL("w1", packed.starts.front().worker.c_str());
    teach(model, leader.now, {"q1", 0}, {"q2", 0});
    CHECK_TRUE(model.believesAny());
    const auto apart = planWith(leader, 2, &model);
    CHECK_EQUAL(1, apart.starts.size());
    STRCMP_EQUAL("w2", apart.starts.front().worker.c_str());
}

// Guards against a task that waits because the only room is beside a kind that disturbs it.
TEST(Scheduler, sharesAWorkerIfThereIsNoOtherRoom)
{
    leader.configure(1);
    sendHeartbeats(1);
    leader.submit("/q1/a", leader_fixture::tasks(1, 1));
    leader.advance(100);
    leader.submit("/q2/b", leader_fixture::tasks(7, 1));
    interference_model model;
    teach(model, leader.now, {"q1", 0}, {"q2", 0});
    CHECK_TRUE(model.believesAny());
    CHECK_EQUAL(7, planWith(leader, 1, &model).starts.size());
}

// Guards against two disturbing kinds that are placed together in one pass, before any worker
// reports them.
TEST(Scheduler, keepsKindsApartThatStartInOnePass)
{
    leader.configure(1);
    leader.submit("/q1/a", leader_fixture::tasks(1, 1));
    leader.submit("/q2/b", leader_fixture::tasks(1, 1));
    interference_model model;
    teach(model, leader.now, {"q1", 0}, {"q2", 0});
    const auto output = planWith(leader, 2, &model);
    CHECK_EQUAL(2, output.starts.size());
    CHECK_TRUE(output.starts.front().worker != output.starts.back().worker);
}
