// Tests of the relay client with a member that answers, doesn't answer, or can't be reached.
#include "cluster/address.h"
#include "cluster/member.h"
#include "cluster/relay_client.h"

#include <filesystem>
#include <memory>
#include <optional>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::cluster;

namespace {

struct idle_machine final : consensus::state_machine
{
    consensus::byte_buffer apply(consensus::log_index, consensus::byte_view) override { return {}; }
    consensus::byte_buffer snapshot() const override { return {}; }
    status restore(consensus::byte_view) override { return std::monostate {}; }
};

constexpr std::string_view nodeIp = "127.0.33.1";

std::uint16_t testPort()
{
    return static_cast<std::uint16_t>(31000 + getpid() % 900);
}

} // namespace

TEST_GROUP(Relay)
{
    wire::event_loop loop;
    idle_machine machine;
    std::string folder = "/tmp/persimmon-relay-" + std::to_string(getpid());
    std::unique_ptr<member> node;

    void teardown() override
    {
        node.reset();
        std::filesystem::remove_all(folder);
    }

    // Starts a group of one node.
    void startNode()
    {
        member_options options;
        options.ip = nodeIp;
        options.rpcPort = testPort();
        options.dataFolder = folder;
        options.bootstrap = true;
        options.seeds = {*idOf(nodeIp)};
        auto opened = member::open(loop, options, machine);
        CHECK_FALSE(failed(opened));
        node = std::move(valueOf(opened));
        while (!node->canServeReads())
            pause();
    }

    void pause()
    {
        auto &io = loop.io();
        io.provider->getTimer().afterDelay(10 * kj::MILLISECONDS).wait(io.waitScope);
    }

    struct outcome
    {
        result<std::string> answer = error {};
        std::int64_t tookMs = 0;
    };

    outcome sendRequest(relay_client & client, milliseconds deadline,
                        call_effect effect = call_effect::Reads)
    {
        const auto started = loop.now();
        std::optional<result<std::string>> answer;
        client.call(
                "question", deadline, [&](const result<std::string> &done) { answer = done; },
                effect);
        while (!answer)
            pause();
        const auto took = std::chrono::duration_cast<milliseconds>(loop.now() - started);
        return {*answer, took.count()};
    }

    static relay_options testOptions()
    {
        relay_options options;
        options.port = testPort();
        return options;
    }
};

// Guards against an answer that is altered or belongs to another request.
TEST(Relay, returnsAnswerOfLeader)
{
    startNode();
    node->onRelay([](const std::string &request, const relay_client::completion &done) {
        done(request + " answered");
    });
    const std::vector<consensus::voter_id> seeds {*idOf(nodeIp)};
    relay_client client(loop, testOptions(), seeds);
    const auto reply = sendRequest(client, milliseconds {2000});
    CHECK_FALSE(failed(reply.answer));
    STRCMP_EQUAL("question answered", valueOf(reply.answer).c_str());
}

// Guards against a call that is not completed at its deadline, and against NotReady for a request
// that the leader may be executing.
TEST(Relay, unresponsiveLeaderGivesOutcomeUnknownAtDeadline)
{
    startNode();
    node->onRelay([](const std::string &, const relay_client::completion &) {});
    const std::vector<consensus::voter_id> seeds {*idOf(nodeIp)};
    relay_client client(loop, testOptions(), seeds);
    const auto reply = sendRequest(client, milliseconds {1500});
    CHECK_TRUE(errorOf(reply.answer).code == result_code::OutcomeUnknown);
    CHECK_TRUE(reply.tookMs >= 1400 && reply.tookMs < 1700);
}

// Guards against waiting until the deadline although the request could not be sent to any node.
TEST(Relay, failsEarlyIfGroupIsUnreachable)
{
    const std::vector<consensus::voter_id> seeds {*idOf(nodeIp)};
    relay_client client(loop, testOptions(), seeds);
    const auto reply = sendRequest(client, milliseconds {2500});
    CHECK_TRUE(errorOf(reply.answer).code == result_code::NotReady);
    CHECK_TRUE(reply.tookMs >= 900 && reply.tookMs < 1300);
}

// Guards against repeating a request that the leader has refused.
TEST(Relay, returnsErrorOfLeader)
{
    startNode();
    int calls = 0;
    node->onRelay([&](const std::string &, const relay_client::completion &done) {
        ++calls;
        done(error {result_code::NoRoute, "no such queue", {}, {}});
    });
    const std::vector<consensus::voter_id> seeds {*idOf(nodeIp)};
    relay_client client(loop, testOptions(), seeds);
    CHECK_TRUE(errorOf(sendRequest(client, milliseconds {1000}).answer).code
               == result_code::NoRoute);
    CHECK_EQUAL(1, calls);
}

// Guards against the error of a later attempt that is passed on although an earlier attempt, whose
// answer was lost, may have been carried out: a job that was refused so was run.
TEST(Relay, laterErrorDoesNotHideAnEarlierAttempt)
{
    startNode();
    int calls = 0;
    auto code = result_code::UnknownWorkspace;
    node->onRelay([&](const std::string &, const relay_client::completion &done) {
        if (++calls > 1)
            done(error {code, "refused", {}, {}});
    });
    const std::vector<consensus::voter_id> seeds {*idOf(nodeIp)};
    relay_client client(loop, testOptions(), seeds);
    auto reply = sendRequest(client, milliseconds {2000}, call_effect::Changes);
    CHECK_TRUE(errorOf(reply.answer).code == result_code::OutcomeUnknown);
    CHECK_TRUE(calls > 1 && reply.tookMs >= 1900);
    calls = 0;
    code = result_code::InvalidValue; // no attempt can have been carried out
    reply = sendRequest(client, milliseconds {2000}, call_effect::Changes);
    CHECK_TRUE(errorOf(reply.answer).code == result_code::InvalidValue);
}
