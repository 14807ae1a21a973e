#include "cluster/relay_client.h"

#include "base/event_log.h"
#include "base/log.h"
#include "cluster/address.h"
#include "cluster/retry_delay.h"
#include "control.capnp.h"
#include "wire/rpc_connection.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <utility>

namespace persimmon::cluster {

namespace {

namespace schema = wire::schema;

using wire::toKj;

constexpr std::size_t maxNodes = 64;

// Returns whether every attempt of a request fails with a code.
bool isAboutContent(result_code code)
{
    return code == result_code::MalformedRequest || code == result_code::InvalidValue
            || code == result_code::InvalidTable || code == result_code::KeyReused
            || code == result_code::Cancelled || code == result_code::VersionConflict;
}

using connection = wire::rpc_connection<schema::Voter>;
using connection_ptr = std::shared_ptr<connection>;

struct node_link
{
    connection_ptr open;
    kj::Maybe<kj::ForkedPromise<void>> connecting;
};

struct pending_call
{
    std::string request;
    time_point deadline {};
    relay_client::completion done;
    call_effect effect = call_effect::Reads;
    bool mayHaveBeenSent = false; // a node may have received the request
    bool attemptInFlight = false; // an attempt was sent and has not been answered
    bool finished = false;
    std::uint32_t failedAttempts = 0;
    timer_service::subscription expiry {};
    std::string failure = "no node has answered";
};

class failure_handler final : public kj::TaskSet::ErrorHandler
{
public:
    void taskFailed(kj::Exception &&failure) override
    {
        logFor("relay")->warn("background task failed: {}", failure.getDescription().cStr());
    }
};

} // namespace

class relay_client::implementation
{
public:
    implementation(wire::event_loop &loop, relay_options options,
                   std::span<const consensus::voter_id> seeds)
        : loop_(loop)
        , options_(options)
        , tasks_(failureHandler_)
    {
        addSeeds(seeds);
    }

    ~implementation() { loop_.timers().cancel(locateTimer_); }

    void addSeeds(std::span<const consensus::voter_id> seeds)
    {
        for (const auto id : seeds)
            addNode(id);
    }

    void call(std::string request, milliseconds deadline, completion done, call_effect effect)
    {
        auto item = std::make_shared<pending_call>();
        item->effect = effect;
        item->request = std::move(request);
        item->deadline = loop_.now() + deadline;
        item->done = std::move(done);
        // Attempts may end after the deadline, so a timer completes the call in time.
        item->expiry = loop_.timers().after(deadline, [this, item](time_point) { expire(item); });
        if (options_.unsentTimeout < deadline)
            loop_.timers().after(options_.unsentTimeout, [this, item](time_point) {
                if (!item->mayHaveBeenSent && !item->attemptInFlight)
                    expire(item);
            });
        attempt(item);
    }

    void startLocating()
    {
        locate();
        locateTimer_
                = loop_.timers().every(options_.locatePeriod, [this](time_point) { locate(); });
    }

    bool hasLeaderContact() const
    {
        return lastContact_ != time_point {}
        && lastContact_ + options_.contactTimeout > loop_.now();
    }

    void join(consensus::voter_id id)
    {
        for (const auto node : nodes_) {
            if (node == id)
                continue;
            tasks_.add(connected(node)
                               .then([this, id](const connection_ptr &link) {
                                   auto request = link->remote.joinRequest();
                                   request.setId(id);
                                   return timer().timeoutAfter(toKj(options_.attemptTimeout),
                                                               request.send().ignoreResult());
                               })
                               .catch_([](kj::Exception &&) {}));
        }
    }

private:
    kj::Timer &timer() { return loop_.io().provider->getTimer(); }

    void addNode(consensus::voter_id id)
    {
        if (id != 0 && std::ranges::find(nodes_, id) == nodes_.end() && nodes_.size() < maxNodes)
            nodes_.push_back(id);
    }

    void setLeader(consensus::voter_id id)
    {
        if (id == leader_)
            return;
        logEvent("relay.leader",
                 {{"earlier", leader_ == 0 ? "none" : ipOf(leader_)},
                  {"leader", id == 0 ? "none" : ipOf(id)}});
        leader_ = id;
        addNode(id);
    }

