#include "apps/peer_transport.h"
#include "apps/rpc_server.h"
#include "test-voter.h"
#include "wire/control_client.h"

#include <array>
#include <atomic>
#include <optional>
#include <thread>

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace persimmon;
using namespace persimmon::apps;

namespace {

// Returns a loopback address with an unused port. Another process may bind the port before the test
// does.
std::string freeAddress()
{
    const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    socklen_t size = sizeof(address);
    const bool bound
            = ::bind(probe, generic, size) == 0 && ::getsockname(probe, generic, &size) == 0;
    ::close(probe);
    CHECK_TRUE(bound);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

// A voter with its RPC server on a separate event loop.
struct served_voter
{
    served_voter(wire::event_loop &loop, std::uint32_t voterCount,
                 std::string listenAddress = freeAddress(), rpc_hooks hooks = {})
        : loop(loop)
        , address(std::move(listenAddress))
    {
        auto opened = voter::open(testSettings(voterCount), testVoters(voterCount), loop.timers(),
                                  files, network);
        member = std::move(valueOf(opened));
        auto listening = rpc_server::listen(loop, address, *member, std::move(hooks));
        server = std::move(valueOf(listening));
        ticks = loop.timers().every(milliseconds {10}, [this](time_point) {
            files.completeSyncs();
            member->tick();
        });
    }

    ~served_voter() { loop.timers().cancel(ticks); }

    wire::event_loop &loop;
    std::string address;
    test_storage files;
    test_transport network;
    std::unique_ptr<voter> member;
    std::unique_ptr<rpc_server> server;
    timer_service::subscription ticks {};
};

// Runs the loop until the scenario invokes its callback, for at most 10 s. A loop can run only
// once.
void runScenario(wire::event_loop &loop, const std::function<void(std::function<void()>)> &scenario)
{
    bool finished = false;
    loop.timers().after(milliseconds {10000}, [&loop](time_point) { loop.stop(); });
    scenario([&] {
        finished = true;
        loop.stop();
    });
    loop.run();
    CHECK_TRUE(finished);
}

// Invokes the callback once the voter leads and can serve reads.
void whenLeading(served_voter &target, const std::function<void()> &callback)
{
    if (!failed(target.member->checkReads())) {
        callback();
        return;
    }
    target.loop.timers().after(milliseconds {10},
                               [&target, callback](time_point) { whenLeading(target, callback); });
}

job_spec smallJob()
{
    job_spec spec;
    spec.workspace = "w";
    spec.pool = "p";
    spec.task = {1, 1, 1};
    spec.payload = "echo";
    return spec;
}

constexpr milliseconds deadline {5000};

} // namespace

TEST_GROUP(rpc) {};

// Guards against returning the id of a job that can't be read back, and against a resent submission
// that creates a second job.
TEST(rpc, leaderAcceptsAJobOnceAndReadsItBack)
{
    wire::event_loop loop;
    served_voter leader(loop, 1);
    const std::array voters {voter_address {1, leader.address, ""}};
    wire::control_client client(loop, voters);
    std::optional<result<job_id>> first;
    std::optional<result<job_id>> second;
    std::optional<result<job_view>> shown;
    runScenario(loop, [&](const std::function<void()> &stop) {
        const auto read = [&, stop](result<job_id> id) {
            second = id;
            client.getJob(failed(id) ? job_id {} : valueOf(id), deadline,
                          [&, stop](result<job_view> view) {
                              shown = std::move(view);
                              stop();
                          });
        };
        const auto repeat = [&, read](result<job_id> id) {
            first = std::move(id);
            client.submitJob("k1", smallJob(), deadline, read);
        };
        whenLeading(leader, [&, repeat] {
            leader.member->coordinator().applyTables(
                    loop.now(), parseTables("[pool p]\n[workspace w]\n").values, 0, "c1", false,
                    [&, repeat](const result<control::apply_outcome> &outcome) {
                        CHECK_FALSE(failed(outcome));
                        client.submitJob("k1", smallJob(), deadline, repeat);
                    });
        });
    });
    CHECK_FALSE(failed(*first));
    CHECK_TRUE(valueOf(*first) == valueOf(*second));
    CHECK_FALSE(failed(*shown));
    STRCMP_EQUAL("echo", valueOf(*shown).spec.payload.c_str());
}

// Guards against a voter that grants a lease or accepts a job without being the leader.
TEST(rpc, voterWithoutLeaderAnswersNotLeader)
{
    wire::event_loop loop;
    served_voter isolated(loop, 3);
    const std::array voters {voter_address {1, isolated.address, ""}};
    wire::control_client client(loop, voters);
    std::optional<result<job_id>> job;
    std::optional<result<sync_response>> synced;
    runScenario(loop, [&](const std::function<void()> &stop) {
        client.submitJob("k1", smallJob(), milliseconds {200}, [&, stop](result<job_id> id) {
            job = std::move(id);
            client.sync({}, [&, stop](result<sync_response> answer) {
                synced = std::move(answer);
                stop();
            });
        });
    });
    CHECK_TRUE(errorOf(*job).code == result_code::NotLeader);
    CHECK_TRUE(errorOf(*synced).code == result_code::NotLeader);
}

TEST(rpc, unknownJobIsNotFound)
{
    wire::event_loop loop;
    served_voter leader(loop, 1);
    const std::array voters {voter_address {1, leader.address, ""}};
    wire::control_client client(loop, voters);
    std::optional<result<job_view>> shown;
    runScenario(loop, [&](const std::function<void()> &stop) {
        whenLeading(leader, [&, stop] {
            client.getJob(static_cast<job_id>(4711), deadline, [&, stop](result<job_view> view) {
                shown = std::move(view);
                stop();
            });
        });
    });
    CHECK_TRUE(errorOf(*shown).code == result_code::NotFound);
}

// Guards against a listener that reports success for an address in use.
TEST(rpc, reportsAnAddressInUse)
{
    wire::event_loop loop;
    served_voter first(loop, 1);
    const auto again = rpc_server::listen(loop, first.address, *first.member, {});
    CHECK_TRUE(errorOf(again).code == result_code::StorageFailed);
}

// Guards against an unreachable voter that blocks the loop or makes the queue grow without bound,
// and against a transport that does not reconnect when the voter is reachable again.
TEST(rpc, transportDropsMessagesAndReconnects)
{
    wire::event_loop loop;
    auto values = testSettings(2);
    values.voters[1].rpc = freeAddress();
    peer_transport transport(loop, values);
    const consensus::byte_buffer message(100);
    std::atomic<int> delivered = 0;
    std::jthread other([&delivered, address = values.voters[1].rpc] {
        std::this_thread::sleep_for(milliseconds {600});
        wire::event_loop remote;
        rpc_hooks hooks;
        hooks.observe = [&](std::string_view, double) {
            if (++delivered == 5)
                remote.stop();
        };
        served_voter returned(remote, 1, address, hooks);
        remote.timers().after(milliseconds {5000}, [&remote](time_point) { remote.stop(); });
        remote.run();
    });
    std::uint64_t droppedBefore = 0;
    runScenario(loop, [&](const std::function<void()> &stop) {
        loop.timers().every(milliseconds {5}, [&, stop](time_point) {
            transport.send(2, message);
            if (delivered >= 5)
                stop();
        });
        loop.timers().after(milliseconds {550},
                            [&](time_point) { droppedBefore = transport.dropped(); });
    });
    CHECK_TRUE(droppedBefore > 0);
}
