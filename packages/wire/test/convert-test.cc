#include "wire/convert.h"

#include <capnp/message.h>

#include <CppUTest/TestHarness.h>

using namespace persimmon;

TEST_GROUP(convert) {};

// Guards against a field that is written but not read back, which would lose state between
// processes without an error.
TEST(convert, keepsEveryFieldOfASyncResponse)
{
    sync_response source;
    source.failure = {result_code::NotLeader, "detail", "field", milliseconds {5}};
    source.leaderHint = 2;
    source.lease = milliseconds {2000};
    source.hasTables = true;
    source.newTables
            = {7,
               {{"r", "w", "h", "/p", "pool", priority_class::Urgent, false, milliseconds {9}}},
               {{"pool", 1, 2, 3, "buddy"}},
               {{"w", 4, 5, {{"pool", {2, 8}, 3}}}}};
    source.viewEpoch = 3;
    source.viewSequence = 4;
    source.fullView = true;
    source.upstreams = {{"u",
                         8,
                         "127.0.0.1:1",
                         "pool",
                         {"r", "z", "k"},
                         8,
                         60,
                         {8, 64, 1024},
                         upstream_state::Leaving}};
    source.orders = {{"u", {{"u", {job_id {1}, 2, 3, 4}, task_action::Run, {1, 2, 3}, "x"}}}};
    source.hasShares = true;
    source.shares = {{"u", 3}};
    source.drain = true;
    capnp::MallocMessageBuilder message;
    wire::write(message.initRoot<wire::schema::SyncResponse>(), source);
    const auto copy = wire::read(message.getRoot<wire::schema::SyncResponse>().asReader());
    CHECK_TRUE(source == copy);
}

TEST(convert, keepsZeroBytesOfAnAnswer)
{
    const answer source {200, "application/octet-stream", std::string("a\0b", 3)};
    capnp::MallocMessageBuilder message;
    wire::write(message.initRoot<wire::schema::Answer>(), source);
    const auto copy = wire::read(message.getRoot<wire::schema::Answer>().asReader());
    CHECK_TRUE(source == copy);
}
