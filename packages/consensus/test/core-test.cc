#include "core.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::consensus;
using namespace persimmon::consensus::detail;

namespace {

const time_point start = time_point(std::chrono::hours(1));

// Returns node 1 of three in term 2, with one entry each of terms 1 and 2.
core makeCore()
{
    core_options options;
    options.node.self = 1;
    options.node.voters = {1, 2, 3};
    stored_state stored;
    stored.vote = {2, 3, 5, false};
    stored.entries = {{1, 1, entry_kind::Barrier, {}}, {2, 2, entry_kind::Barrier, {}}};
    return {options, stored, start};
}

message from(voter_id id, message_kind kind, term_number term)
{
    message value;
    value.kind = kind;
    value.from = id;
    value.to = 1;
    value.term = term;
    value.disk = id;
    return value;
}

message voteRequest(voter_id id, term_number term, log_index index, term_number logTerm)
{
    auto value = from(id, message_kind::VoteRequest, term);
    value.index = index;
    value.logTerm = logTerm;
    return value;
}

// Runs a step, completes its sync immediately and returns all messages.
std::vector<message> step(core &node, time_point now, event input)
{
    auto first = node.step(now, std::move(input));
    if (first.syncToken == 0)
        return first.messages;
    const auto second = node.step(now, synced_event {first.syncToken, true});
    first.messages.insert(first.messages.end(), second.messages.begin(), second.messages.end());
    return first.messages;
}

bool grants(core &node, time_point now, const message &request)
{
    const auto sent = step(node, now, message_event {request});
    return !sent.empty() && sent.front().kind == message_kind::VoteReply && sent.front().granted;
}

// Makes node 1 leader of term 3, with its Barrier entry at index 3.
time_point makeLeader(core &node)
{
    const auto now = start + milliseconds(700);
    step(node, now, tick_event {});
    auto vote = from(2, message_kind::VoteReply, 3);
    vote.granted = true;
    vote.preVote = true;
    step(node, now, message_event {vote});
    vote.preVote = false;
    step(node, now, message_event {vote});
    CHECK(node.currentStatus().role == node_role::Leader);
    return now;
}

message acknowledgement(log_index index, time_point sent, voter_id id = 2)
{
    auto value = from(id, message_kind::AppendReply, 3);
    value.granted = true;
    value.index = index;
    value.stamp = static_cast<std::uint64_t>(sent.time_since_epoch().count());
    return value;
}

} // namespace

TEST_GROUP(core) {};

// Guards against: an entry of an older term that is committed by counting replicas and is then
// replaced by a later leader.
TEST(core, commitsOlderTermsOnlyWithAnEntryOfItsOwnTerm)
{
    auto node = makeCore();
    const auto now = makeLeader(node);
    step(node, now, message_event {acknowledgement(2, now)});
    LONGS_EQUAL(0, node.currentStatus().committed);
    step(node, now, message_event {acknowledgement(3, now)});
    LONGS_EQUAL(3, node.currentStatus().committed);
}

// Guards against: a lease that is still valid when followers may vote again because clocks run at
// different rates.
TEST(core, leaseEndsBeforeFollowersMayVote)
{
    auto node = makeCore();
    const auto now = makeLeader(node);
    CHECK_FALSE(node.canServeReads(now));
    step(node, now, message_event {acknowledgement(3, now)});
    node.markApplied(3);
    CHECK_TRUE(node.canServeReads(now + milliseconds(250)));
    CHECK_FALSE(node.canServeReads(now + milliseconds(275)));
}

// Guards against: two votes in one term, also across a restart, and a vote while a leader contacted
// before the restart may still hold its lease.
TEST(core, votesOncePerTermAndNotImmediatelyAfterStart)
{
    auto node = makeCore();
    CHECK_FALSE(grants(node, start + milliseconds(100), voteRequest(2, 3, 2, 2)));
    CHECK_FALSE(grants(node, start + milliseconds(310), voteRequest(2, 2, 2, 2)));
    CHECK_TRUE(grants(node, start + milliseconds(310), voteRequest(2, 3, 2, 2)));
    CHECK_TRUE(grants(node, start + milliseconds(310), voteRequest(2, 3, 2, 2)));
    CHECK_FALSE(grants(node, start + milliseconds(310), voteRequest(3, 3, 2, 2)));
}

// Guards against: a vote for a candidate that lacks entries.
TEST(core, rejectsCandidatesWithAnOlderLog)
{
    auto node = makeCore();
    const auto now = start + milliseconds(310);
    CHECK_FALSE(grants(node, now, voteRequest(2, 3, 1, 2)));
    CHECK_FALSE(grants(node, now, voteRequest(2, 4, 9, 1)));
    CHECK_TRUE(grants(node, now, voteRequest(2, 5, 2, 2)));
}

