#include "stall_judge.h"

using namespace persimmon;
using namespace persimmon::batch;

// The judge reports a job that has no run beside room, and nothing else.
TEST_GROUP(StallJudge)
{
    crash_fleet fleet {{.workers = 4, .taskMs = 100'000'000}};
    stall_judge judge;

    // Returns when the judge has reported a stall, or nothing within a limit.
    std::optional<std::int64_t> timeOfStall(std::int64_t limitMs)
    {
        const auto beginMs = fleet.leader.wallMs;
        while (fleet.leader.wallMs < beginMs + limitMs) {
            fleet.run(50);
            if (judge.look(fleet))
                return fleet.leader.wallMs - beginMs;
        }
        return std::nullopt;
    }

    // Lets nobody start anything.
    void stopPlacement()
    {
        fleet.setLeaders([] {}, [](const worker_report &) { return std::nullopt; });
    }

    void accept(const step_spec &step)
    {
        fleet.leader.configure(2);
        fleet.leader.submit("/q2/a", step);
    }
};

// Guards against a judge that sees no stall.
TEST(StallJudge, reportsAJobOfWhichNothingRuns)
{
    stopPlacement();
    accept(leader_fixture::tasks(1, 8));
    const auto ms = timeOfStall(10'000);
    CHECK_TRUE(ms.has_value() && *ms >= 3000 && *ms <= 3200);
}

// Guards against reports in the 7 s after a disturbance.
TEST(StallJudge, waitsForACalmTime)
{
    stopPlacement();
    accept(leader_fixture::tasks(1, 8));
    fleet.run(2000);
    judge.recordDisturbance(fleet);
    const auto ms = timeOfStall(10'000);
    CHECK_TRUE(ms.has_value() && *ms >= 7000 && *ms <= 7200);
}

// Guards against reports of jobs that run, or that have too little room.
TEST(StallJudge, reportsNoJobThatRunsOrHasNoRoom)
{
    accept(leader_fixture::tasks(3, 8));
    fleet.leader.submit("/q2/b", leader_fixture::tasks(3, 8));
    fleet.run(500);
    stopPlacement();
    fleet.leader.submit("/q2/c", leader_fixture::tasks(1, 8));
    CHECK_FALSE(timeOfStall(4500).has_value()); // later the leases expire
}

// Guards against room in several racks that isn't counted for a gang that prefers one.
TEST(StallJudge, countsRoomOverAllRacksForAGang)
{
    stopPlacement();
    auto gang = leader_fixture::tasks(2, 8);
    gang.gang = true;
    gang.sameRack = true;
    accept(gang);
    CHECK_TRUE(timeOfStall(4000).has_value());
}
