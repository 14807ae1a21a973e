#pragma once

#include "base/settings.h"
#include "base/timer_service.h"
#include "consensus/node.h"
#include "consensus/storage.h"
#include "control/coordinator.h"
#include "control/ledger.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace persimmon::apps {

// Wall-clock time now.
wall_ms wallNow();

// One voter of the control group: its member of the replicated log, its ledger and, while it leads,
// its coordinator. All calls belong to the loop's thread.
class voter final : public control::proposer
{
public:
    // Opens the voter on its files, with the first membership of the group. Fails with
    // StorageFailed.
    static result<std::unique_ptr<voter>> open(const settings &values,
                                               const std::vector<std::uint32_t> &firstVoters,
                                               timer_service &clock, consensus::storage &files,
                                               consensus::transport &network);

    ~voter() override;

    // Drives elections, leases and placement; call every 10 ms.
    void tick();

    // Handles one message of another voter.
    void receive(consensus::byte_view message);

    void propose(consensus::byte_buffer command, consensus::node::completion done) override;

    // Succeeds while this voter leads and has applied all earlier entries. Fails with NotLeader.
    status checkLeading() const;

    // Succeeds while reads of the ledger and answers that carry a lease are current. Fails with
    // NotLeader, or with NoQuorum when this voter leads without contact to a quorum.
    status checkReads() const;

    // Number of the leader as known here, 0: not known.
    std::uint32_t leaderHint() const;

    // Operators' address of a voter from the settings, or an empty text.
    std::string httpAddressOf(std::uint32_t id) const;

    // Hands leadership over and calls back once another voter leads or the time has passed.
    void handOver(milliseconds limit, std::function<void()> done);

    // Adds or removes a voter. Fails with InvalidValue when the settings do not list the voter,
    // otherwise as consensus::node does.
    void changeVoter(std::uint32_t id, bool add, control::coordinator::completion<std::monostate>);

    // Receives the time between the proposal and the end of each command of this voter, in seconds.
    void observeCommits(std::function<void(double)> observer) { onCommit_ = std::move(observer); }

    control::coordinator &leader() { return *coordinator_; }
    const control::coordinator &leader() const { return *coordinator_; }
    const control::ledger &state() const { return *ledger_; }
    consensus::node_status nodeStatus() const { return node_->currentStatus(); }
    const settings &values() const { return values_; }
    time_point now() const { return clock_.now(); }

private:
    voter(const settings &values, timer_service &clock);

    error notLeader() const;
    void followRole();
    void watchHandOver(time_point deadline, std::function<void()> done);

    settings values_;
    timer_service &clock_;
    std::unique_ptr<control::ledger> ledger_;
    std::unique_ptr<control::coordinator> coordinator_;
    std::unique_ptr<consensus::node> node_;
    std::function<void(double)> onCommit_ = [](double) {};
    consensus::term_number leadingTerm_ = 0; // term in which the coordinator is active, 0: none
    consensus::node_role loggedRole_ = consensus::node_role::Follower;
    std::uint32_t loggedLeader_ = 0;
    time_point nextCoordinatorTick_ {};
};

} // namespace persimmon::apps
