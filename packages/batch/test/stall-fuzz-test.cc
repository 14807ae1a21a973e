// Runs jobs of all kinds on fleets that are mostly in use, with disturbances and changes of the
// leader. Whenever it is calm, each job must run within 3 s beside room that stands.

// CppUTest redefines `new`, so its header comes after RapidCheck's.
#include "seeded_check.h"

#include "stall_session.h"

using namespace persimmon;
using namespace persimmon::batch;

TEST_GROUP(StallFuzz) {};

// Guards against whatever keeps a job from room for long, also after a change of the leader.
TEST(StallFuzz, jobsRunBesideRoomWheneverItIsCalm)
{
    CHECK_TRUE(test::checkSeeded("no job stalls beside room", 25, [] {
        const auto [fill, actions] = *rc::gen::resize(
                rc::kNominalSize,
                rc::gen::pair(rc::gen::inRange(0, 135),
                              rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4000))));
        stall_session session(fill);
        for (const auto action : actions)
            session.perform(action);
        session.runCalmly(12'000);
        if (session.stalled())
            RC_LOG() << *session.stalled() << "\n";
        RC_ASSERT(!session.stalled());
    }));
}

// Guards against starts in an evacuated zone, and against jobs that stall beside room elsewhere,
// whoever leads.
TEST(StallFuzz, evacuatedZonesGetNothingAndStallNothing)
{
    constexpr int evacuation = 4000; // actions from here on
    CHECK_TRUE(test::checkSeeded("evacuated zones get nothing", 15, [] {
        const auto [fill, actions] = *rc::gen::resize(
                rc::kNominalSize,
                rc::gen::pair(rc::gen::inRange(0, 135),
                              rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5000))));
        stall_session session(fill);
        for (const auto action : actions) {
            if (action < evacuation)
                session.perform(action);
            else
                session.moveEvacuation(action);
        }
        session.runCalmly(12'000);
        if (session.stalled())
            RC_LOG() << *session.stalled() << "\n";
        RC_ASSERT(!session.stalled());
        RC_ASSERT(session.fleet().startsInEvacuatedZones() == 0);
    }));
}

// Guards against a gang that lasts and is started again too late under a new leader, because its
// other members are stopped only when the run of the lost one is given up. Found by the search.
TEST(StallFuzz, gangThatLastsRunsInTimeUnderANewLeader)
{
    stall_session session(83);
    for (const auto action :
         {154, 3842, 1129, 2994, 2369, 1046, 2941, 2564, 425, 501, 2112, 783, 3356, 2183, 2714})
        session.perform(action);
    session.runCalmly(12'000);
    if (session.stalled())
        FAIL(session.stalled()->c_str());
}
