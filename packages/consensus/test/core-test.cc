#include "core.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::consensus;
using namespace persimmon::consensus::detail;

namespace {

const time_point start = time_point(std::chrono::hours(1));

// Node 1 of three, with two entries of the terms 1 and 2 and its term at 2.
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

// Steps and completes the sync at once; returns all messages.
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

// Makes node 1 leader of term 3; its barrier is entry 3.
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

message acknowledgement(log_index index, time_point sent)
{
    auto value = from(2, message_kind::AppendReply, 3);
    value.granted = true;
    value.index = index;
    value.stamp = static_cast<std::uint64_t>(sent.time_since_epoch().count());
    return value;
}

} // namespace

TEST_GROUP(core) {};

// Guards against: a committed entry of an older term that a later leader replaces.
TEST(core, commitsOldEntriesOnlyWithOneOfItsTerm)
{
    auto node = makeCore();
    const auto now = makeLeader(node);
    step(node, now, message_event {acknowledgement(2, now)});
    LONGS_EQUAL(0, node.currentStatus().committed);
    step(node, now, message_event {acknowledgement(3, now)});
    LONGS_EQUAL(3, node.currentStatus().committed);
}

// Guards against: a lease that outlasts the followers' promise when clocks run at different rates.
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

// Guards against: two votes in one term, also after a restart, and a vote while a leader that was
// heard before the restart may hold its lease.
TEST(core, votesOncePerTermAndNotRightAfterTheStart)
{
    auto node = makeCore();
    CHECK_FALSE(grants(node, start + milliseconds(100), voteRequest(2, 3, 2, 2)));
    CHECK_FALSE(grants(node, start + milliseconds(310), voteRequest(2, 2, 2, 2)));
    CHECK_TRUE(grants(node, start + milliseconds(310), voteRequest(2, 3, 2, 2)));
    CHECK_TRUE(grants(node, start + milliseconds(310), voteRequest(2, 3, 2, 2)));
    CHECK_FALSE(grants(node, start + milliseconds(310), voteRequest(3, 3, 2, 2)));
}

// Guards against: a vote for a candidate that lacks entries.
TEST(core, refusesCandidatesWithAnOlderLog)
{
    auto node = makeCore();
    const auto now = start + milliseconds(310);
    CHECK_FALSE(grants(node, now, voteRequest(2, 3, 1, 2)));
    CHECK_FALSE(grants(node, now, voteRequest(2, 4, 9, 1)));
    CHECK_TRUE(grants(node, now, voteRequest(2, 5, 2, 2)));
}

// Guards against: entries after a gap or after an entry that differs from the leader's.
TEST(core, refusesEntriesWithoutTheirPredecessor)
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

// Guards against: a vote or an acknowledgement that leaves before the sync which covers it.
TEST(core, holdsMessagesUntilTheirSync)
{
    auto node = makeCore();
    const auto asked
            = node.step(start + milliseconds(310), message_event {voteRequest(2, 3, 2, 2)});
    CHECK_TRUE(asked.messages.empty());
    CHECK_TRUE(asked.vote == (vote_record {3, 2, 5, false}));
    LONGS_EQUAL(1, node.step(start, synced_event {asked.syncToken, true}).messages.size());
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
