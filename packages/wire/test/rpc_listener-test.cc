#include "wire/rpc_listener.h"

#include "base/client_counts.h"
#include "control.capnp.h"
#include "wire/rpc_connection.h"

#include <kj/debug.h>

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace persimmon;

namespace {

namespace schema = wire::schema;

constexpr std::uint64_t kibibyte = 1024;

class counting_peer final : public schema::Peer::Server
{
public:
    explicit counting_peer(std::size_t &count)
        : count_(count)
    {
    }

    kj::Promise<void> deliver(DeliverContext) override
    {
        ++count_;
        return kj::READY_NOW;
    }

private:
    std::size_t &count_;
};

// Begin of a message of one segment, by its number of segments less one and its size in words.
std::vector<kj::byte> beginOf(std::uint64_t messageBytes)
{
    std::vector<kj::byte> head(8);
    const auto words = messageBytes / 8;
    for (std::size_t i = 0; i < 4; ++i)
        head[4 + i] = static_cast<kj::byte>(words >> (8 * i));
    return head;
}

} // namespace

TEST_GROUP(rpc_listener)
{
    wire::event_loop loop;
    std::unique_ptr<wire::rpc_listener> opened;
    std::size_t delivered = 0;
    std::string address;
    std::vector<kj::Own<kj::AsyncIoStream>> streams;

    void listen(const wire::rpc_limits &limits)
    {
        for (int port = 34500; port < 34600 && !opened; ++port) {
            address = "127.0.0.1:" + std::to_string(port);
            auto outcome = wire::rpc_listener::listen(loop, address,
                                                      kj::heap<counting_peer>(delivered), limits);
            if (!failed(outcome))
                opened = std::move(valueOf(outcome));
        }
        CHECK_TRUE(opened != nullptr);
    }

    void teardown() override
    {
        streams.clear();
    }

    kj::Own<kj::AsyncIoStream> connect()
    {
        auto &io = loop.io();
        auto parsed = io.provider->getNetwork().parseAddress(address).wait(io.waitScope);
        return parsed->connect().wait(io.waitScope);
    }

    void pass(milliseconds time)
    {
        auto &io = loop.io();
        io.provider->getTimer().afterDelay(wire::toKj(time)).wait(io.waitScope);
    }

    // Opens a connection that announces a message and sends a part of it. A failure to send shows
    // that the listener has closed the connection.
    void sendPart(std::uint64_t announced, std::uint64_t sent)
    {
        auto stream = connect();
        auto bytes = beginOf(announced);
        bytes.resize(bytes.size() + sent);
        auto written
                = stream->write(bytes.data(), bytes.size()).then([] {}, [](kj::Exception &&) {});
        written.exclusiveJoin(loop.io().provider->getTimer().afterDelay(500 * kj::MILLISECONDS))
                .wait(loop.io().waitScope);
        streams.push_back(kj::mv(stream));
    }

    // Calls with a message of a size on a connection of its own.
    bool call(std::uint64_t bytes)
    {
        wire::rpc_connection<schema::Peer> peer(connect());
        auto request = peer.remote.deliverRequest();
        request.initMessage(static_cast<unsigned>(bytes));
        const auto before = delivered;
        auto answered = request.send().ignoreResult().then([] {}, [](kj::Exception &&) {});
        loop.io()
                .provider->getTimer()
                .timeoutAfter(5 * kj::SECONDS, kj::mv(answered))
                .then([] {}, [](kj::Exception &&) {})
                .wait(loop.io().waitScope);
        return delivered == before + 1;
    }
};

// Guards against a message that takes all memory because its size is announced only.
TEST(rpc_listener, refusesMessagesOverTheLimit)
{
    wire::rpc_limits limits;
    limits.maxMessageBytes = 256 * kibibyte;
    listen(limits);
    CHECK_TRUE(call(200 * kibibyte));
    CHECK_FALSE(call(300 * kibibyte));
    sendPart(kibibyte * kibibyte * kibibyte, 0);
    pass(milliseconds {100});
    LONGS_EQUAL(0, opened->connectionCount());
    CHECK_TRUE(call(10));
}

// Guards against many unfinished messages that take all memory together.
TEST(rpc_listener, closesTheOldestUnfinishedMessagesWhenMemoryRunsOut)
{
    wire::rpc_limits limits;
    limits.maxHeldBytes = 1024 * kibibyte;
    listen(limits);
    const auto before = clientCount(client_cause::PeerMemory);
    for (int i = 0; i < 6; ++i)
        sendPart(2000 * kibibyte, 400 * kibibyte);
    pass(milliseconds {100});
    LONGS_EQUAL(2, opened->connectionCount());
    LONGS_EQUAL(4, clientCount(client_cause::PeerMemory) - before);
    CHECK_TRUE(call(700 * kibibyte));
}

// Guards against silent connections that keep peers out.
TEST(rpc_listener, closesSilentConnectionsForNewOnes)
{
    wire::rpc_limits limits;
    limits.maxConnections = 4;
    listen(limits);
    for (int i = 0; i < 20; ++i) {
        streams.push_back(connect());
        pass(milliseconds {2});
    }
    CHECK_TRUE(opened->connectionCount() <= 4);
    CHECK_TRUE(call(10));
    LONGS_EQUAL(17, clientCount(client_cause::PeerConnections));
}

// Guards against messages that never end.
TEST(rpc_listener, closesConnectionsWhoseMessageTakesTooLong)
{
    wire::rpc_limits limits;
    limits.timeout = milliseconds {100};
    listen(limits);
    sendPart(200 * kibibyte, 100);
    pass(milliseconds {20});
    LONGS_EQUAL(1, opened->connectionCount());
    pass(milliseconds {2500});
    LONGS_EQUAL(0, opened->connectionCount());
}
