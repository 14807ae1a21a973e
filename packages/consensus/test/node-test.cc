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

// Proposes the commands concurrently and waits for their replies.
void commitBatch(cluster &group, int count)
{
    const auto id = group.awaitLeader();
    const auto before = group.checker.acknowledgedCount();
    for (int i = 0; i < count; ++i)
        group.propose(id);
    const auto done = [&] { return group.checker.acknowledgedCount() == before + count; };
    group.await(done, milliseconds(10000), "a batch of commands");
}

voter_id nodeOtherThan(const std::set<voter_id> &ids)
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

// Guards against: a group that elects no leader or loses commands in a restart of all nodes.
TEST(node, groupsElectCommitAndRestart)
{
    for (const std::size_t size : {1U, 3U, 5U}) {
        cluster group(size, size);
        group.awaitLeader(milliseconds(2000));
        commit(group, 100);
        commitBatch(group, 500);
        for (voter_id id = 1; id <= size; ++id)
            group.crash(id);
        for (voter_id id = 1; id <= size; ++id)
            group.start(id);
        group.awaitConvergence();
        CHECK(group.checker.acknowledgedCount() >= 601);
    }
}

// Guards against: stale reads and lost commits while a partition separates the old leader from the
// new one, and a returning node that deposes the leader with a higher term.
TEST(node, partitionedLeaderStopsServingReadsWithinItsLease)
{
    cluster group(7, 5);
    const auto oldLeader = group.awaitLeader();
    commit(group, 10);
    group.isolate({oldLeader});
    group.propose(oldLeader);
    group.advance(milliseconds(300));
    CHECK_FALSE(group.at(oldLeader).canServeReads(group.now(oldLeader)));
    group.advance(milliseconds(2000));
    CHECK(group.lastFailure == result_code::NoQuorum);
    CHECK(group.state(oldLeader).role != node_role::Leader);
    const auto newLeader = group.awaitLeader(milliseconds(1000));
    CHECK(newLeader != oldLeader);
    commit(group, 10);
    group.advance(std::chrono::minutes(10));
    const auto term = group.state(newLeader).term;
    group.heal();
    group.awaitConvergence();
    LONGS_EQUAL(term, group.state(newLeader).term);
    CHECK(group.state(newLeader).role == node_role::Leader);
}

// Guards against: a reply, a vote or an acknowledgement that is sent before the sync it depends on.
TEST(node, repliesOnlyAfterAQuorumSynced)
{
    for (const bool leaderIsSlow : {false, true}) {
        cluster group(22, 3);
        const auto leader = group.awaitLeader();
        commit(group, 5);
        const auto fast = leaderIsSlow ? nodeOtherThan({leader}) : leader;
        for (voter_id id = 1; id <= 3; ++id)
            group.disk(id).syncTime = milliseconds(id == fast ? 1 : 200);
        const auto before = group.checker.acknowledgedCount();
        group.propose(leader);
        group.advance(milliseconds(150));
        LONGS_EQUAL(before, group.checker.acknowledgedCount());
        group.advance(milliseconds(150));
        LONGS_EQUAL(before + 1, group.checker.acknowledgedCount());
    }
}

// Guards against: proposals that never complete, and NotLeader for a command that may still be
// committed.
TEST(node, leaderWithoutFollowersFailsWithNoQuorum)
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
    group.awaitConvergence();
}

// Guards against: the election of a leader without a committed entry by a node that has lost its
// acknowledgement or vote with its disk.
TEST(node, lostDiskDoesNotVote)
{
    for (const bool damaged : {false, true}) {
        cluster group(9, 3);
        commit(group, 20);
        const auto upToDate = group.awaitLeader();
        const auto lagging = nodeOtherThan({upToDate});
        const auto lost = nodeOtherThan({upToDate, lagging});
        group.crash(lagging);
        commit(group, 20);
        group.crash(upToDate);
        group.loseDisk(lost, damaged);
        group.start(lagging);
        group.advance(milliseconds(10000));
        LONGS_EQUAL(0, group.leader());
        CHECK(group.state(lost).role == node_role::Learner);
        group.start(upToDate);
        group.awaitConvergence();
        CHECK_TRUE(group.admitted(lost));
    }
}

