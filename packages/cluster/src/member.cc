#include "cluster/member.h"

#include "apps/data_folder.h"
#include "apps/names.h"
#include "apps/peer_transport.h"
#include "apps/watched_storage.h"
#include "base/event_log.h"
#include "base/log.h"
#include "cluster/address.h"
#include "consensus/storage.h"
#include "control.capnp.h"

#include <algorithm>
#include <map>
#include <random>
#include <ranges>

namespace persimmon::cluster {

namespace {

namespace schema = wire::schema;

constexpr milliseconds tickPeriod {10};
constexpr milliseconds joinPeriod {700}; // interval between join requests
constexpr milliseconds membershipPeriod {300}; // interval between membership checks
constexpr milliseconds peerTimeout {1000};

class group_member;

class member_service final : public schema::Voter::Server
{
public:
    explicit member_service(group_member &owner)
        : owner_(owner)
    {
    }

    kj::Promise<void> deliver(DeliverContext context) override;
    kj::Promise<void> join(JoinContext context) override;
    kj::Promise<void> locate(LocateContext context) override;
    kj::Promise<void> relay(RelayContext context) override;

private:
    group_member &owner_;
};

class group_member final : public member
{
public:
    group_member(wire::event_loop &loop, const member_options &options)
        : loop_(loop)
        , options_(options)
        , self_(idOf(options.ip).value_or(0))
        , transport_(
                  loop,
                  [port = options.rpcPort](consensus::voter_id id) {
                      return voter_address {id, addressOf(id, port), {}};
                  },
                  peerTimeout)
        , joinClient_(loop, relayOptions(options), options.seeds)
    {
    }

    ~group_member() noexcept override
    {
        for (const auto timer : timers_)
            loop_.timers().cancel(timer);
    }

    status start(consensus::state_machine &machine)
    {
        if (self_ == 0)
            return error {result_code::InvalidSettings, "not an IPv4 address", "ip", {}};
        std::vector<consensus::voter_id> founders;
        const bool isFounder = options_.bootstrap
                && std::ranges::find(options_.seeds, self_) != options_.seeds.end();
        if (isFounder)
            founders = options_.seeds;
        std::ranges::sort(founders);
        const auto first = apps::loadInitialVoters(options_.dataFolder, founders);
        if (failed(first))
            return errorOf(first);
        auto files = consensus::openFileStorage(
                options_.dataFolder,
                [this](std::function<void()> work) { loop_.post(std::move(work)); });
        if (failed(files))
            return errorOf(files);
        storage_ = std::make_unique<apps::watched_storage>(
                std::move(valueOf(files)), [this](const error &reason) {
                    logEvent("storage.failed", {{"why", reason.detail}});
                    onStorageFailure_();
                });
        consensus::node_options nodeOptions;
        nodeOptions.self = self_;
        nodeOptions.voters = valueOf(first);
        nodeOptions.electionTimeout = options_.electionTimeout;
        nodeOptions.heartbeatInterval = options_.heartbeat;
        nodeOptions.seed = std::random_device {}();
        auto opened
                = consensus::node::open(nodeOptions, *storage_, transport_, machine, loop_.now());
        if (failed(opened))
            return errorOf(opened);
        node_ = std::move(valueOf(opened));
        if (auto listening = listen(); failed(listening))
            return listening;
        auto &timers = loop_.timers();
        timers_.push_back(timers.every(tickPeriod, [this](time_point) { tick(); }));
        timers_.push_back(timers.every(joinPeriod, [this](time_point) { requestJoin(); }));
        timers_.push_back(
                timers.every(membershipPeriod, [this](time_point) { reconcileVoters(); }));
        joinClient_.startLocating();
        return std::monostate {};
    }

    void onRelay(relay_handler handler) override { onRelay_ = std::move(handler); }
    void onLeadershipChange(std::function<void(std::uint64_t)> callback) override
    {
        onLeading_ = std::move(callback);
    }
    void onStorageFailure(std::function<void()> callback) override
    {
        onStorageFailure_ = std::move(callback);
    }

    void propose(consensus::byte_buffer command,
                 std::function<void(result<consensus::byte_buffer>)> done) override
    {
        node_->propose(loop_.now(), std::move(command), std::move(done));
    }

