#include "batch/maintenance.h"
#include "fixture.h"

using namespace persimmon;
using namespace persimmon::batch;

TEST_GROUP(Maintenance)
{
    using answer_function = std::function<void(result<upkeep_outcome>)>;

    leader_fixture leader;
    std::vector<std::pair<upkeep_order, answer_function>> orders;
    maintenance upkeep {leader.state,
                        leader.workers,
                        {milliseconds {2000}, milliseconds {1000}},
                        [this](const command &value, const std::function<void(status)> &done) {
                            leader.commit(value);
                            done(std::monostate {});
                        }};

    void setup() override
    {
        upkeep.orderBy([this](const upkeep_order &order, const answer_function &done) {
            orders.emplace_back(order, done);
        });
        upkeep.beginTerm(1, leader.now);
        leader.configure(1);
    }

    worker_report reportOf(const std::string &machine, std::int64_t born = 1000)
    {
        auto report = leader.report("w-" + machine);
        report.machine = machine;
        report.born = born;
        for (const auto &[task, run] : leader.state.runsOn(report.id))
            report.running.push_back({task, run.run, "", 100, 0});
        return report;
    }

    void start(std::vector<std::string> machines, std::uint32_t atOnce,
               std::int64_t durationMs = 20000)
    {
        bool accepted = false;
        leader.queues.startWave(leader.wallMs, {1, std::move(machines), durationMs, atOnce},
                                [&](const status &done) { accepted = !failed(done); });
        CHECK_TRUE(accepted);
    }

    // Advances the time while the given machines send heartbeats.
    void pass(std::int64_t ms, const std::vector<std::string> &machines)
    {
        for (std::int64_t i = 0; i < ms; i += 100) {
            for (const auto &machine : machines)
                leader.sendHeartbeat(reportOf(machine));
            leader.advance(100);
            upkeep.tick(leader.now, leader.wallMs);
        }
    }

    void answer(std::size_t number, const result<upkeep_outcome> &outcome)
    {
        orders.at(number).second(outcome);
    }

    bool isDone()
    {
        bool waveDone = false;
        leader.queues.findWave(1, [&](const result<bool> &found) { waveDone = valueOf(found); });
        return waveDone;
    }
};

// Guards against more machines down at once than the wave allows, and against a wave that is
// reported as done too early.
TEST(Maintenance, limitsMachinesDownAtOnce)
{
    start({"a", "b"}, 1);
    pass(1500, {"a", "b"});
    CHECK_EQUAL(1, orders.size());
    STRCMP_EQUAL("a", orders[0].first.machine.c_str());
    answer(0, upkeep_outcome::Begun);
    pass(1500, {"b"});
    CHECK_EQUAL(1, orders.size());
    CHECK_FALSE(isDone());
    leader.sendHeartbeat(reportOf("a", 2000));
    pass(500, {"b"});
    CHECK_EQUAL(2, orders.size());
    CHECK_FALSE(isDone());
    answer(1, upkeep_outcome::Begun);
    CHECK_TRUE(isDone());
}

// Guards against upkeep of a machine that still runs tasks, and against new tasks on a cordoned
// machine.
TEST(Maintenance, movesTasksBeforeUpkeep)
{
    leader.sendHeartbeat(reportOf("a"));
    leader.submit("/q1/j", leader_fixture::tasks(1, 4));
    leader.advance(100);
    start({"a"}, 1, 6000);
    pass(1500, {"a"});
    leader.submit("/q1/k", leader_fixture::tasks(1, 4));
    pass(500, {"a"});
    CHECK_FALSE(leader.state.findJob("k")->occurrences[0][0].begun);
    CHECK_EQUAL(0, leader.sendHeartbeat(reportOf("a")).stops.size());
    pass(2000, {"a"});
    CHECK_EQUAL(1, leader.sendHeartbeat(reportOf("a")).stops.size());
    CHECK_EQUAL(0, orders.size());
    leader.commit(end_runs {{{{"j", 0, 0, 0}, 1, end_kind::Stopped, ""}}, leader.wallMs});
    pass(200, {"a"});
    CHECK_EQUAL(1, orders.size());
}

// Guards against a lost answer after which another machine is ordered although the first one may be
// down.
TEST(Maintenance, repeatsAnOrderWithoutAnswer)
{
    start({"a", "b"}, 1);
    pass(1500, {"a", "b"});
    answer(0, error {result_code::RpcFailed, "no answer", {}, {}});
    pass(1500, {"a", "b"});
    CHECK_EQUAL(2, orders.size());
    STRCMP_EQUAL("a", orders[1].first.machine.c_str());
    CHECK_EQUAL(orders[0].first.fencingToken, orders[1].first.fencingToken);
}

// Guards against a busy machine that blocks the upkeep of all others.
TEST(Maintenance, busyMachineDoesNotBlockOthers)
{
    start({"a", "b"}, 1);
    pass(1500, {"a", "b"});
    answer(0, upkeep_outcome::Busy);
    pass(500, {"a", "b"});
    STRCMP_EQUAL("b", orders.back().first.machine.c_str());
    answer(orders.size() - 1, upkeep_outcome::NoMachine);
    pass(3000, {"a"});
    STRCMP_EQUAL("a", orders.back().first.machine.c_str());
    CHECK_FALSE(isDone());
}

// Guards against orders of a new leader while orders of the previous one may still take effect.
TEST(Maintenance, newLeaderWaitsBeforeItsFirstOrder)
{
    start({"a"}, 1);
    pass(900, {"a"});
    CHECK_EQUAL(0, orders.size());
    upkeep.beginTerm(2, leader.now);
    pass(900, {"a"});
    CHECK_EQUAL(0, orders.size());
    pass(500, {"a"});
    CHECK_EQUAL(1, orders.size());
    CHECK_EQUAL(2, orders[0].first.fencingToken);
}

// Guards against upkeep that stops more tasks of a step than its disruption budget allows.
TEST(Maintenance, keepsDisruptionBudgets)
{
    auto step = leader_fixture::tasks(2, 8);
    step.longRunning = true;
    step.disruptionBudget = 1;
    leader.submit("/q1/j", step);
    for (const auto *machine : {"a", "b"})
        leader.sendHeartbeat(reportOf(machine));
    leader.advance(100);
    start({"a", "b"}, 2, 6000);
    pass(4000, {"a", "b"});
    CHECK_EQUAL(1,
                leader.sendHeartbeat(reportOf("a")).stops.size()
                        + leader.sendHeartbeat(reportOf("b")).stops.size());
}

// Guards against waves that are missing from a snapshot.
TEST(Maintenance, snapshotRestoresWaves)
{
    start({"a"}, 1);
    pass(1500, {"a"});
    ledger copy;
    CHECK_FALSE(failed(copy.restore(leader.state.snapshot())));
    CHECK_TRUE(copy.waves().at(1).machines.at("a").phase == upkeep_phase::Ordered);
}
