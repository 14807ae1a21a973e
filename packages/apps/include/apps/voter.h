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

// Returns the current wall-clock time.
wall_ms wallNow();

// One voter of the control group: its node of the replicated log, its ledger and its coordinator,
// which is active while the voter leads. Must be used on the event loop's thread.
class voter final : public control::proposer
{
public:
    // Opens the voter on its storage, with the initial membership of the group. Fails with
    // StorageFailed.
    static result<std::unique_ptr<voter>> open(const settings &values,
                                               const std::vector<std::uint32_t> &firstVoters,
                                               timer_service &clock, consensus::storage &files,
                                               consensus::transport &network);

    ~voter() override;

    // Drives elections, leases and placement; call every 10 ms.
    void tick();

    // Handles one message from another voter.
    void receive(consensus::byte_view message);

    void propose(consensus::byte_buffer command, consensus::node::completion done) override;

    // Succeeds while this voter leads and has applied all entries of earlier terms. Fails with
    // NotLeader.
    status checkLeadership() const;

    // Succeeds while this voter may serve reads of the ledger and grant leases. Fails with
    // NotLeader, or with NoQuorum if this voter leads but has no contact with a quorum.
    status checkReads() const;

    // Returns the id of the current leader, 0 if unknown.
    std::uint32_t leaderHint() const;

    // Returns the operator API address of a voter from the settings, or an empty string.
    std::string httpAddressOf(std::uint32_t id) const;

    // Transfers leadership; calls back when this voter no longer leads or the limit has passed.
    void transferLeadership(milliseconds limit, std::function<void()> done);

    // Adds or removes a voter. Fails with NotLeader, with InvalidValue when adding a voter that the
    // settings do not list, or with the errors of consensus::node.
    void changeVoter(std::uint32_t id, bool add, control::coordinator::completion<std::monostate>);

    // Sets the observer of the time from the proposal of a command to its completion, in seconds.
    void observeCommits(std::function<void(double)> observer) { onCommit_ = std::move(observer); }

    control::coordinator &coordinator() { return *coordinator_; }
    const control::coordinator &coordinator() const { return *coordinator_; }
    const control::ledger &ledger() const { return *ledger_; }
    consensus::node_status nodeStatus() const { return node_->currentStatus(); }
    const settings &values() const { return values_; }
    time_point now() const { return clock_.now(); }

private:
    voter(const settings &values, timer_service &clock);

    error notLeaderError() const;
    void updateRole();
    void pollLeadershipTransfer(time_point deadline, std::function<void()> done);

    settings values_;
    timer_service &clock_;
    std::unique_ptr<control::ledger> ledger_;
    std::unique_ptr<control::coordinator> coordinator_;
    std::unique_ptr<consensus::node> node_;
    std::function<void(double)> onCommit_ = [](double) {};
    consensus::term_number leadingTerm_ = 0; // term in which the coordinator is active, 0: inactive
    consensus::node_role loggedRole_ = consensus::node_role::Follower;
    std::uint32_t loggedLeader_ = 0;
    time_point nextCoordinatorTick_ {};
};

} // namespace persimmon::apps