// Guards against: entries stored after a gap or after an entry that differs from the leader's log.
TEST(core, rejectsEntriesWithoutTheirPredecessor)
{
    auto node = makeCore();
    for (const auto &[index, term] : {std::pair(3, 2), std::pair(2, 3)}) {
        auto value = from(2, message_kind::Append, 3);
        value.index = static_cast<log_index>(index);
        value.logTerm = static_cast<term_number>(term);
        value.entries = {{value.index + 1, 3, entry_kind::Barrier, {}}};
        const auto sent = step(node, start, message_event {value});
        LONGS_EQUAL(1, sent.size());
        CHECK_FALSE(sent.front().granted);
        LONGS_EQUAL(2, node.currentStatus().lastIndex);
    }
}

// Guards against: a vote or an acknowledgement that is sent before the sync that covers it.
TEST(core, defersMessagesUntilTheirSync)
{
    auto node = makeCore();
    const auto voted
            = node.step(start + milliseconds(310), message_event {voteRequest(2, 3, 2, 2)});
    CHECK_TRUE(voted.messages.empty());
    CHECK_TRUE(voted.vote == (vote_record {3, 2, 5, false}));
    LONGS_EQUAL(1, node.step(start, synced_event {voted.syncToken, true}).messages.size());
    auto value = from(2, message_kind::Append, 3);
    value.index = 2;
    value.logTerm = 2;
    value.entries = {{3, 3, entry_kind::Barrier, {}}};
    const auto stored = node.step(start, message_event {value});
    CHECK_TRUE(stored.messages.empty());
    const auto sent = node.step(start, synced_event {stored.syncToken, true}).messages;
    LONGS_EQUAL(1, sent.size());
    LONGS_EQUAL(3, sent.front().index);
}

// Guards against: a transfer to an unreachable voter, which takes an election time-out to fail.
TEST(core, transfersOnlyToAReachableVoter)
{
    auto node = makeCore();
    const auto now = makeLeader(node);
    step(node, now, message_event {acknowledgement(3, now)});
    const auto later = now + milliseconds(290);
    step(node, later, message_event {acknowledgement(2, later, 3)});
    const auto end = later + milliseconds(50);
    CHECK_TRUE(step(node, end, transfer_event {}).empty());
    const auto sent = step(node, end, message_event {acknowledgement(3, end, 3)});
    CHECK(!sent.empty() && sent.back().kind == message_kind::TimeoutNow && sent.back().to == 3);
}

// Guards against: a snapshot assembled from chunks of two leaders.
TEST(core, doesNotMixSnapshotChunksOfTwoLeaders)
{
    auto node = makeCore();
    auto chunk = from(2, message_kind::Snapshot, 3);
    chunk.index = 9;
    chunk.logTerm = 2;
    chunk.voters = {1, 2, 3};
    chunk.total = 2;
    chunk.data.resize(1);
    step(node, start, message_event {chunk});
    chunk.from = 3;
    chunk.term = 4;
    chunk.offset = 1;
    step(node, start, message_event {chunk});
    LONGS_EQUAL(0, node.currentStatus().snapshotIndex);
    for (chunk.offset = 0; chunk.offset < 2; ++chunk.offset)
        step(node, start, message_event {chunk});
    LONGS_EQUAL(9, node.currentStatus().snapshotIndex);
}

// Guards against: a log of large commands that exhausts the memory before the number of entries
// triggers a snapshot.
TEST(core, requestsSnapshotOfLargeLog)
{
    auto node = makeCore();
    const auto now = makeLeader(node);
    while (!node.needsSnapshot()) {
        step(node, now, propose_event {byte_buffer(1 << 20U)});
        const auto index = node.currentStatus().lastIndex;
        CHECK(index < 25);
        step(node, now, message_event {acknowledgement(index, now)});
        node.markApplied(index);
    }
    CHECK(node.currentStatus().lastIndex > 15);
    step(node, now, compact_event {node.applied(), {}});
    CHECK_FALSE(node.needsSnapshot());
}

// Guards against: a crash of the process on messages with out-of-range fields.
TEST(core, handlesOutOfRangeMessageFields)
{
    std::mt19937_64 random(1);
    const auto number = [&]() -> std::uint64_t {
        const std::uint64_t values[] {random() % 6, random(), ~std::uint64_t {0}, random() % 6};
        return values[random() % 4];
    };
    for (int round = 0; round < 300; ++round) {
        auto node = makeCore();
        auto now = round % 2 == 0 ? makeLeader(node) : start;
        for (int i = 0; i < 60; ++i) {
            const auto term = random() % 8 == 0 ? number() : node.currentStatus().term;
            auto value = from(2, static_cast<message_kind>(random() % 10), term);
            value.index = number();
            value.logTerm = number();
            value.commit = number();
            value.hint = number();
            value.stamp = number();
            value.disk = random() % 2 == 0 ? 5 : number();
            value.granted = random() % 2 == 0;
            value.preVote = random() % 2 == 0;
            value.rejoining = random() % 4 == 0;
            value.offset = number();
            value.total = number();
            value.data.resize(random() % 3);
            if (random() % 2 == 0)
                value.entries = {{value.index + 1, number(), entry_kind::Command, {}}};
            // Only messages accepted by the codec reach the core.
            if (auto decoded = decode(encode(value)))
                step(node, now += milliseconds(5), message_event {std::move(*decoded)});
            step(node, now, tick_event {});
            node.markApplied(node.currentStatus().committed);
        }
    }
}
