#include "apps/voter.h"

#include "apps/names.h"
#include "base/log.h"

#include <algorithm>

namespace persimmon::apps {

namespace {

constexpr milliseconds coordinatorTickPeriod {20};
constexpr milliseconds transferPollInterval {10};

consensus::node_options nodeOptions(const settings &values,
                                    const std::vector<std::uint32_t> &firstVoters)
{
    consensus::node_options options;
    options.self = values.voterId;
    options.voters = firstVoters;
    options.electionTimeout = values.electionTimeout;
    options.heartbeat = values.heartbeat;
    options.snapshotEntries = values.snapshotEntries;
    // Voters need different seeds; otherwise their elections time out together and split the vote
    // repeatedly.
    options.seed = static_cast<std::uint64_t>(wallNow().count()) * 1000 + values.voterId;
    return options;
}

control::coordinator_options coordinatorOptions(const settings &values)
{
    control::coordinator_options options;
    options.self = values.voterId;
    options.configurationLease = values.configurationLease;
    options.announcePeriod = values.announcePeriod;
    options.upstreamLease = values.upstreamLease;
    options.taskLease = values.taskLease;
    options.slotSharing = values.slotSharing;
    options.placement.strategy = values.placementStrategy;
    options.placement.completionWeight = values.completionWeight;
    options.placement.fragmentationWeight = values.fragmentationWeight;
    options.placement.checkpointDeadline = values.checkpointDeadline;
    return options;
}

} // namespace

wall_ms wallNow()
{
    return std::chrono::duration_cast<wall_ms>(std::chrono::system_clock::now().time_since_epoch());
}

voter::voter(const settings &values, timer_service &clock)
    : values_(values)
    , clock_(clock)
    , ledger_(control::ledger::create())
{
    coordinator_ = control::coordinator::create(coordinatorOptions(values_), *ledger_, *this);
}

voter::~voter() = default;

result<std::unique_ptr<voter>> voter::open(const settings &values,
                                           const std::vector<std::uint32_t> &firstVoters,
                                           timer_service &clock, consensus::storage &files,
                                           consensus::transport &network)
{
    std::unique_ptr<voter> opened(new voter(values, clock));
    auto member = consensus::node::open(nodeOptions(values, firstVoters), files, network,
                                        *opened->ledger_, clock.now());
    if (failed(member))
        return errorOf(member);
    opened->node_ = std::move(valueOf(member));
    return opened;
}

void voter::tick()
{
    // The clock is read again because a delayed timer reports the time at which it was due.
    const auto now = clock_.now();
    node_->tick(now);
    updateRole();
    if (leadingTerm_ != 0 && now >= nextCoordinatorTick_) {
        nextCoordinatorTick_ = now + coordinatorTickPeriod;
        coordinator_->tick(now, wallNow());
    }
}

void voter::receive(consensus::byte_view message)
{
    node_->receive(clock_.now(), message);
    updateRole();
}

void voter::propose(consensus::byte_buffer command, consensus::node::completion done)
{
    const auto started = clock_.now();
    node_->propose(started, std::move(command),
                   [this, started, done = std::move(done)](result<consensus::byte_buffer> reply) {
                       const std::chrono::duration<double> seconds = clock_.now() - started;
                       if (!failed(reply))
                           onCommit_(seconds.count());
                       done(std::move(reply));
                   });
}

status voter::checkLeadership() const
{
    if (leadingTerm_ != 0)
        return std::monostate {};
    return notLeaderError();
}

status voter::checkReads() const
{
    if (leadingTerm_ == 0)
        return notLeaderError();
    if (node_->canServeReads(clock_.now()))
        return std::monostate {};
    return error {result_code::NoQuorum, "the leader has no contact with a quorum", {}, {}};
}

std::uint32_t voter::leaderHint() const
{
    return node_->currentStatus().leader;
}

std::string voter::httpAddressOf(std::uint32_t id) const
{
    const auto found = std::ranges::find(values_.voters, id, &voter_address::id);
    return found == values_.voters.end() ? std::string {} : found->http;
}

void voter::transferLeadership(milliseconds limit, std::function<void()> done)
{
    if (node_->currentStatus().role != consensus::node_role::Leader) {
        done();
        return;
    }
    logFor("control")->info("transferring leadership");
    node_->transferLeadership(clock_.now());
    pollLeadershipTransfer(clock_.now() + limit, std::move(done));
}

void voter::changeVoter(std::uint32_t id, bool add,
                        control::coordinator::completion<std::monostate> done)
{
    if (auto leading = checkLeadership(); failed(leading)) {
        done(errorOf(leading));
        return;
    }
    if (add && httpAddressOf(id).empty()) {
        done(error {result_code::InvalidValue, "a voter listed in the leader's settings", "id",
                    milliseconds {0}});
        return;
    }
    auto finish = [done = std::move(done)](const result<consensus::byte_buffer> &reply) {
        if (failed(reply))
            done(errorOf(reply));
        else
            done(std::monostate {});
    };
    if (add)
        node_->addVoter(clock_.now(), id, std::move(finish));
    else
        node_->removeVoter(clock_.now(), id, std::move(finish));
}

error voter::notLeaderError() const
{
    const auto hint = leaderHint();
    const auto address = httpAddressOf(hint);
    if (hint == 0 || hint == values_.voterId)
        return {result_code::NotLeader, "no known leader", {}, {}};
    return {result_code::NotLeader,
            "the leader is voter " + std::to_string(hint) + " at " + address,
            {},
            {}};
}

void voter::updateRole()
{
    const auto current = node_->currentStatus();
    if (current.role != loggedRole_ || current.leader != loggedLeader_) {
        loggedRole_ = current.role;
        loggedLeader_ = current.leader;
        logFor("control")->info("voter {} is {} in term {}, leader {}", values_.voterId,
                                toName(current.role), current.term, current.leader);
    }
    const bool leads = current.role == consensus::node_role::Leader;
    if (leadingTerm_ != 0 && (!leads || current.term != leadingTerm_)) {
        leadingTerm_ = 0;
        coordinator_->loseLeadership(clock_.now());
    }
    // The coordinator starts only after an entry of this term is applied, because its ledger must
    // contain all entries committed by earlier leaders.
    if (leads && leadingTerm_ == 0 && node_->canServeReads(clock_.now())) {
        leadingTerm_ = current.term;
        coordinator_->becomeLeader(clock_.now(), wallNow(), current.term);
    }
}

void voter::pollLeadershipTransfer(time_point deadline, std::function<void()> done)
{
    const auto current = node_->currentStatus();
    const bool transferred = current.role != consensus::node_role::Leader;
    if (transferred || clock_.now() >= deadline) {
        if (!transferred)
            logFor("control")->warn("leadership transfer timed out");
        done();
        return;
    }
    clock_.after(transferPollInterval, [this, deadline, done = std::move(done)](time_point) {
        pollLeadershipTransfer(deadline, done);
    });
}

} // namespace persimmon::apps
