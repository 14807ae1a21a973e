#include "wire/rpc_listener.h"

#include "base/client_counts.h"
#include "base/client_table.h"
#include "base/descriptors.h"
#include "base/log.h"
#include "metered_stream.h"
#include "wire/rpc_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <array>
#include <map>

namespace persimmon::wire {

namespace {

// Delay before accepting again after a failure, for example when file descriptors are exhausted.
constexpr auto acceptRetryDelay = 100 * kj::MILLISECONDS;

// Period in which slow peers are looked for.
constexpr milliseconds checkPeriod {1000};

constexpr std::size_t descriptorsDivisor = 8; // share of the connections
constexpr std::size_t maxDefaultConnections = 4096;

// Calls that were received on a connection and have no response yet.
constexpr std::uint64_t maxUnansweredBytes = std::uint64_t {32} * 1024 * 1024;

std::size_t maxConnectionsOf(const rpc_limits &limits)
{
    if (limits.maxConnections > 0)
        return limits.maxConnections;
    return std::min(maxDescriptors() / descriptorsDivisor, maxDefaultConnections);
}

std::string addressOf(kj::AsyncIoStream &socket)
{
    sockaddr_storage peer {};
    kj::uint length = sizeof peer;
    std::array<char, INET_ADDRSTRLEN> text {};
    const auto failure = kj::runCatchingExceptions(
            [&] { socket.getpeername(reinterpret_cast<sockaddr *>(&peer), &length); });
    if (failure != nullptr || peer.ss_family != AF_INET)
        return "unknown";
    const auto &ip = reinterpret_cast<const sockaddr_in &>(peer).sin_addr;
    return inet_ntop(AF_INET, &ip, text.data(), text.size()) != nullptr ? text.data() : "unknown";
}

capnp::ReaderOptions readerOptions(const rpc_limits &limits)
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = limits.maxMessageBytes / sizeof(capnp::word);
    return options;
}

// One accepted connection. Members are destroyed in reverse order, as the library needs it.
struct served_connection
{
    served_connection(kj::Own<kj::AsyncIoStream> socket, read_hooks hooks,
                      capnp::Capability::Client interface, const rpc_limits &limits)
        : address(addressOf(*socket))
        , stream(kj::mv(socket), std::move(hooks))
        , network(stream, capnp::rpc::twoparty::Side::SERVER, readerOptions(limits))
        , system(capnp::makeRpcServer(network, kj::mv(interface)))
    {
        system.setFlowLimit(maxUnansweredBytes / sizeof(capnp::word));
    }