    // Returns the leader if it is known, otherwise the known nodes in turn.
    consensus::voter_id target()
    {
        if (leader_ != 0 || nodes_.empty())
            return leader_;
        return nodes_[nextNode_++ % nodes_.size()];
    }

    kj::Promise<connection_ptr> connected(consensus::voter_id id)
    {
        auto &link = links_[id];
        if (link.open != nullptr)
            return link.open;
        KJ_IF_MAYBE (running, link.connecting) {
            return running->addBranch().then([this, id] { return ready(id); });
        }
        auto &network = loop_.io().provider->getNetwork();
        auto opened = network.parseAddress(addressOf(id, options_.port))
                              .then([](kj::Own<kj::NetworkAddress> address) {
                                  auto stream = address->connect();
                                  return stream.attach(kj::mv(address));
                              });
        auto done = timer().timeoutAfter(toKj(options_.connectTimeout), kj::mv(opened))
                            .then(
                                    [this, id](kj::Own<kj::AsyncIoStream> stream) {
                                        links_[id].open
                                                = std::make_shared<connection>(kj::mv(stream));
                                        resetConnecting(id);
                                    },
                                    [this, id](kj::Exception &&failure) {
                                        resetConnecting(id);
                                        kj::throwFatalException(kj::mv(failure));
                                    });
        auto forked = done.fork();
        auto branch = forked.addBranch();
        link.connecting = kj::mv(forked);
        return branch.then([this, id] { return ready(id); });
    }