    bool canServeReads() const override { return node_->canServeReads(loop_.now()); }
    consensus::voter_id leader() const override { return node_->currentStatus().leader; }
    consensus::node_status currentStatus() const override { return node_->currentStatus(); }

    void transferLeadership(milliseconds limit, std::function<void()> done) override
    {
        node_->transferLeadership(loop_.now());
        waitForTransfer(loop_.now() + limit, std::move(done));
    }

    void receive(consensus::byte_view message)
    {
        node_->receive(loop_.now(), message);
        updateLeadership();
    }

    void join(consensus::voter_id id)
    {
        const auto state = node_->currentStatus();
        if (state.role != consensus::node_role::Leader) {
            return;
        }
        if (!isVoter(state, id))
            joinRequests_[id] = loop_.now();
    }

    void relay(std::string request, relay_client::completion done)
    {
        if (!canServeReads())
            return done(error {result_code::NotLeader, "this node is not the leader", {}, {}});
        onRelay_(std::move(request), std::move(done));
    }

private:
    static relay_options relayOptions(const member_options &options)
    {
        relay_options relayClientOptions;
        relayClientOptions.port = options.rpcPort;
        return relayClientOptions;
    }

    static bool isVoter(const consensus::node_status &state, consensus::voter_id id)
    {
        return std::ranges::any_of(state.peers, [id](const consensus::peer_status &peer) {
            return peer.id == id && peer.voter;
        });
    }

    status listen()
    {
        auto opened = wire::rpc_listener::listen(loop_, addressOf(self_, options_.rpcPort),
                                                 kj::heap<member_service>(*this), options_.limits);
        if (failed(opened))
            return errorOf(opened);
        listener_ = std::move(valueOf(opened));
        return std::monostate {};
    }

    void tick()
    {
        node_->tick(loop_.now());
        updateLeadership();
    }

    void updateLeadership()
    {
        const auto state = node_->currentStatus();
        const bool leads = state.role == consensus::node_role::Leader && canServeReads();
        const auto term = leads ? state.term : 0;
        if (term == leadingTerm_
            || (state.role == consensus::node_role::Leader && term == 0
                && state.term == leadingTerm_))
            return;
        leadingTerm_ = term;
        leadingSince_ = loop_.now();
        joinRequests_.clear();
        onLeading_(term);
    }

    // Sends join requests to all known nodes if this node is not a voter, or if it has had no
    // leader for three periods, which also happens to a voter that was removed without receiving
    // the change.
    void requestJoin()
    {
        const auto state = node_->currentStatus();
        if (state.leader != 0)
            leaderLastKnownAt_ = loop_.now();
        if (state.role == consensus::node_role::Learner
            || leaderLastKnownAt_ + joinPeriod * 3 < loop_.now())
            joinClient_.join(self_);
    }

    // Adds nodes that have requested to join, and removes voters that have timed out while there
    // are more voters than the target. Makes one change at a time. Join requests expire after five
    // periods.
    void reconcileVoters()
    {
        const auto now = loop_.now();
        const auto state = node_->currentStatus();
        if (state.role != consensus::node_role::Leader || !canServeReads()
            || membershipChangeInFlight_)
            return;
        std::erase_if(joinRequests_, [&](const auto &item) {
            return isVoter(state, item.first) || item.second + joinPeriod * 5 < now;
        });
        if (!joinRequests_.empty())
            return addVoter(joinRequests_.begin()->first);
        const auto voters = std::ranges::count(state.peers, true, &consensus::peer_status::voter);
        if (static_cast<std::size_t>(voters) <= options_.voters)
            return;
        for (const auto &peer : state.peers) {
            const bool timedOut
                    = std::max(peer.lastAcknowledgedSendTime, leadingSince_) + options_.voterTimeout
                    < now;
            if (peer.voter && peer.id != self_ && timedOut)
                return removeVoter(peer.id);
        }
    }

    void addVoter(consensus::voter_id id)
    {
        membershipChangeInFlight_ = true;
        logEvent("membership.adding", {{"node", ipOf(id)}});
        node_->addVoter(loop_.now(), id, membershipChangeCallback("membership.added", id));
    }