    std::string address;
    metered_stream stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
    time_point messageBegan = time_point::max(); // of the message that is arriving
    bool closing = false;
    kj::Promise<void> disconnected = nullptr;
};

class twoparty_listener final
    : public rpc_listener
    , private kj::TaskSet::ErrorHandler
{
public:
    twoparty_listener(event_loop &loop, kj::Own<kj::ConnectionReceiver> receiver,
                      capnp::Capability::Client interface, const rpc_limits &limits)
        : loop_(loop)
        , limits_(limits)
        , interface_(kj::mv(interface))
        , receiver_(kj::mv(receiver))
        , table_({maxConnectionsOf(limits), limits.maxHeldBytes})
        , tasks_(*this)
    {
        checkTimer_ = loop_.timers().every(checkPeriod, [this](time_point) { checkPeers(); });
        tasks_.add(accept());
    }

    // The implicit destructor may throw, unlike that of the base class.
    ~twoparty_listener() noexcept override { loop_.timers().cancel(checkTimer_); }

    std::size_t connectionCount() const override { return connections_.size(); }

private:
    kj::Promise<void> accept()
    {
        return receiver_->accept().then(
                [this](kj::Own<kj::AsyncIoStream> socket) {
                    KJ_IF_MAYBE (exception,
                                 kj::runCatchingExceptions([&] { serve(kj::mv(socket)); }))
                        taskFailed(kj::mv(*exception));
                    return accept();
                },
                [this](kj::Exception &&failure) {
                    logFor("rpc")->warn("can't accept a connection: {}",
                                        failure.getDescription().cStr());
                    return loop_.io()
                            .provider->getTimer()
                            .afterDelay(acceptRetryDelay)
                            .then([this] { return accept(); });
                });
    }

    void serve(kj::Own<kj::AsyncIoStream> socket)
    {
        const auto id = ++lastId_;
        read_hooks hooks;
        hooks.onBegin = [this, id] { beginMessage(id); };
        hooks.onHeld = [this, id](std::uint64_t bytes) { return hold(id, bytes); };
        hooks.onEnd = [this, id] { endMessage(id); };
        // The table knows the connection before its first read.
        const auto chosen = table_.add(id, loop_.now());
        auto &item = *connections_
                              .emplace(id,
                                       kj::heap<served_connection>(kj::mv(socket), std::move(hooks),
                                                                   interface_, limits_))
                              .first->second;
        item.disconnected = item.network.onDisconnect()
                                    .then([this, id] { remove(id); },
                                          [this, id](kj::Exception &&) { remove(id); })
                                    .eagerlyEvaluate(nullptr);
        close(chosen, client_cause::PeerConnections);
    }

    void beginMessage(client_id id)
    {
        const auto found = connections_.find(id);
        if (found != connections_.end())
            found->second->messageBegan = loop_.now();
        table_.setPhase(id, client_phase::Receiving, loop_.now());
    }

    bool hold(client_id id, std::uint64_t bytes)
    {
        const auto chosen = table_.setHeldBytes(id, bytes);
        close(chosen, client_cause::PeerMemory);
        return std::ranges::find(chosen, id) == chosen.end();
    }

    void endMessage(client_id id)
    {
        const auto found = connections_.find(id);
        if (found != connections_.end())
            found->second->messageBegan = time_point::max();
        table_.setHeldBytes(id, 0);
        table_.setPhase(id, client_phase::Idle, loop_.now());
    }

    void checkPeers()
    {
        const auto now = loop_.now();
        for (auto &[id, item] : connections_) {
            const bool isSlow = item->messageBegan < now - limits_.timeout
                    || item->network.getOutgoingMessageWaitTime() > toKj(limits_.timeout);
            const bool readsNothing = item->network.getCurrentQueueSize() > limits_.maxQueuedBytes;
            if (isSlow || readsNothing)
                close({id}, client_cause::PeerSlow);
        }
    }

    void close(const std::vector<client_id> &chosen, client_cause cause)
    {
        for (const auto id : chosen) {
            const auto found = connections_.find(id);
            if (found == connections_.end() || found->second->closing)
                continue;
            countClient(cause, found->second->address);
            remove(id);
        }
    }

    // Destroys a connection later, because this may run in one of its continuations.
    void remove(client_id id)
    {
        const auto found = connections_.find(id);
        if (found == connections_.end() || std::exchange(found->second->closing, true))
            return;
        table_.remove(id);
        tasks_.add(kj::evalLater([this, id] { connections_.erase(id); }));
    }

    void taskFailed(kj::Exception &&failure) override
    {
        logFor("rpc")->warn("task failed: {}", failure.getDescription().cStr());
    }

    event_loop &loop_;
    rpc_limits limits_;
    capnp::Capability::Client interface_;
    kj::Own<kj::ConnectionReceiver> receiver_;
    client_table table_;
    std::map<client_id, kj::Own<served_connection>> connections_;
    client_id lastId_ = 0;
    timer_service::subscription checkTimer_ {};
    kj::TaskSet tasks_;
};

} // namespace

result<std::unique_ptr<rpc_listener>> rpc_listener::listen(event_loop &loop,
                                                           const std::string &address,
                                                           capnp::Capability::Client interface,
                                                           const rpc_limits &limits)
{
    std::unique_ptr<rpc_listener> opened;
    const auto failure = kj::runCatchingExceptions([&] {
        auto &io = loop.io();
        auto parsed = io.provider->getNetwork().parseAddress(address).wait(io.waitScope);
        opened = std::make_unique<twoparty_listener>(loop, parsed->listen(), kj::mv(interface),
                                                     limits);
    });
    KJ_IF_MAYBE (exception, failure) {
        return error {result_code::StorageFailed,
                      "can't listen on " + address + ": " + exception->getDescription().cStr(),
                      {},
                      {}};
    }
    return opened;
}

} // namespace persimmon::wire