    connection_ptr ready(consensus::voter_id id)
    {
        if (links_[id].open == nullptr)
            kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "connection lost"));
        return links_[id].open;
    }

    // Deferred to the event loop, because this runs in a continuation of the promise, which must
    // not be destroyed there.
    void resetConnecting(consensus::voter_id id)
    {
        tasks_.add(kj::evalLater([this, id] { links_[id].connecting = nullptr; }));
    }

    void dropConnection(consensus::voter_id id, const connection_ptr &connectionUsed,
                        kj::StringPtr reason)
    {
        auto &link = links_[id];
        if (connectionUsed == nullptr || link.open != connectionUsed)
            return;
        logEvent("relay.connection_lost", {{"node", ipOf(id)}, {"why", reason.cStr()}});
        // The connection is destroyed by the event loop later, because this may run in one of its
        // continuations.
        tasks_.add(kj::evalLater([closed = std::move(link.open)]() mutable { closed = nullptr; }));
        link.open = nullptr;
    }

    void complete(const std::shared_ptr<pending_call> &item, result<std::string> outcome)
    {
        if (std::exchange(item->finished, true))
            return;
        loop_.timers().cancel(item->expiry);
        item->done(std::move(outcome));
    }

    void expire(const std::shared_ptr<pending_call> &item)
    {
        const bool mayHaveRun = item->mayHaveBeenSent || item->attemptInFlight;
        const auto code = mayHaveRun ? result_code::OutcomeUnknown : result_code::NotReady;
        complete(item, error {code, item->failure, {}, milliseconds {1000}});
    }

    void attempt(const std::shared_ptr<pending_call> &item)
    {
        if (item->finished)
            return;
        const auto left = std::chrono::duration_cast<milliseconds>(item->deadline - loop_.now());
        if (left.count() <= 0)
            return expire(item);
        const auto id = target();
        if (id == 0)
            return retryLater(item);
        const auto limit = std::min(left, options_.attemptTimeout);
        auto connectionUsed = std::make_shared<connection_ptr>();
        auto response = connected(id).then([this, item, connectionUsed,
                                            limit](const connection_ptr &link) {
            if (item->finished)
                kj::throwFatalException(KJ_EXCEPTION(FAILED, "the call has completed already"));
            *connectionUsed = link;
            item->attemptInFlight = true;
            auto request = link->remote.relayRequest();
            request.setRequest({reinterpret_cast<const kj::byte *>(item->request.data()),
                                item->request.size()});
            return timer().timeoutAfter(toKj(limit), request.send());
        });
        tasks_.add(response.then(
                [this, item, id](capnp::Response<schema::Voter::RelayResults> answer) {
                    item->attemptInFlight = false;
                    finish(item, id, answer);
                },
                [this, item, id, connectionUsed](kj::Exception &&failure) {
                    item->failure = failure.getDescription().cStr();
                    item->attemptInFlight = false;
                    item->mayHaveBeenSent = item->mayHaveBeenSent || *connectionUsed != nullptr;
                    dropConnection(id, *connectionUsed, failure.getDescription());
                    if (leader_ == id)
                        setLeader(0);
                    retryLater(item);
                }));
    }

    void finish(const std::shared_ptr<pending_call> &item, consensus::voter_id id,
                capnp::Response<schema::Voter::RelayResults> &answer)
    {
        const auto code = static_cast<result_code>(answer.getCode());
        if (code == result_code::NotLeader) {
            item->failure = "no leader";
            setLeader(answer.getLeader() == id ? 0 : answer.getLeader());
            return retryLater(item);
        }
        setLeader(id);
        lastContact_ = loop_.now();
        if (code != result_code::Ok && item->effect == call_effect::Changes && item->mayHaveBeenSent
            && !isAboutContent(code)) {
            item->failure = answer.getDetail().cStr();
            return retryLater(item);
        }
        if (code != result_code::Ok)
            return complete(item, error {code, answer.getDetail().cStr(), {}, {}});
        const auto body = answer.getResponse();
        complete(item, std::string(reinterpret_cast<const char *>(body.begin()), body.size()));
    }

    void retryLater(const std::shared_ptr<pending_call> &item)
    {
        ++item->failedAttempts;
        loop_.timers().after(retryDelay(item->failedAttempts, random_()),
                             [this, item](time_point) { attempt(item); });
    }

    void locate()
    {
        const auto id = leader_ != 0 ? leader_ : target();
        if (id == 0)
            return;
        auto connectionUsed = std::make_shared<connection_ptr>();
        auto response = connected(id).then([this, connectionUsed](const connection_ptr &link) {
            *connectionUsed = link;
            return timer().timeoutAfter(toKj(options_.attemptTimeout),
                                        link->remote.locateRequest().send());
        });
        tasks_.add(response.then(
                [this, id](capnp::Response<schema::Voter::LocateResults> answer) {
                    for (const auto voter : answer.getVoters())
                        addNode(voter);
                    if (answer.getServing()) {
                        setLeader(id);
                        recordContact();
                    } else {
                        setLeader(answer.getLeader() == id ? 0 : answer.getLeader());
                    }
                },
                [this, id, connectionUsed](kj::Exception &&failure) {
                    dropConnection(id, *connectionUsed, failure.getDescription());
                    if (leader_ == id)
                        setLeader(0);
                }));
    }

    void recordContact()
    {
        if (!hasLeaderContact())
            logEvent("relay.contact", {{"leader", ipOf(leader_)}, {"outcome", "regained"}});
        lastContact_ = loop_.now();
    }

    wire::event_loop &loop_;
    relay_options options_;
    std::vector<consensus::voter_id> nodes_;
    std::map<consensus::voter_id, node_link> links_;
    consensus::voter_id leader_ = 0;
    std::size_t nextNode_ = std::random_device {}(); // so that not all begin with the same node
    std::minstd_rand random_ {std::random_device {}()};
    time_point lastContact_ {};
    timer_service::subscription locateTimer_ {};
    failure_handler failureHandler_;
    kj::TaskSet tasks_;
};

relay_client::relay_client(wire::event_loop &loop, relay_options options,
                           std::span<const consensus::voter_id> seeds)
    : implementation_(std::make_unique<implementation>(loop, options, seeds))
{
}

relay_client::~relay_client() = default;

void relay_client::call(std::string request, milliseconds deadline, completion done,
                        call_effect effect)
{
    implementation_->call(std::move(request), deadline, std::move(done), effect);
}

void relay_client::startLocating()
{
    implementation_->startLocating();
}

void relay_client::addSeeds(std::span<const consensus::voter_id> seeds)
{
    implementation_->addSeeds(seeds);
}

bool relay_client::hasLeaderContact() const
{
    return implementation_->hasLeaderContact();
}

void relay_client::join(consensus::voter_id id)
{
    implementation_->join(id);
}

} // namespace persimmon::cluster
