#pragma once

#include "base/log.h"
#include "consensus/node.h"
#include "test-disk.h"

#include <algorithm>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

// Nodes on a simulated network; deterministic for a given seed.
namespace persimmon::consensus::testing {

inline byte_buffer toBuffer(std::uint64_t number, std::size_t size = sizeof(std::uint64_t))
{
    byte_buffer buffer(size);
    std::memcpy(buffer.data(), &number, sizeof(number));
    return buffer;
}

inline std::uint64_t toNumber(byte_view bytes)
{
    std::uint64_t number = 0;
    std::memcpy(&number, bytes.data(), sizeof(number));
    return number;
}

class violation : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

// Reports a violation. Test groups may replace it to fail through their test framework.
inline std::function<void(const std::string &)> reportViolation
        = [](const std::string &text) { throw violation(text); };

// Checks the invariants that hold across all nodes and restarts.
class invariant_checker
{
public:
    void recordApplied(log_index index, std::uint64_t command)
    {
        const auto [at, first] = applied_.emplace(index, command);
        if (at->second != command)
            reportViolation("two commands were applied at index " + std::to_string(index));
    }

    void recordReply(log_index index, std::uint64_t command)
    {
        recordApplied(index, command);
        acknowledged_[index] = command;
    }

    void recordLeader(term_number term, voter_id id)
    {
        if (leaders_.emplace(term, id).first->second != id)
            reportViolation("two leaders in term " + std::to_string(term));
    }

    // Checks that a node that has applied all entries holds every acknowledged command.
    void checkComplete(const std::map<log_index, std::uint64_t> &state) const
    {
        for (const auto &[index, command] : acknowledged_) {
            const auto at = state.find(index);
            if (at == state.end() || at->second != command)
                reportViolation("the acknowledged command at index " + std::to_string(index)
                                + " is lost");
        }
    }

    // Checks that a node that may serve reads holds every acknowledged command.
    void checkRead(const std::map<log_index, std::uint64_t> &state) const
    {
        if (!acknowledged_.empty()
            && (state.empty() || state.rbegin()->first < acknowledged_.rbegin()->first))
            reportViolation("a read would miss the acknowledged command at index "
                            + std::to_string(acknowledged_.rbegin()->first));
    }

    std::size_t acknowledgedCount() const { return acknowledged_.size(); }

private:
    std::map<log_index, std::uint64_t> applied_;
    std::map<log_index, std::uint64_t> acknowledged_;
    std::map<term_number, voter_id> leaders_;
};

class recording_machine : public state_machine
{
public:
    explicit recording_machine(invariant_checker &checker)
        : checker_(checker)
    {
    }

    byte_buffer apply(log_index index, byte_view command) override
    {
        if (!state.empty() && state.rbegin()->first >= index)
            reportViolation("applied out of order");
        state[index] = toNumber(command);
        checker_.recordApplied(index, state[index]);
        return toBuffer(index);
    }

    byte_buffer snapshot() const override
    {
        auto bytes = toBuffer(state.size());
        for (const auto &[index, command] : state) {
            const auto first = toBuffer(index);
            const auto second = toBuffer(command);
            bytes.insert(bytes.end(), first.begin(), first.end());
            bytes.insert(bytes.end(), second.begin(), second.end());
        }
        bytes.resize(bytes.size() + padding);
        return bytes;
    }

    status restore(byte_view bytes) override
    {
        state.clear();
        for (auto remaining = toNumber(bytes); remaining != 0;
             --remaining, bytes = bytes.subspan(16))
            state[toNumber(bytes.subspan(8))] = toNumber(bytes.subspan(16));
        return {};
    }

