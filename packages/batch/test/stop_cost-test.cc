#include "stop_cost.h"

#include "fixture.h"

using namespace persimmon;
using namespace persimmon::batch;
using detail::isWorthwhile;
using detail::stop_gain;
using detail::stopCostSeconds;

namespace {

constexpr std::int64_t lateStart = 100'000;

} // namespace

TEST_GROUP(StopCost)
{
    leader_fixture leader;
    std::uint32_t percent = 0; // of the newest report

    // Returns how many runs worker w1 has to stop; all of its runs make progress.
    std::size_t stops()
    {
        auto report = leader.report("w1");
        ++percent;
        for (const auto &[task, run] : leader.state.runsOn("w1"))
            report.running.push_back({task, run.run, "", percent, 0});
        return leader.sendHeartbeat(report).stops.size();
    }
};

// Guards against stopping a run that loses all of its work in place of one that resumes.
TEST(StopCost, checkpointableRunsCostTheirRestart)
{
    step_spec spec;
    const run_progress progress {time_point {milliseconds {1000}}, 50, {}};
    const time_point now {milliseconds {9000}};
    DOUBLES_EQUAL(8, stopCostSeconds(progress, spec, milliseconds {2000}, now), 1e-9);
    spec.checkpointable = true;
    DOUBLES_EQUAL(2, stopCostSeconds(progress, spec, milliseconds {2000}, now), 1e-9);
}

// Guards against a large gang that is stopped for a few small tasks: under a load that fills the
// fleet, more work would be done again than is done in time.
TEST(StopCost, stopsThatCostMoreThanTheyGainWait)
{
    const stop_gain gain {100, lateStart, false};
    CHECK_TRUE(isWorthwhile(299, gain, 0));
    CHECK_FALSE(isWorthwhile(301, gain, 0));
}

// Guards against urgent work that waits until it has no value, and against reserved accelerators
// that aren't given back.
TEST(StopCost, waitsNeitherTooLongNorForAReservation)
{
    CHECK_TRUE(isWorthwhile(301, {100, lateStart, false}, lateStart - 1500));
    CHECK_TRUE(isWorthwhile(301, {100, lateStart, true}, 0));
}

// Guards against long work that is stopped at once for a task of a quarter of a second, and against
// such a task that waits until it has no value.
TEST(StopCost, longWorkIsStoppedForAShortTaskOnlyAtTheEnd)
{
    leader.configure(0);
    leader.sendHeartbeat(leader.report("w1"));
    leader.submit("/q2/long", leader_fixture::tasks(1, 8));
    leader.advance(100);
    for (int i = 0; i < 10; ++i) {
        CHECK_EQUAL(0, stops());
        leader.advance(1000);
    }
    leader.submit("/q0/short", leader_fixture::pressingTasks(1, 8));
    for (int i = 0; i < 3; ++i) {
        leader.advance(1000);
        CHECK_EQUAL(0, stops());
    }
    leader.advance(800);
    CHECK_EQUAL(1, stops());
}
