#pragma once

#include "consensus/node.h"
#include "consensus/storage.h"

#include <algorithm>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

// Nodes over a simulated network with simulated disks and time. Deterministic for a seed.
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

// Reports a violation; test groups replace it to fail in their framework's way.
inline std::function<void(const std::string &)> reportViolation
        = [](const std::string &text) { throw violation(text); };

// What must hold over all nodes and restarts.
class oracle
{
public:
    void noteApplied(log_index index, std::uint64_t command)
    {
        const auto [at, first] = applied_.emplace(index, command);
        if (at->second != command)
            reportViolation("two commands were applied at index " + std::to_string(index));
    }

    void noteReply(log_index index, std::uint64_t command)
    {
        noteApplied(index, command);
        answered_[index] = command;
    }

    void noteLeader(term_number term, voter_id id)
    {
        if (leaders_.emplace(term, id).first->second != id)
            reportViolation("two leaders in term " + std::to_string(term));
    }

    // Checks that a node which has applied everything knows every answered command.
    void checkComplete(const std::map<log_index, std::uint64_t> &state) const
    {
        for (const auto &[index, command] : answered_) {
            const auto at = state.find(index);
            if (at == state.end() || at->second != command)
                reportViolation("the answered command at index " + std::to_string(index)
                                + " is lost");
        }
    }

    // A node that may serve reads must know every answered command.
    void checkRead(const std::map<log_index, std::uint64_t> &state) const
    {
        if (!answered_.empty()
            && (state.empty() || state.rbegin()->first < answered_.rbegin()->first))
            reportViolation("a read would miss the answered command at index "
                            + std::to_string(answered_.rbegin()->first));
    }

    std::size_t answered() const { return answered_.size(); }

private:
    std::map<log_index, std::uint64_t> applied_;
    std::map<log_index, std::uint64_t> answered_;
    std::map<term_number, voter_id> leaders_;
};

class recording_machine : public state_machine
{
public:
    explicit recording_machine(oracle &judge)
        : judge_(judge)
    {
    }

    byte_buffer apply(log_index index, byte_view command) override
    {
        if (!state.empty() && state.rbegin()->first >= index)
            reportViolation("applied out of order");
        state[index] = toNumber(command);
        judge_.noteApplied(index, state[index]);
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
        for (auto left = toNumber(bytes); left != 0; --left, bytes = bytes.subspan(16))
            state[toNumber(bytes.subspan(8))] = toNumber(bytes.subspan(16));
        return {};
    }

    std::map<log_index, std::uint64_t> state;
    std::size_t padding = 0; // bytes added to each snapshot

private:
    oracle &judge_;
};

// Runs functions at simulated times.
class simulation
{
public:
    explicit simulation(std::uint64_t seed)
        : random(seed)
    {
    }

    void after(std::chrono::microseconds delay, std::function<void()> action)
    {
        queue_.emplace(now + delay, std::move(action));
    }

    void advance(std::chrono::microseconds duration)
    {
        const auto end = now + duration;
        while (!queue_.empty() && queue_.begin()->first <= end) {
            auto next = queue_.extract(queue_.begin());
            now = next.key();
            next.mapped()();
        }
        now = end;
    }

    std::uint64_t below(std::uint64_t limit) { return random() % limit; }

    time_point now = time_point(std::chrono::hours(1));
    std::mt19937_64 random;

private:
    std::multimap<time_point, std::function<void()>> queue_;
};

// Disk that keeps what was synced. A crash keeps a random part of the writes that were not.
class memory_disk : public storage
{
public:
    explicit memory_disk(simulation &world)
        : world_(world)
    {
        image.fresh = true;
    }

    result<stored_state> load() override { return image; }
    void saveVote(const vote_record &vote) override
    {
        write([vote](stored_state &to) {
            to.vote = vote;
            to.damaged = to.damaged && vote.rejoining;
        });
    }

    void append(std::span<const log_entry> entries) override
    {
        for (const auto &entry : entries) {
            write([entry](stored_state &to) {
                std::erase_if(to.entries, [&](const auto &e) { return e.index >= entry.index; });
                to.entries.push_back(entry);
            });
        }
    }

    void saveSnapshot(const snapshot_record &snapshot) override
    {
        write([snapshot](stored_state &to) {
            const auto at = std::ranges::find(to.entries, snapshot.index, &log_entry::index);
            const bool same = at != to.entries.end() && at->term == snapshot.term;
            to.snapshot = snapshot;
            std::erase_if(to.entries,
                          [&](const auto &e) { return !same || e.index <= snapshot.index; });
        });
    }

    void sync(std::function<void(status)> done) override
    {
        const auto upTo = written_;
        world_.after(syncTime + std::chrono::microseconds(world_.below(500)),
                     [this, upTo, done, epoch = epoch_] {
                         if (epoch != epoch_)
                             return;
                         persist(upTo);
                         done(failing ? status(error {result_code::StorageFailed, "disk", {}, {}})
                                      : status());
                     });
    }

    void crash()
    {
        ++epoch_;
        persist(persisted_ + world_.below(written_ - persisted_ + 1));
        pending_.clear();
        persisted_ = written_;
    }

    // Loses everything; a damaged disk knows about it, a replaced one looks like a new one.
    void lose(bool damaged)
    {
        image = {};
        image.fresh = !damaged;
        image.damaged = damaged;
    }

    stored_state image; // what a crash keeps for certain
    std::chrono::microseconds syncTime {1000};
    bool failing = false;

private:
    void write(std::function<void(stored_state &)> change)
    {
        pending_.push_back(std::move(change));
        ++written_;
    }