    std::map<log_index, std::uint64_t> state;
    std::size_t padding = 0; // bytes added to each snapshot

private:
    invariant_checker &checker_;
};

// Group of up to seven nodes; the first `voters` nodes form the initial membership.
class cluster
{
public:
    cluster(std::uint64_t seed, std::size_t voters, std::size_t extraNodes = 0,
            std::uint64_t snapshotEntries = 50)
        : sim(seed)
    {
        setLogLevel("off");
        options_.snapshotEntries = snapshotEntries;
        options_.seed = seed;
        for (voter_id id = 1; id <= voters; ++id)
            options_.voters.push_back(id);
        for (voter_id id = 1; id <= voters + extraNodes; ++id) {
            members_[id] = std::make_unique<member>(*this, id);
            driftPermille[id] = static_cast<int>(sim.below(61)) - 30;
            start(id);
        }
    }

    void start(voter_id id)
    {
        auto &at = *members_.at(id);
        if (at.self)
            return;
        auto options = options_;
        options.self = id;
        at.machine = std::make_unique<recording_machine>(checker);
        at.machine->padding = snapshotPadding;
        auto opened = node::open(options, at.disk, at, *at.machine, now(id));
        at.self = std::move(valueOf(opened));
        tick(id, ++at.incarnation);
    }

    void crash(voter_id id)
    {
        auto &at = *members_.at(id);
        at.self.reset();
        ++at.incarnation;
        at.disk.crash();
        at.disk.failing = false;
    }

    void loseDisk(voter_id id, bool damaged)
    {
        crash(id);
        disk(id).lose(damaged);
        start(id);
    }

    void propose(voter_id id)
    {
        if (!running(id))
            return;
        const auto command = ++lastCommand_;
        at(id).propose(now(id), toBuffer(command), [this, command](auto outcome) {
            if (failed(outcome))
                lastFailure = errorOf(outcome).code;
            else
                checker.recordReply(toNumber(valueOf(outcome)), command);
        });
    }

    // Returns the time of the node's own clock; clocks run up to 3% fast or slow.
    time_point now(voter_id id) const
    {
        const auto start = time_point(std::chrono::hours(1));
        return sim.now + (sim.now - start) * driftPermille.at(id) / 1000;
    }

    // Drops messages between the group and all other nodes; with inboundOnly, only messages from
    // other nodes to the group.
    void isolate(std::set<voter_id> group, bool inboundOnly = false)
    {
        isolated_ = std::move(group);
        inboundOnly_ = inboundOnly;
    }

    void heal() { isolated_.clear(); }

    void advance(std::chrono::microseconds duration) { sim.advance(duration); }

    // Returns the leader with the highest term, or 0.
    voter_id leader() const
    {
        voter_id best = 0;
        for (const auto &[id, member] : members_) {
            if (!member->self || member->self->currentStatus().role != node_role::Leader)
                continue;
            if (best == 0
                || members_.at(best)->self->currentStatus().term
                        < member->self->currentStatus().term)
                best = id;
        }
        return best;
    }

    voter_id awaitLeader(milliseconds limit = milliseconds(5000))
    {
        const auto ready
                = [this] { return leader() != 0 && at(leader()).canServeReads(now(leader())); };
        await(ready, limit, "a leader");
        return leader();
    }

    void await(const std::function<bool()> &condition, milliseconds limit, const std::string &what)
    {
        for (const auto end = sim.now + limit; !condition(); advance(milliseconds(5))) {
            if (sim.now >= end)
                reportViolation("timed out waiting for " + what);
        }
    }

    // Proposes through the leader until a command is acknowledged.
    void commitOne(milliseconds limit = milliseconds(10000))
    {
        const auto before = checker.acknowledgedCount();
        const auto done = [&] {
            if (checker.acknowledgedCount() == before && leader() != 0)
                propose(leader());
            advance(milliseconds(20));
            return checker.acknowledgedCount() > before;
        };
        await(done, limit, "a commit");
    }

    // Waits until every voter has applied all entries, then checks the state of each voter.
    void awaitConvergence(milliseconds limit = milliseconds(20000))
    {
        commitOne(limit);
        const auto equal = [this] {
            const auto id = leader();
            if (id == 0)
                return false;
            const auto state = at(id).currentStatus();
            return std::ranges::all_of(state.peers, [&](const auto &peer) {
                return running(peer.id) && admitted(peer.id)
                        && at(peer.id).currentStatus().applied == state.lastIndex;
            });
        };
        await(equal, limit, "all voters to catch up");
        for (const auto &peer : at(leader()).currentStatus().peers)
            checker.checkComplete(members_.at(peer.id)->machine->state);
    }

