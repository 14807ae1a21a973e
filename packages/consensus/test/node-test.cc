#include "test-network.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::consensus;
using namespace persimmon::consensus::testing;

namespace {

void commit(cluster &group, int count)
{
    for (int i = 0; i < count; ++i)
        group.commitOne();
}

// Proposes many commands at once.
void burst(cluster &group, int count)
{
    const auto id = group.awaitLeader();
    const auto before = group.judge.answered();
    for (int i = 0; i < count; ++i)
        group.propose(id);
    const auto done = [&] { return group.judge.answered() == before + count; };
    group.await(done, milliseconds(10000), "a burst");
}

voter_id otherThan(const std::set<voter_id> &ids)
{
    voter_id id = 1;
    while (ids.contains(id))
        ++id;
    return id;
}

void failTest(const std::string &text)
{
    FAIL(text.c_str());
}

} // namespace

TEST_GROUP(node)
{
    decltype(reportViolation) previous = reportViolation;

    void setup() override
    {
        reportViolation = failTest;
    }
    void teardown() override
    {
        reportViolation = previous;
    }
};

// Guards against: a group that elects nobody or loses commands over a restart of all nodes.
TEST(node, groupsElectCommitAndRestart)
{
    for (const std::size_t size : {1U, 3U, 5U}) {
        cluster group(size, size);
        group.awaitLeader(milliseconds(2000));
        commit(group, 100);
        burst(group, 500);
        for (voter_id id = 1; id <= size; ++id)
            group.crash(id);
        for (voter_id id = 1; id <= size; ++id)
            group.start(id);
        group.settle();
        CHECK(group.judge.answered() >= 601);
    }
}

// Guards against: stale reads and lost commits while a silent partition hides the new leader, and
// a returning node that deposes the leader with a higher term.
TEST(node, partitionedLeaderStopsAnsweringWithinItsLease)
{
    cluster group(7, 5);
    const auto old = group.awaitLeader();
    commit(group, 10);
    group.isolate({old});
    group.propose(old);
    group.advance(milliseconds(300));
    CHECK_FALSE(group.at(old).canServeReads(group.now(old)));
    group.advance(milliseconds(2000));
    CHECK(group.lastFailure == result_code::NoQuorum);
    CHECK(group.state(old).role != node_role::Leader);
    const auto current = group.awaitLeader(milliseconds(1000));
    CHECK(current != old);
    commit(group, 10);
    group.advance(std::chrono::minutes(10));
    const auto term = group.state(current).term;
    group.heal();
    group.settle();
    LONGS_EQUAL(term, group.state(current).term);
    CHECK(group.state(current).role == node_role::Leader);
}

// Guards against: a reply, a vote or an acknowledgement that leaves before the sync it relies on.
TEST(node, answersOnlyAfterAQuorumSynced)
{
    for (const bool leaderIsSlow : {false, true}) {
        cluster group(22, 3);
        const auto leader = group.awaitLeader();
        commit(group, 5);
        const auto fast = leaderIsSlow ? otherThan({leader}) : leader;
        for (voter_id id = 1; id <= 3; ++id)
            group.disk(id).syncTime = milliseconds(id == fast ? 1 : 200);
        const auto before = group.judge.answered();
        group.propose(leader);
        group.advance(milliseconds(150));
        LONGS_EQUAL(before, group.judge.answered());
        group.advance(milliseconds(150));
        LONGS_EQUAL(before + 1, group.judge.answered());
    }
}

// Guards against: callers that wait for ever, or are told "not committed" when it may be.
TEST(node, leaderWithoutFollowersAnswersNoQuorum)
{
    cluster group(8, 3);
    const auto id = group.awaitLeader();
    group.isolate({id});
    group.propose(id);
    group.advance(milliseconds(1500));
    CHECK(group.lastFailure == result_code::NoQuorum);
    group.propose(id);
    CHECK(group.lastFailure == result_code::NotLeader);
    group.heal();
    group.settle();
}

// Guards against: a lost disk whose forgotten acknowledgement or vote elects a leader without a
// committed entry.
TEST(node, lostDiskDoesNotVote)
{
    for (const bool damaged : {false, true}) {
        cluster group(9, 3);
        commit(group, 20);
        const auto keeper = group.awaitLeader();
        const auto behind = otherThan({keeper});
        const auto lost = otherThan({keeper, behind});
        group.crash(behind);
        commit(group, 20);
        group.crash(keeper);
        group.loseDisk(lost, damaged);
        group.start(behind);
        group.advance(milliseconds(10000));
        LONGS_EQUAL(0, group.leader());
        CHECK(group.state(lost).role == node_role::Learner);
        group.start(keeper);
        group.settle();
        CHECK_TRUE(group.admitted(lost));
    }
}

