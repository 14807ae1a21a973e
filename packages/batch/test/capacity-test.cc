#include "crash_fleet.h"

#include <random>
#include <set>

using namespace persimmon;
using namespace persimmon::batch;

// Workers whose capacity changes while they run tasks. No start may exceed what a worker says of
// itself, including what it is still stopping.
TEST_GROUP(Capacity) {};

// Guards against starting what was placed before its worker has reported less capacity.
TEST(Capacity, placedTaskIsNotStartedOnAWorkerThatHasShrunk)
{
    leader_fixture leader;
    leader.configure(1);
    leader.submit("/q1/a", leader_fixture::tasks(1, 8));
    leader.sendHeartbeat(leader.report("w1"));
    leader.advance(100);
    CHECK_EQUAL(1, leader.state.runsOn("w1").size());
    auto shrunk = leader.report("w1");
    shrunk.capacity.accelerators = 4;
    CHECK_EQUAL(0, leader.sendHeartbeat(shrunk).starts.size());
    // The task goes where it fits.
    leader.sendHeartbeat(leader.report("w2"));
    shrunk.sequence = ++leader.sequence;
    leader.sendHeartbeat(shrunk);
    leader.advance(100);
    CHECK_EQUAL(0, leader.state.runsOn("w1").size());
    CHECK_EQUAL(1, leader.sendHeartbeat(leader.report("w2")).starts.size());
}

// Guards against counting a run that its worker still lists as gone, because its end was inferred.
TEST(Capacity, runThatIsListedAfterItsEndTakesItsPlace)
{
    leader_fixture leader;
    auto running = leader.startOnWorker(leader_fixture::tasks(1, 8));
    leader.commit(end_runs {{{{"a", 0, 0, 0}, 1, end_kind::Lapsed, ""}}, leader.wallMs});
    CHECK_EQUAL(1, leader.sendNextHeartbeat(running).stops.size());
    leader.advance(100);
    CHECK_EQUAL(0, leader.state.runsOn("w1").size());
    // While it is being stopped it is in no list.
    running.running.clear();
    CHECK_EQUAL(0, leader.sendNextHeartbeat(running).starts.size());
    leader.advance(100);
    CHECK_EQUAL(0, leader.state.runsOn("w1").size());
    running.ended.push_back({1, {"a", 0, 0, 0}, 1, end_kind::Stopped, ""});
    leader.sendNextHeartbeat(running);
    leader.advance(100);
    CHECK_EQUAL(1, leader.state.runsOn("w1").size());
}

// Guards against starts in the place of runs that the worker kills because its lease has expired.
TEST(Capacity, lapsedRunsTakeTheirPlaceUntilTheyAreStopped)
{
    crash_fleet fleet({.workers = 2, .taskMs = 60'000, .stopMs = 900});
    fleet.leader.configure(1);
    fleet.leader.submit("/q1/a", leader_fixture::tasks(2, 8));
    fleet.run(1000);
    for (std::int64_t cut = 4800; cut < 5600; cut += 100) {
        fleet.cutOffWorkerOf({"a", 0, 0, 0}, cut);
        fleet.run(cut + 3000);
    }
    CHECK_EQUAL(0, fleet.overfullStarts());
}

// Guards against starts beyond a capacity that shrinks and grows under load, with stops for urgent
// work, cuts, crashes and changes of the leader.
TEST(Capacity, startsFitWhileCapacityChanges)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        const auto draw = [&random](int limit) {
            return static_cast<int>(random() % static_cast<unsigned>(limit));
        };
        crash_fleet fleet({.workers = 6, .taskMs = 1500});
        fleet.leader.configure(0);
        for (int i = 0; i < 120; ++i) {
            const auto id = std::to_string(i);
            fleet.leader.submit(draw(4) == 0 ? "/q0/" + id : "/q2/" + id,
                                leader_fixture::pressingTasks(1U + static_cast<unsigned>(draw(6)),
                                                              1 + draw(8)));
            const std::int64_t accelerators = draw(9);
            fleet.setCapacity(draw(6), {accelerators * 1000, 8000, accelerators});
            if (draw(20) == 0)
                fleet.crashRange(draw(6), 1);
            if (draw(20) == 0)
                fleet.cutOffWorkerOf({id, 0, 0, 0}, std::int64_t {1000} * draw(9));
            if (draw(40) == 0)
                fleet.changeLeader();
            fleet.run(400);
        }
        if (fleet.overfullStarts() != 0)
            printf("seed %u\n", seed);
        CHECK_EQUAL(0, fleet.overfullStarts());
    }
}

// Guards against an answer that outgrows what a worker takes: it dropped the answer, and the next
// one was as large, for ever.
TEST(Capacity, startsOfALargeJobComeInSeveralAnswers)
{
    constexpr std::size_t taskCount = 1300;
    constexpr std::size_t maxAnswerBytes
            = std::size_t {512} * 1024; // far below the 4 MiB that a worker takes
    leader_fixture leader;
    leader.configure(0);
    auto report = leader.report("w1");
    report.capacity = {10'000'000, 10'000'000, 8};
    leader.sendHeartbeat(report);
    job_spec spec;
    spec.payload = std::string(4000, 'x');
    spec.steps = {leader_fixture::tasks(static_cast<std::uint32_t>(taskCount), 0)};
    for (const auto *path : {"/q2/large", "/q0/urgent"})
        leader.queues.submit(leader.wallMs, {"host", path, ""}, spec, [](const status &) {});
    std::set<task_id> started;
    for (int i = 0; i < 60 && started.size() < 2 * taskCount; ++i) {
        leader.advance(100);
        auto next = report;
        next.sequence = ++leader.sequence;
        for (const auto &task : started)
            next.running.push_back({task, 1, "", 1, 0});
        std::size_t bytes = 0;
        for (const auto &order : leader.sendHeartbeat(next).starts) {
            bytes += order.payload.size();
            CHECK_TRUE(order.task.job == "urgent" || started.size() >= taskCount);
            started.insert(order.task);
        }
        CHECK_TRUE(bytes <= maxAnswerBytes);
    }
    CHECK_EQUAL(2 * taskCount, started.size());
}
