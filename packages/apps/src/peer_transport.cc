#include "apps/peer_transport.h"

#include "base/log.h"
#include "control.capnp.h"
#include "wire/rpc_connection.h"

#include <algorithm>
#include <deque>
#include <map>

namespace persimmon::apps {

namespace {

using namespace wire;

// Limits on the unacknowledged messages and bytes of one voter; messages beyond them are dropped.
constexpr std::size_t maxUnacknowledgedMessages = 256;
constexpr std::size_t maxUnacknowledgedBytes = 16U << 20;

// Messages queued while a connection is established, enough for the first round of an election.
constexpr std::size_t maxPendingMessages = 32;

// A connection without an acknowledgement for this time is closed. A network partition that drops
// packets can't be detected otherwise.
constexpr milliseconds defaultAckTimeout {2000};

constexpr milliseconds connectTimeout {1000};
constexpr milliseconds initialBackoff {50};
constexpr milliseconds maxBackoff {1000};

using connection = rpc_connection<schema::Voter>;

struct peer
{
    voter_address address;
    std::shared_ptr<connection> active;
    bool connecting = false;
    bool failureLogged = false;
    time_point nextAttempt {};
    milliseconds backoff = initialBackoff;
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

    implementation(event_loop &loop, address_resolver resolveAddress, milliseconds ackTimeout)
        : loop_(loop)
        , resolveAddress_(std::move(resolveAddress))
        , ackTimeout_(ackTimeout)
        , tasks_(failureLog_)
    {
    }

    void send(consensus::voter_id to, consensus::byte_view message)
    {
        auto found = peers_.find(to);
        if (found == peers_.end() && resolveAddress_) {
            found = peers_.try_emplace(to).first;
            found->second.address = resolveAddress_(to);
        }
        if (found == peers_.end())
            return;
        auto &target = found->second;
        const auto now = loop_.now();
        if (target.unacknowledged > 0 && now - target.lastProgress > ackTimeout_)
            disconnect(target, "acknowledgement timed out");
        if (target.active == nullptr) {
            enqueue(target, message);
            connect(target, now);
            return;
        }
        if (target.unacknowledged >= maxUnacknowledgedMessages
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
        if (target.active == nullptr) {
            connect(target, loop_.now());
            done(error {result_code::RpcFailed, "not connected to the voter", {}, {}});
            return;
        }
        auto drainResponse = target.active->remote.drainRequest().send().ignoreResult();
        auto &timer = loop_.io().provider->getTimer();
        tasks_.add(timer.timeoutAfter(toKj(connectTimeout), kj::mv(drainResponse))
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
    void enqueue(peer &target, consensus::byte_view message)
    {
        if (target.pending.size() >= maxPendingMessages) {
            target.pending.pop_front();
            ++dropped_;
        }
        target.pending.emplace_back(message.begin(), message.end());
    }

    void deliver(peer &target, consensus::byte_view message)
    {
        auto request = target.active->remote.deliverRequest();
        request.setMessage(
                kj::arrayPtr(reinterpret_cast<const kj::byte *>(message.data()), message.size()));
        if (target.unacknowledged == 0)
            target.lastProgress = loop_.now();
        ++target.unacknowledged;
        target.unacknowledgedBytes += message.size();
        const std::weak_ptr<connection> sentOn = target.active;
        const auto size = message.size();
        tasks_.add(request.send().ignoreResult().then(
                [this, &target, sentOn, size] {
                    if (target.active != nullptr && target.active == sentOn.lock())
                        acknowledge(target, size);
                },
                [this, &target, sentOn](kj::Exception &&failure) {
                    if (target.active != nullptr && target.active == sentOn.lock())
                        disconnect(target, failure.getDescription().cStr());
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
                                       attachConnection(target, kj::mv(stream));
                                   },
                                   [this, &target](kj::Exception &&failure) {
                                       target.connecting = false;
                                       disconnect(target, failure.getDescription().cStr());
                                   }));
    }

    void attachConnection(peer &target, kj::Own<kj::AsyncIoStream> stream)
    {
        target.active = std::make_shared<connection>(kj::mv(stream));
        target.backoff = initialBackoff;
        target.failureLogged = false;
        logFor("rpc")->info("connected to voter {} at {}", target.address.id, target.address.rpc);
        for (const auto &message : target.pending)
            deliver(target, message);
        target.pending.clear();
    }

    void disconnect(peer &target, std::string_view reason)
    {
        if (!target.failureLogged)
            logFor("rpc")->warn("no connection to voter {} at {}: {}", target.address.id,
                                target.address.rpc, reason);
        target.failureLogged = true;
        // Destroys the connection later, because this may run in one of its continuations.
        tasks_.add(
                kj::evalLater([closed = std::move(target.active)]() mutable { closed = nullptr; }));
        target.active = nullptr;
        dropped_ += target.pending.size();
        target.pending.clear();
        target.unacknowledged = 0;
        target.unacknowledgedBytes = 0;
        target.nextAttempt = loop_.now() + target.backoff;
        target.backoff = std::min(target.backoff * 2, maxBackoff);
    }

    event_loop &loop_;
    address_resolver resolveAddress_;
    milliseconds ackTimeout_ = defaultAckTimeout;
    std::map<consensus::voter_id, peer> peers_;
    std::uint64_t dropped_ = 0;
    failure_log failureLog_;
    kj::TaskSet tasks_;
};

peer_transport::peer_transport(wire::event_loop &loop, const settings &values)
    : implementation_(std::make_unique<implementation>(loop, values))
{
}

peer_transport::peer_transport(wire::event_loop &loop, address_resolver resolveAddress,
                               milliseconds ackTimeout)
    : implementation_(std::make_unique<implementation>(loop, std::move(resolveAddress), ackTimeout))
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