// Guards against: a lost disk that is readmitted, or counts in a quorum, without a majority of
// nodes that kept their state.
TEST(node, lostDiskDoesNotCount)
{
    cluster group(23, 3);
    commit(group, 20);
    const auto leader = group.awaitLeader();
    const auto lost = otherThan({leader});
    group.crash(otherThan({leader, lost}));
    group.loseDisk(lost, true);
    const auto before = group.judge.answered();
    group.propose(leader);
    group.advance(milliseconds(2000));
    LONGS_EQUAL(before, group.judge.answered());
    CHECK_FALSE(group.admitted(lost));
    CHECK(group.state(leader).role != node_role::Leader);
    group.start(otherThan({leader, lost}));
    group.settle();
}

// Guards against: a repaired node that counts before it holds everything it acknowledged.
TEST(node, secondDiskLostRightAfterRepair)
{
    for (voter_id second = 1; second <= 3; ++second) {
        cluster group(10 + second, 3);
        commit(group, 60);
        const auto first = otherThan({second});
        group.loseDisk(first, second == 2);
        group.await([&] { return group.admitted(first); }, milliseconds(5000), "the repair");
        group.loseDisk(second, second == 1);
        group.settle();
        group.loseDisk(first, false);
        group.settle();
    }
}

// Guards against: one message per missed entry, and flow control that stalls after losses.
TEST(node, catchesUpAfterHundredsOfMissedEntries)
{
    cluster group(14, 3, 0, 100000);
    const auto leader = group.awaitLeader();
    const auto missing = otherThan({leader});
    group.crash(missing);
    for (int i = 0; i < 16; ++i)
        burst(group, 50);
    group.dropPercent = 10;
    group.start(missing);
    const auto done = [&] { return group.state(missing).applied == group.state(leader).lastIndex; };
    group.await(done, milliseconds(1000), "the catch-up");
    LONGS_EQUAL(0, group.state(missing).snapshotIndex);
    group.dropPercent = 0;
    group.settle();
}

// Guards against: chunks that are mixed up or lost, and a log that grows without bound.
TEST(node, installsSnapshotsInChunks)
{
    cluster group(15, 3);
    group.snapshotPadding = 1500000;
    for (voter_id id = 1; id <= 3; ++id) {
        group.crash(id);
        group.start(id);
    }
    const auto leader = group.awaitLeader();
    const auto missing = otherThan({leader});
    group.crash(missing);
    for (int i = 0; i < 10; ++i)
        burst(group, 50);
    CHECK(group.state(leader).lastIndex - group.state(leader).snapshotIndex <= 100);
    CHECK(group.disk(leader).image.entries.size() <= 100);
    // A restart during the transfer, and one after it but before the sync, start it again.
    group.start(missing);
    group.advance(milliseconds(65));
    group.crash(missing);
    group.start(missing);
    group.disk(missing).syncTime = milliseconds(300);
    const auto installed = [&] { return group.state(missing).snapshotIndex > 400; };
    group.await(installed, milliseconds(5000), "the snapshot after a restart");
    group.crash(missing);
    group.disk(missing).syncTime = milliseconds(1);
    group.dropPercent = 10;
    group.duplicatePercent = 10;
    group.start(missing);
    group.await(installed, milliseconds(5000), "the snapshot after an unsynced one");
    group.dropPercent = 0;
    group.settle();
    // The installed snapshot must also carry the node over its next restart.
    group.crash(missing);
    group.start(missing);
    group.settle();
}

// Guards against: a planned stop that costs an election time-out, and two leaders that both answer.
TEST(node, transfersLeadership)
{
    cluster group(16, 3);
    const auto old = group.awaitLeader();
    commit(group, 10);
    group.at(old).transferLeadership(group.now(old));
    const auto moved = [&] { return group.leader() != 0 && group.leader() != old; };
    group.await(moved, milliseconds(100), "the transfer");
    CHECK_FALSE(group.at(old).canServeReads(group.now(old)));
    group.settle();
}

// Guards against: a leader that keeps answering reads after it allowed an election that ignores its
// lease.
TEST(node, lostTransferEndsLeadership)
{
    cluster group(17, 3);
    const auto old = group.awaitLeader();
    commit(group, 10);
    group.at(old).transferLeadership(group.now(old));
    group.isolate({old});
    CHECK_FALSE(group.at(old).canServeReads(group.now(old)));
    group.propose(old);
    CHECK(group.lastFailure == result_code::NotLeader);
    group.advance(milliseconds(400));
    CHECK(group.state(old).role != node_role::Leader);
    group.heal();
    group.settle();
}