    void removeVoter(consensus::voter_id id)
    {
        membershipChangeInFlight_ = true;
        logEvent("membership.removing", {{"node", ipOf(id)}});
        node_->removeVoter(loop_.now(), id, membershipChangeCallback("membership.removed", id));
    }

    consensus::node::completion membershipChangeCallback(std::string_view event,
                                                         consensus::voter_id id)
    {
        return [this, event, id](const result<consensus::byte_buffer> &changed) {
            membershipChangeInFlight_ = false;
            logEvent(event,
                     {{"node", ipOf(id)},
                      {"outcome", failed(changed) ? describe(errorOf(changed).code).name : "ok"}});
        };
    }

    void waitForTransfer(time_point limit, std::function<void()> done)
    {
        if (node_->currentStatus().role != consensus::node_role::Leader || loop_.now() >= limit)
            return done();
        loop_.timers().after(tickPeriod * 2, [this, limit, done = std::move(done)](time_point) {
            waitForTransfer(limit, done);
        });
    }

    wire::event_loop &loop_;
    member_options options_;
    consensus::voter_id self_;
    apps::peer_transport transport_;
    relay_client joinClient_;
    std::unique_ptr<consensus::storage> storage_;
    std::unique_ptr<consensus::node> node_;
    std::unique_ptr<wire::rpc_listener> listener_;
    std::vector<timer_service::subscription> timers_;
    relay_handler onRelay_ = [](const std::string &, const relay_client::completion &done) {
        done(error {result_code::NotReady, "the node is still starting", {}, {}});
    };
    std::function<void(std::uint64_t)> onLeading_ = [](std::uint64_t) {};
    std::function<void()> onStorageFailure_ = [] {};
    std::uint64_t leadingTerm_ = 0;
    std::map<consensus::voter_id, time_point> joinRequests_; // by node: time of the last request
    time_point leadingSince_ {};
    time_point leaderLastKnownAt_ {};
    bool membershipChangeInFlight_ = false;
};

kj::Promise<void> member_service::deliver(DeliverContext context)
{
    const auto message = context.getParams().getMessage();
    owner_.receive({reinterpret_cast<const std::byte *>(message.begin()), message.size()});
    return kj::READY_NOW;
}

kj::Promise<void> member_service::join(JoinContext context)
{
    owner_.join(context.getParams().getId());
    return kj::READY_NOW;
}

kj::Promise<void> member_service::locate(LocateContext context)
{
    const auto state = owner_.currentStatus();
    auto answer = context.getResults();
    answer.setLeader(state.leader);
    answer.setServing(owner_.canServeReads());
    auto voters = answer.initVoters(static_cast<unsigned>(state.peers.size()));
    for (unsigned i = 0; i < state.peers.size(); ++i)
        voters.set(i, state.peers[i].id);
    return kj::READY_NOW;
}

kj::Promise<void> member_service::relay(RelayContext context)
{
    const auto bytes = context.getParams().getRequest();
    auto pair = kj::newPromiseAndFulfiller<void>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(pair.fulfiller));
    owner_.relay(std::string(reinterpret_cast<const char *>(bytes.begin()), bytes.size()),
                 [this, context, fulfiller](const result<std::string> &outcome) mutable {
                     auto answer = context.getResults();
                     answer.setLeader(owner_.leader());
                     if (failed(outcome)) {
                         answer.setCode(static_cast<std::uint16_t>(errorOf(outcome).code));
                         answer.setDetail(errorOf(outcome).detail);
                     } else {
                         const auto &body = valueOf(outcome);
                         answer.setResponse(
                                 {reinterpret_cast<const kj::byte *>(body.data()), body.size()});
                     }
                     (*fulfiller)->fulfill();
                 });
    return kj::mv(pair.promise);
}

} // namespace

result<std::unique_ptr<member>> member::open(wire::event_loop &loop, const member_options &options,
                                             consensus::state_machine &machine)
{
    auto opened = std::make_unique<group_member>(loop, options);
    if (auto started = opened->start(machine); failed(started))
        return errorOf(started);
    return std::unique_ptr<member>(std::move(opened));
}

} // namespace persimmon::cluster