    void persist(std::uint64_t upTo)
    {
        for (; persisted_ < upTo; ++persisted_) {
            pending_.front()(image);
            pending_.erase(pending_.begin());
            image.fresh = false;
        }
    }

    simulation &world_;
    std::vector<std::function<void(stored_state &)>> pending_;
    std::uint64_t written_ = 0;
    std::uint64_t persisted_ = 0;
    std::uint64_t epoch_ = 0;
};

// Up to seven nodes; the first `voters` of them form the first membership.
class cluster
{
public:
    cluster(std::uint64_t seed, std::size_t voters, std::size_t spares = 0,
            std::uint64_t snapshotEntries = 50)
        : world(seed)
    {
        options_.snapshotEntries = snapshotEntries;
        options_.seed = seed;
        for (voter_id id = 1; id <= voters; ++id)
            options_.voters.push_back(id);
        for (voter_id id = 1; id <= voters + spares; ++id) {
            members_[id] = std::make_unique<member>(*this, id);
            driftPermille[id] = static_cast<int>(world.below(61)) - 30;
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
        at.machine = std::make_unique<recording_machine>(judge);
        at.machine->padding = snapshotPadding;
        auto opened = node::open(options, at.disk, at, *at.machine, now(id));
        at.self = std::move(valueOf(opened));
        tick(id, ++at.life);
    }

    void crash(voter_id id)
    {
        auto &at = *members_.at(id);
        at.self.reset();
        ++at.life;
        at.disk.crash();
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
                judge.noteReply(toNumber(valueOf(outcome)), command);
        });
    }

    // Time of a node's own clock; clocks run up to 3% fast or slow.
    time_point now(voter_id id) const
    {
        const auto start = time_point(std::chrono::hours(1));
        return world.now + (world.now - start) * driftPermille.at(id) / 1000;
    }

    // Cuts the links between the group and all others, in both directions.
    void isolate(std::set<voter_id> group) { group_ = std::move(group); }
    void heal() { group_.clear(); }

    void advance(std::chrono::microseconds duration) { world.advance(duration); }

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
        for (const auto end = world.now + limit; !condition(); advance(milliseconds(5))) {
            if (world.now >= end)
                reportViolation("waited too long for " + what);
        }
    }

    // Proposes through the leader until one command is answered.
    void commitOne(milliseconds limit = milliseconds(10000))
    {
        const auto before = judge.answered();
        const auto done = [&] {
            if (judge.answered() == before && leader() != 0)
                propose(leader());
            advance(milliseconds(20));
            return judge.answered() > before;
        };
        await(done, limit, "a commit");
    }

    // Waits until every voter has applied everything and checks the state of each.
    void settle(milliseconds limit = milliseconds(20000))
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
            judge.checkComplete(members_.at(peer.id)->machine->state);
    }

    // Adds or removes a voter through the leader and waits for the outcome.
    result_code change(voter_id id, bool add)
    {
        std::optional<result_code> code;
        const auto done = [&](auto outcome) {
            code = failed(outcome) ? errorOf(outcome).code : result_code::Ok;
        };
        const auto through = awaitLeader();
        add ? at(through).addVoter(now(through), id, done)
            : at(through).removeVoter(now(through), id, done);
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

    simulation world;
    oracle judge;
    unsigned dropPercent = 0;
    unsigned duplicatePercent = 0;
    std::chrono::microseconds latency {500};
    result_code lastFailure = result_code::Ok;
    std::size_t snapshotPadding = 0; // of nodes started from now on
    std::map<voter_id, int> driftPermille;
    std::set<voter_id> everVoter; // nodes that were proposed as voters

private:
    struct member : transport
    {
        member(cluster &owner, voter_id id)
            : owner(owner)
            , id(id)
            , disk(owner.world)
        {
        }

        void send(voter_id to, byte_view message) override { owner.send(id, to, message); }

        cluster &owner;
        voter_id id;
        memory_disk disk;
        std::unique_ptr<recording_machine> machine;
        std::unique_ptr<node> self;
        unsigned life = 0;
    };

    void tick(voter_id id, unsigned life)
    {
        auto &at = *members_.at(id);
        if (at.life != life || !at.self)
            return;
        at.self->tick(now(id));
        noteState(id);
        world.after(milliseconds(10), [this, id, life] { tick(id, life); });
    }

    void noteState(voter_id id)
    {
        const auto state = at(id).currentStatus();
        if (state.role == node_role::Leader)
            judge.noteLeader(state.term, id);
        if (at(id).canServeReads(now(id)))
            judge.checkRead(machine(id).state);
    }

    void send(voter_id from, voter_id to, byte_view message)
    {
        if (!members_.contains(to) || world.below(100) < dropPercent)
            return;
        const int copies = world.below(100) < duplicatePercent ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const auto delay
                    = latency + std::chrono::microseconds(world.below(2 * latency.count() + 1));
            world.after(delay,
                        [this, from, to, bytes = byte_buffer(message.begin(), message.end())] {
                            if (!running(to) || group_.contains(from) != group_.contains(to))
                                return;
                            at(to).receive(now(to), bytes);
                            noteState(to);
                        });
        }
    }

    node_options options_;
    std::map<voter_id, std::unique_ptr<member>> members_;
    std::set<voter_id> group_;
    std::uint64_t lastCommand_ = 0;
};

} // namespace persimmon::consensus::testing