// Guards against: two membership changes at once, and a removed leader that stays.
TEST(node, changesMembershipOneAtATime)
{
    cluster group(18, 3, 2);
    commit(group, 100);
    CHECK(group.change(4, true) == result_code::Ok);
    const auto leader = group.awaitLeader();
    result_code first = result_code::Internal;
    result_code second = result_code::Internal;
    const auto note = [](result_code &code) {
        return [&code](auto outcome) {
            code = failed(outcome) ? errorOf(outcome).code : result_code::Ok;
        };
    };
    group.at(leader).addVoter(group.now(leader), 5, note(first));
    group.at(leader).removeVoter(group.now(leader), 4, note(second));
    CHECK(second == result_code::InProgress);
    group.await([&] { return first == result_code::Ok; }, milliseconds(5000), "the new voter");
    LONGS_EQUAL(5, group.state(leader).peers.size());
    CHECK(group.change(leader, false) == result_code::Ok);
    group.settle();
    const auto current = group.awaitLeader();
    CHECK(current != leader);
    LONGS_EQUAL(4, group.state(current).peers.size());
    CHECK(group.state(leader).role == node_role::Learner);
    group.crash(group.awaitLeader());
    group.commitOne();
}

// Guards against: a group that stays without a leader because the leader being removed holds the
// longest log but no longer stands for election.
TEST(node, leaderBeingRemovedStandsUntilItsRemovalIsCommitted)
{
    cluster group(25, 4);
    commit(group, 10);
    const auto old = group.awaitLeader();
    group.isolate({old});
    group.at(old).removeVoter(group.now(old), old, [](const auto &) {});
    group.advance(milliseconds(200));
    group.crash(otherThan({old}));
    group.advance(milliseconds(1000));
    group.heal();
    group.commitOne();
    group.start(otherThan({old}));
    group.settle();
    LONGS_EQUAL(3, group.state(group.awaitLeader()).peers.size());
}

// Guards against: a new voter that counts in the quorum before it holds the log.
TEST(node, unreachableLearnerNeverCounts)
{
    cluster group(19, 3, 1);
    commit(group, 10);
    group.crash(4);
    CHECK(group.change(4, true) == result_code::NoQuorum);
    LONGS_EQUAL(3, group.state(group.awaitLeader()).peers.size());
    group.start(4);
    CHECK(group.change(4, true) == result_code::Ok);
    group.settle();
}

// Guards against: a voter that returns with an old log and counts before it has caught up.
TEST(node, returningVoterCatchesUpBeforeItCounts)
{
    cluster group(24, 3, 1, 100000);
    CHECK(group.change(4, true) == result_code::Ok);
    CHECK(group.change(4, false) == result_code::Ok);
    group.crash(4);
    for (int i = 0; i < 30; ++i)
        burst(group, 100);
    group.start(4);
    group.disk(4).syncTime = milliseconds(50);
    CHECK(group.change(4, true) == result_code::Ok);
    const auto state = group.state(group.awaitLeader());
    const auto added = std::ranges::find(state.peers, 4U, &peer_status::id);
    CHECK(added->matched + 200 > state.lastIndex);
    group.settle();
}

// Guards against: a leader that goes on with a disk that can't store its log.
TEST(node, failedDiskEndsLeadership)
{
    cluster group(20, 3);
    const auto old = group.awaitLeader();
    commit(group, 10);
    group.disk(old).failing = true;
    group.propose(old);
    group.advance(milliseconds(1000));
    CHECK(group.lastFailure == result_code::StorageFailed);
    CHECK(group.state(old).role == node_role::Learner);
    CHECK(group.awaitLeader() != old);
    group.disk(old).failing = false;
    group.crash(old);
    group.start(old);
    group.settle();
}

// Guards against: a malformed message that ends the process.
TEST(node, ignoresMalformedMessages)
{
    cluster group(21, 1);
    group.awaitLeader();
    std::mt19937_64 random(21);
    for (int i = 0; i < 1000; ++i) {
        byte_buffer bytes(8 * (random() % 40));
        for (auto &byte : bytes)
            byte = static_cast<std::byte>(random() % (i % 2 == 0 ? 256 : 3));
        group.at(1).receive(group.now(1), bytes);
    }
    group.settle();
}
