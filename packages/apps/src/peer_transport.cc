#include "apps/peer_transport.h"

#include "base/log.h"
#include "control.capnp.h"

#include <capnp/rpc-twoparty.h>

#include <algorithm>
#include <deque>
#include <map>

namespace persimmon::apps {

namespace {

using namespace wire;

// Messages and bytes that one voter may leave without an acknowledgement; more are dropped.
constexpr std::size_t maxUnacknowledged = 256;
constexpr std::size_t maxUnacknowledgedBytes = 16U << 20;

// Messages kept while the connection is being made, enough for the first round of an election.
constexpr std::size_t maxPending = 32;

// Without an acknowledgement for this time the connection counts as cut; a silent partition gives
// no other sign.
constexpr milliseconds defaultSilenceLimit {2000};

constexpr milliseconds connectTimeout {1000};
constexpr milliseconds firstBackoff {50};
constexpr milliseconds lastBackoff {1000};

struct connection
{
    explicit connection(kj::Own<kj::AsyncIoStream> socket)
        : stream(kj::mv(socket))
        , client(*stream)
        , remote(client.bootstrap().castAs<schema::Voter>())
    {
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient client;
    schema::Voter::Client remote;
};

struct peer
{
    voter_address address;
    std::shared_ptr<connection> open;
    bool connecting = false;
    bool reportedLost = false;
    time_point nextAttempt {};
    milliseconds backoff = firstBackoff;
    std::deque<consensus::byte_buffer> pending;
    std::size_t unacknowledged = 0;
    std::size_t unacknowledgedBytes = 0;
    time_point lastProgress {};
};

class failure_log final : public kj::TaskSet::ErrorHandler
{
public:
    void taskFailed(kj::Exception &&failure) override
    {
        logFor("rpc")->warn("task failed: {}", failure.getDescription().cStr());
    }
};

kj::Duration toKj(milliseconds duration)
{
    return duration.count() * kj::MILLISECONDS;
}

} // namespace

class peer_transport::implementation
{
public:
    implementation(event_loop &loop, const settings &values)
        : loop_(loop)
        , tasks_(failureLog_)
    {
        for (const auto &address : values.voters) {
            if (address.id != values.voterId)
                peers_[address.id].address = address;
        }
    }

    implementation(event_loop &loop, address_of addresses, milliseconds silenceLimit)
        : loop_(loop)
        , addresses_(std::move(addresses))
        , silenceLimit_(silenceLimit)
        , tasks_(failureLog_)
    {
    }

    void send(consensus::voter_id to, consensus::byte_view message)
    {
        auto found = peers_.find(to);
        if (found == peers_.end() && addresses_) {
            found = peers_.try_emplace(to).first;
            found->second.address = addresses_(to);
        }
        if (found == peers_.end())
            return;
        auto &target = found->second;
        const auto now = loop_.now();
        if (target.unacknowledged > 0 && now - target.lastProgress > silenceLimit_)
            lose(target, "no acknowledgement");
        if (target.open == nullptr) {
            keep(target, message);
            connect(target, now);
            return;
        }
        if (target.unacknowledged >= maxUnacknowledged
            || target.unacknowledgedBytes + message.size() > maxUnacknowledgedBytes) {
            ++dropped_;
            return;
        }
        deliver(target, message);
    }

    void requestDrain(consensus::voter_id id, const std::function<void(status)> &done)
    {
        const auto found = peers_.find(id);
        if (found == peers_.end()) {
            done(error {result_code::NotFound, "no such voter", {}, {}});
            return;
        }
        auto &target = found->second;
        if (target.open == nullptr) {
            connect(target, loop_.now());
            done(error {result_code::RpcFailed, "not connected to the voter", {}, {}});
            return;
        }
        auto asked = target.open->remote.drainRequest().send().ignoreResult();
        auto &timer = loop_.io().provider->getTimer();
        tasks_.add(timer.timeoutAfter(toKj(connectTimeout), kj::mv(asked))
                           .then([done] { done(std::monostate {}); },
                                 [done](kj::Exception &&failure) {
                                     done(error {result_code::RpcFailed,
                                                 failure.getDescription().cStr(),
                                                 {},
                                                 {}});
                                 }));
    }