// Guards against: a node with a lost disk that is readmitted, or counts in a quorum, without a
// majority of nodes with intact state.
TEST(node, lostDiskDoesNotCountInQuorum)
{
    cluster group(23, 3);
    commit(group, 20);
    const auto leader = group.awaitLeader();
    const auto lost = nodeOtherThan({leader});
    group.crash(nodeOtherThan({leader, lost}));
    group.loseDisk(lost, true);
    const auto before = group.checker.acknowledgedCount();
    group.propose(leader);
    group.advance(milliseconds(2000));
    LONGS_EQUAL(before, group.checker.acknowledgedCount());
    CHECK_FALSE(group.admitted(lost));
    CHECK(group.state(leader).role != node_role::Leader);
    group.start(nodeOtherThan({leader, lost}));
    group.awaitConvergence();
}

// Guards against: a repaired node that counts in a quorum before it holds all entries it has
// acknowledged.
TEST(node, secondDiskLostRightAfterRepair)
{
    for (voter_id second = 1; second <= 3; ++second) {
        cluster group(10 + second, 3);
        commit(group, 60);
        const auto first = nodeOtherThan({second});
        group.loseDisk(first, second == 2);
        group.await([&] { return group.admitted(first); }, milliseconds(5000), "the repair");
        group.loseDisk(second, second == 1);
        group.awaitConvergence();
        group.loseDisk(first, false);
        group.awaitConvergence();
    }
}

// Guards against: one message per missed entry, and flow control that stalls after message loss.
TEST(node, catchesUpAfterHundredsOfMissedEntries)
{
    cluster group(14, 3, 0, 100000);
    const auto leader = group.awaitLeader();
    const auto lagging = nodeOtherThan({leader});
    group.crash(lagging);
    for (int i = 0; i < 16; ++i)
        commitBatch(group, 50);
    group.dropPercent = 10;
    group.start(lagging);
    const auto done = [&] { return group.state(lagging).applied == group.state(leader).lastIndex; };
    group.await(done, milliseconds(1000), "the catch-up");
    LONGS_EQUAL(0, group.state(lagging).snapshotIndex);
    group.dropPercent = 0;
    group.awaitConvergence();
}

// Guards against: reordered or lost snapshot chunks, and a log that grows without bound.
TEST(node, installsSnapshotsInChunks)
{
    cluster group(15, 3);
    group.snapshotPadding = 1500000;
    for (voter_id id = 1; id <= 3; ++id) {
        group.crash(id);
        group.start(id);
    }
    const auto leader = group.awaitLeader();
    const auto lagging = nodeOtherThan({leader});
    group.crash(lagging);
    for (int i = 0; i < 10; ++i)
        commitBatch(group, 50);
    CHECK(group.state(leader).lastIndex - group.state(leader).snapshotIndex <= 100);
    CHECK(group.disk(leader).image.entries.size() <= 100);
    // The transfer starts again after a restart during it and after one between its end and the
    // sync.
    group.start(lagging);
    group.advance(milliseconds(65));
    group.crash(lagging);
    group.start(lagging);
    group.disk(lagging).syncTime = milliseconds(300);
    const auto installed = [&] { return group.state(lagging).snapshotIndex > 400; };
    group.await(installed, milliseconds(5000), "the snapshot after a restart");
    group.crash(lagging);
    group.disk(lagging).syncTime = milliseconds(1);
    group.dropPercent = 10;
    group.duplicatePercent = 10;
    group.start(lagging);
    group.await(installed, milliseconds(5000), "the snapshot after an unsynced one");
    group.dropPercent = 0;
    group.awaitConvergence();
    // The node must also restart from the installed snapshot.
    group.crash(lagging);
    group.start(lagging);
    group.awaitConvergence();
}

// Guards against: a planned stop that takes an election time-out, and two leaders that both serve
// reads.
TEST(node, transfersLeadership)
{
    cluster group(16, 3);
    const auto oldLeader = group.awaitLeader();
    commit(group, 10);
    group.at(oldLeader).transferLeadership(group.now(oldLeader));
    const auto moved = [&] { return group.leader() != 0 && group.leader() != oldLeader; };
    group.await(moved, milliseconds(100), "the transfer");
    CHECK_FALSE(group.at(oldLeader).canServeReads(group.now(oldLeader)));
    group.awaitConvergence();
}

// Guards against: a leader that serves reads after it has allowed an election that bypasses its
// lease.
TEST(node, lostTransferEndsLeadership)
{
    cluster group(17, 3);
    const auto oldLeader = group.awaitLeader();
    commit(group, 10);
    group.at(oldLeader).transferLeadership(group.now(oldLeader));
    group.isolate({oldLeader});
    CHECK_FALSE(group.at(oldLeader).canServeReads(group.now(oldLeader)));
    group.propose(oldLeader);
    CHECK(group.lastFailure == result_code::NotLeader);
    group.advance(milliseconds(400));
    CHECK(group.state(oldLeader).role != node_role::Leader);
    group.heal();
    group.awaitConvergence();
}