    // Adds or removes a voter through the leader and waits for the outcome.
    result_code change(voter_id id, bool add)
    {
        std::optional<result_code> code;
        const auto done = [&](auto outcome) {
            code = failed(outcome) ? errorOf(outcome).code : result_code::Ok;
        };
        const auto leaderId = awaitLeader();
        add ? at(leaderId).addVoter(now(leaderId), id, done)
            : at(leaderId).removeVoter(now(leaderId), id, done);
        await([&] { return code.has_value(); }, milliseconds(10000), "a membership change");
        return *code;
    }

    node_status state(voter_id id) { return at(id).currentStatus(); }
    bool running(voter_id id) const { return members_.at(id)->self != nullptr; }
    node &at(voter_id id) { return *members_.at(id)->self; }
    memory_disk &disk(voter_id id) { return members_.at(id)->disk; }
    recording_machine &machine(voter_id id) { return *members_.at(id)->machine; }
    bool admitted(voter_id id)
    {
        const auto &image = disk(id).image;
        return !image.fresh && !image.damaged && !image.vote.rejoining;
    }

    event_simulation sim;
    invariant_checker checker;
    unsigned dropPercent = 0;
    unsigned duplicatePercent = 0;
    std::chrono::microseconds latency {500};
    result_code lastFailure = result_code::Ok;
    std::size_t snapshotPadding = 0; // for nodes that start after a change
    std::map<voter_id, int> driftPermille;
    std::set<voter_id> proposedVoters; // nodes that were proposed as voters

private:
    struct member : transport
    {
        member(cluster &owner, voter_id id)
            : owner(owner)
            , id(id)
            , disk(owner.sim)
        {
        }

        void send(voter_id to, byte_view message) override { owner.send(id, to, message); }

        cluster &owner;
        voter_id id;
        memory_disk disk;
        std::unique_ptr<recording_machine> machine;
        std::unique_ptr<node> self;
        unsigned incarnation = 0;
    };

    void tick(voter_id id, unsigned incarnation)
    {
        auto &at = *members_.at(id);
        if (at.incarnation != incarnation || !at.self)
            return;
        at.self->tick(now(id));
        checkState(id);
        sim.after(milliseconds(10), [this, id, incarnation] { tick(id, incarnation); });
    }

    void checkState(voter_id id)
    {
        const auto state = at(id).currentStatus();
        if (state.role == node_role::Leader)
            checker.recordLeader(state.term, id);
        if (at(id).canServeReads(now(id)))
            checker.checkRead(machine(id).state);
    }

    bool isCut(voter_id from, voter_id to) const
    {
        return inboundOnly_ ? !isolated_.contains(from) && isolated_.contains(to)
                            : isolated_.contains(from) != isolated_.contains(to);
    }

    void send(voter_id from, voter_id to, byte_view message)
    {
        if (!members_.contains(to) || sim.below(100) < dropPercent)
            return;
        const int messageCount = sim.below(100) < duplicatePercent ? 2 : 1;
        for (int i = 0; i < messageCount; ++i) {
            const auto delay
                    = latency + std::chrono::microseconds(sim.below(2 * latency.count() + 1));
            sim.after(delay, [this, from, to, bytes = byte_buffer(message.begin(), message.end())] {
                if (!running(to) || isCut(from, to))
                    return;
                at(to).receive(now(to), bytes);
                checkState(to);
            });
        }
    }

    node_options options_;
    std::map<voter_id, std::unique_ptr<member>> members_;
    std::set<voter_id> isolated_;
    bool inboundOnly_ = false;
    std::uint64_t lastCommand_ = 0;
};

} // namespace persimmon::consensus::testing