    std::uint64_t dropped() const { return dropped_; }

private:
    void keep(peer &target, consensus::byte_view message)
    {
        if (target.pending.size() >= maxPending) {
            target.pending.pop_front();
            ++dropped_;
        }
        target.pending.emplace_back(message.begin(), message.end());
    }

    void deliver(peer &target, consensus::byte_view message)
    {
        auto request = target.open->remote.deliverRequest();
        request.setMessage(
                kj::arrayPtr(reinterpret_cast<const kj::byte *>(message.data()), message.size()));
        if (target.unacknowledged == 0)
            target.lastProgress = loop_.now();
        ++target.unacknowledged;
        target.unacknowledgedBytes += message.size();
        const std::weak_ptr<connection> used = target.open;
        const auto size = message.size();
        tasks_.add(request.send().ignoreResult().then(
                [this, &target, used, size] {
                    if (target.open != nullptr && target.open == used.lock())
                        acknowledge(target, size);
                },
                [this, &target, used](kj::Exception &&failure) {
                    if (target.open != nullptr && target.open == used.lock())
                        lose(target, failure.getDescription().cStr());
                }));
    }

    void acknowledge(peer &target, std::size_t size)
    {
        --target.unacknowledged;
        target.unacknowledgedBytes -= size;
        target.lastProgress = loop_.now();
    }

    void connect(peer &target, time_point now)
    {
        if (target.connecting || now < target.nextAttempt)
            return;
        target.connecting = true;
        auto &network = loop_.io().provider->getNetwork();
        auto connected = network.parseAddress(target.address.rpc)
                                 .then([](kj::Own<kj::NetworkAddress> address) {
                                     auto stream = address->connect();
                                     return stream.attach(kj::mv(address));
                                 });
        auto &timer = loop_.io().provider->getTimer();
        tasks_.add(timer.timeoutAfter(toKj(connectTimeout), kj::mv(connected))
                           .then(
                                   [this, &target](kj::Own<kj::AsyncIoStream> stream) {
                                       target.connecting = false;
                                       use(target, kj::mv(stream));
                                   },
                                   [this, &target](kj::Exception &&failure) {
                                       target.connecting = false;
                                       lose(target, failure.getDescription().cStr());
                                   }));
    }

    void use(peer &target, kj::Own<kj::AsyncIoStream> stream)
    {
        target.open = std::make_shared<connection>(kj::mv(stream));
        target.backoff = firstBackoff;
        target.reportedLost = false;
        logFor("rpc")->info("connected to voter {} at {}", target.address.id, target.address.rpc);
        for (const auto &message : target.pending)
            deliver(target, message);
        target.pending.clear();
    }

    void lose(peer &target, std::string_view reason)
    {
        if (!target.reportedLost)
            logFor("rpc")->warn("no connection to voter {} at {}: {}", target.address.id,
                                target.address.rpc, reason);
        target.reportedLost = true;
        // Destroyed later, because this may run in a continuation of the connection.
        tasks_.add(
                kj::evalLater([closed = std::move(target.open)]() mutable { closed = nullptr; }));
        target.open = nullptr;
        dropped_ += target.pending.size();
        target.pending.clear();
        target.unacknowledged = 0;
        target.unacknowledgedBytes = 0;
        target.nextAttempt = loop_.now() + target.backoff;
        target.backoff = std::min(target.backoff * 2, lastBackoff);
    }

    event_loop &loop_;
    address_of addresses_;
    milliseconds silenceLimit_ = defaultSilenceLimit;
    std::map<consensus::voter_id, peer> peers_;
    std::uint64_t dropped_ = 0;
    failure_log failureLog_;
    kj::TaskSet tasks_;
};

peer_transport::peer_transport(wire::event_loop &loop, const settings &values)
    : implementation_(std::make_unique<implementation>(loop, values))
{
}

peer_transport::peer_transport(wire::event_loop &loop, address_of addresses,
                               milliseconds silenceLimit)
    : implementation_(std::make_unique<implementation>(loop, std::move(addresses), silenceLimit))
{
}

peer_transport::~peer_transport() = default;

void peer_transport::send(consensus::voter_id to, consensus::byte_view message)
{
    implementation_->send(to, message);
}

void peer_transport::requestDrain(consensus::voter_id id, const std::function<void(status)> &done)
{
    implementation_->requestDrain(id, done);
}

std::uint64_t peer_transport::dropped() const
{
    return implementation_->dropped();
}

} // namespace persimmon::apps