// Guards against: concurrent membership changes, and a removed leader that does not step down.
TEST(node, changesMembershipOneAtATime)
{
    cluster group(18, 3, 2);
    commit(group, 100);
    CHECK(group.change(4, true) == result_code::Ok);
    const auto leader = group.awaitLeader();
    result_code first = result_code::Internal;
    result_code second = result_code::Internal;
    const auto store = [](result_code &code) {
        return [&code](auto outcome) {
            code = failed(outcome) ? errorOf(outcome).code : result_code::Ok;
        };
    };
    group.at(leader).addVoter(group.now(leader), 5, store(first));
    group.at(leader).removeVoter(group.now(leader), 4, store(second));
    CHECK(second == result_code::InProgress);
    group.await([&] { return first == result_code::Ok; }, milliseconds(5000), "the new voter");
    LONGS_EQUAL(5, group.state(leader).peers.size());
    CHECK(group.change(leader, false) == result_code::Ok);
    group.awaitConvergence();
    const auto newLeader = group.awaitLeader();
    CHECK(newLeader != leader);
    LONGS_EQUAL(4, group.state(newLeader).peers.size());
    CHECK(group.state(leader).role == node_role::Learner);
    group.crash(group.awaitLeader());
    group.commitOne();
}

// Guards against: a group that stays without a leader because the leader being removed holds the
// most complete log but no longer starts elections.
TEST(node, leaderBeingRemovedCampaignsUntilRemovalIsCommitted)
{
    cluster group(25, 4);
    commit(group, 10);
    const auto oldLeader = group.awaitLeader();
    group.isolate({oldLeader});
    group.at(oldLeader).removeVoter(group.now(oldLeader), oldLeader, [](const auto &) {});
    group.advance(milliseconds(200));
    group.crash(nodeOtherThan({oldLeader}));
    group.advance(milliseconds(1000));
    group.heal();
    group.commitOne();
    group.start(nodeOtherThan({oldLeader}));
    group.awaitConvergence();
    LONGS_EQUAL(3, group.state(group.awaitLeader()).peers.size());
}

// Guards against: a new voter that counts in the quorum before it holds the log.
TEST(node, unreachableLearnerDoesNotCountInQuorum)
{
    cluster group(19, 3, 1);
    commit(group, 10);
    group.crash(4);
    CHECK(group.change(4, true) == result_code::NoQuorum);
    LONGS_EQUAL(3, group.state(group.awaitLeader()).peers.size());
    group.start(4);
    CHECK(group.change(4, true) == result_code::Ok);
    group.awaitConvergence();
}

// Guards against: a re-added voter with an old log that counts in the quorum before it has caught
// up.
TEST(node, returningVoterCatchesUpBeforeItCountsInQuorum)
{
    cluster group(24, 3, 1, 100000);
    CHECK(group.change(4, true) == result_code::Ok);
    CHECK(group.change(4, false) == result_code::Ok);
    group.crash(4);
    for (int i = 0; i < 30; ++i)
        commitBatch(group, 100);
    group.start(4);
    group.disk(4).syncTime = milliseconds(50);
    CHECK(group.change(4, true) == result_code::Ok);
    const auto state = group.state(group.awaitLeader());
    const auto added = std::ranges::find(state.peers, 4U, &peer_status::id);
    CHECK(added->matched + 200 > state.lastIndex);
    group.awaitConvergence();
}

// Guards against: a leader that continues after its disk has failed.
TEST(node, failedDiskEndsLeadership)
{
    cluster group(20, 3);
    const auto oldLeader = group.awaitLeader();
    commit(group, 10);
    group.disk(oldLeader).failing = true;
    group.propose(oldLeader);
    group.advance(milliseconds(1000));
    CHECK(group.lastFailure == result_code::StorageFailed);
    CHECK(group.state(oldLeader).role == node_role::Learner);
    CHECK(group.awaitLeader() != oldLeader);
    group.disk(oldLeader).failing = false;
    group.crash(oldLeader);
    group.start(oldLeader);
    group.awaitConvergence();
}

// Guards against: a crash of the process on a malformed message.
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
    group.awaitConvergence();
}
