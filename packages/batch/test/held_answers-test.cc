#include "batch/held_answers.h"
#include "batch/order_feed.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::batch;

namespace {

worker_orders startOf(const std::string &job)
{
    worker_orders orders;
    orders.leaseMs = 5000;
    orders.starts.push_back({{job, 0, 0, 0}, 1, "work", "", ""});
    return orders;
}

} // namespace

TEST_GROUP(HeldAnswers)
{
    manual_timer_service timers;
    held_answers held {timers};
    std::map<std::string, std::vector<routed_orders>> sent; // by worker

    void hold(const std::string &worker, std::uint64_t sequence, std::int64_t ms)
    {
        routed_orders answer;
        answer.orders.leaseMs = 5000;
        answer.orders.retryMs = 20;
        held.hold({worker, 1, sequence}, answer, milliseconds {ms},
                  [this, worker](const result<routed_orders> &done) {
                      sent[worker].push_back(valueOf(done));
                  });
    }
};

// Guards against an answer that is never sent, or sent twice.
TEST(HeldAnswers, sendsTheAnswerOnceWhenItsTimeIsOver)
{
    hold("w1", 1, 300);
    timers.advance(milliseconds {299});
    CHECK_TRUE(sent["w1"].empty());
    timers.advance(milliseconds {1});
    CHECK_EQUAL(1, sent["w1"].size());
    CHECK_EQUAL(0, sent["w1"].front().orders.starts.size());
    CHECK_FALSE(held.release({"w1", 1, 1}, startOf("a")));
    timers.advance(milliseconds {1000});
    CHECK_EQUAL(1, sent["w1"].size());
}

// Guards against orders that wait although the answer to their worker is held.
TEST(HeldAnswers, sendsOrdersAtOnce)
{
    hold("w1", 1, 300);
    CHECK_TRUE(held.release({"w1", 1, 1}, startOf("a")));
    CHECK_EQUAL(1, sent["w1"].size());
    CHECK_EQUAL(1, sent["w1"].front().orders.starts.size());
    timers.advance(milliseconds {1000});
    CHECK_EQUAL(1, sent["w1"].size());
}

// Guards against orders that were meant for an earlier heartbeat or an earlier incarnation: they
// were decided without the newer report.
TEST(HeldAnswers, ignoresOrdersForAnotherHeartbeat)
{
    hold("w1", 2, 300);
    CHECK_FALSE(held.release({"w1", 1, 1}, startOf("a")));
    CHECK_FALSE(held.release({"w1", 9, 2}, startOf("a")));
    CHECK_FALSE(held.release({"w2", 1, 2}, startOf("a")));
    CHECK_TRUE(sent.empty());
}

// Guards against a heartbeat that is left without an answer because a newer one arrived.
TEST(HeldAnswers, answersTheEarlierHeartbeatFirst)
{
    hold("w1", 1, 300);
    hold("w1", 2, 300);
    CHECK_EQUAL(1, sent["w1"].size());
    CHECK_EQUAL(1, held.size());
}

// Guards against workers that all send their next heartbeats at once after a change of leader.
TEST(HeldAnswers, spreadsTheHeartbeatsAfterReleasingAll)
{
    for (int i = 0; i < 100; ++i)
        hold("w" + std::to_string(i), 1, 300);
    held.releaseAll(milliseconds {300});
    CHECK_EQUAL(0, held.size());
    std::map<std::int64_t, int> inWindow; // heartbeats by 100 ms
    for (const auto &[worker, answers] : sent)
        ++inWindow[answers.front().orders.retryMs / 100];
    for (const auto &[window, count] : inWindow)
        CHECK_TRUE(count <= 40);
}

TEST_GROUP(OrderFeed)
{
    manual_timer_service timers;
    order_feed feed {timers};
    std::vector<std::size_t> answers; // numbers of orders in the answers to polls
    int refused = 0;

    void poll(const std::string &node)
    {
        feed.poll(node, [this](const result<std::vector<released_answer>> &done) {
            if (failed(done))
                ++refused;
            else
                answers.push_back(valueOf(done).size());
        });
    }

    void push(const std::string &node, const std::string &worker)
    {
        feed.push(node, {{worker, 1, 1}, startOf("a")});
    }
};

// Guards against orders that wait for the next poll, and against one call for each worker when many
// orders become ready together.
TEST(OrderFeed, answersThePollWithAllOrdersThatAreReady)
{
    poll("n1");
    poll("n2");
    push("n1", "w1");
    push("n1", "w2");
    push("n1", "w3");
    timers.advance(milliseconds {0});
    CHECK_EQUAL(1, answers.size());
    CHECK_EQUAL(3, answers.front());
}

// Guards against orders that are lost between two polls of a node.
TEST(OrderFeed, keepsOrdersUntilTheNextPoll)
{
    poll("n1");
    timers.advance(milliseconds {400});
    CHECK_EQUAL(1, answers.size());
    CHECK_TRUE(feed.isPolling("n1"));
    push("n1", "w1");
    poll("n1");
    CHECK_EQUAL(2, answers.size());
    CHECK_EQUAL(1, answers.back());
}

// Guards against holding answers at a node that no longer asks for orders.
TEST(OrderFeed, forgetsNodesThatStopPolling)
{
    CHECK_FALSE(feed.isPolling("n1"));
    poll("n1");
    CHECK_TRUE(feed.isPolling("n1"));
    timers.advance(milliseconds {2000});
    CHECK_FALSE(feed.isPolling("n1"));
    push("n1", "w1");
    poll("n2");
    poll("n1");
    CHECK_EQUAL(1, answers.size()); // the poll that expired; the orders were dropped
}

// Guards against polls that stay with a node that no longer leads.
TEST(OrderFeed, refusesPollsAtTheEndOfATerm)
{
    poll("n1");
    feed.reset();
    CHECK_EQUAL(1, refused);
    CHECK_FALSE(feed.isPolling("n1"));
}
