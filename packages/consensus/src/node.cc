#include "consensus/node.h"

#include "base/log.h"
#include "core.h"

#include <algorithm>
#include <map>

namespace persimmon::consensus {

namespace {

using namespace detail;

constexpr std::string_view toName(node_role role)
{
    switch (role) {
    case node_role::Learner:
        return "learner";
    case node_role::Follower:
        return "follower";
    case node_role::Candidate:
        return "candidate";
    case node_role::Leader:
        return "leader";
    }
    return "unknown";
}

// The disk identity must differ after each loss. It includes the start time because the settings
// may fix the seed.
core_options makeCoreOptions(const node_options &options, time_point now)
{
    const auto micros = static_cast<std::uint64_t>(now.time_since_epoch().count());
    core_options coreOptions;
    coreOptions.node = options;
    coreOptions.disk = (micros * 0x9e3779b97f4a7c15ULL) ^ (options.seed << 32U) ^ options.self;
    coreOptions.disk += coreOptions.disk == 0 ? 1 : 0;
    return coreOptions;
}

class log_node : public node
{
public:
    log_node(const node_options &options, const stored_state &stored, storage &files,
             transport &network, state_machine &machine, time_point now)
        : options_(options)
        , files_(files)
        , network_(network)
        , machine_(machine)
        , now_(now)
        , core_(makeCoreOptions(options, now), stored, now)
        , role_(core_.currentStatus().role)
        , rejoining_(core_.rejoining())
    {
    }

    void tick(time_point now) override
    {
        now_ = std::max(now_, now);
        run(tick_event {});
        while (!pending_.empty() && pending_.begin()->second.deadline <= now_) {
            auto done = std::move(pending_.begin()->second.done);
            pending_.erase(pending_.begin());
            done(error {result_code::NoQuorum,
                        "the command was not committed by a quorum before its deadline",
                        {},
                        {}});
        }
    }

    void receive(time_point now, byte_view message) override
    {
        now_ = std::max(now_, now);
        if (auto value = decode(message))
            run(message_event {std::move(*value)});
    }

    void propose(time_point now, byte_buffer command, completion done) override
    {
        now_ = std::max(now_, now);
        run(propose_event {std::move(command)}, std::move(done));
    }

    bool canServeReads(time_point now) const override { return core_.canServeReads(now); }

    void transferLeadership(time_point now) override
    {
        now_ = std::max(now_, now);
        run(transfer_event {});
    }

    void addVoter(time_point now, voter_id id, completion done) override
    {
        now_ = std::max(now_, now);
        run(membership_change_event {id, true}, std::move(done));
    }

    void removeVoter(time_point now, voter_id id, completion done) override
    {
        now_ = std::max(now_, now);
        run(membership_change_event {id, false}, std::move(done));
    }

    node_status currentStatus() const override { return core_.currentStatus(); }

private:
    struct proposal
    {
        time_point deadline;
        completion done;
    };

    struct input
    {
        event value;
        completion done;
    };

    // Completions may call back into the node; such calls are queued until the step is complete.
    void run(event value, completion done = {})
    {
        queue_.push_back({std::move(value), std::move(done)});
        if (running_)
            return;
        running_ = true;
        while (!queue_.empty()) {
            auto next = std::move(queue_.front());
            queue_.pop_front();
            process(std::move(next));
        }
        running_ = false;
    }

    void process(input next)
    {
        const bool isChange = std::holds_alternative<membership_change_event>(next.value);
        auto output = core_.step(now_, std::move(next.value));
        if (output.restore && failed(machine_.restore(output.restore->state))) {
            // Nothing of this step was written or sent, and the node cannot continue without the
            // state.
            log_->error("state machine rejected a snapshot from the leader");
            queue_.push_back({synced_event {0, false}, {}});
            if (output.lostLeadership)
                failPending();
            return;
        }
        write(output);
        for (const auto &message : output.messages)
            network_.send(message.to, encode(message));
        if (output.rejection != result_code::Ok)
            reject(output.rejection, next.done);
        else if (isChange)
            changeDone_ = std::move(next.done);
        else if (output.proposed != 0)
            pending_[output.proposed] = {now_ + 5 * options_.electionTimeout, std::move(next.done)};
        if (output.restore)
            log_->info("node {} installed a snapshot at index {}", options_.self,
                       output.restore->index);
        if (output.lostLeadership)
            failPending();
        if (output.changeOutcome && changeDone_)
            finishChange(*output.changeOutcome);
        apply(output.applyUpTo);
        logRoleChange();
    }

    void write(actions &output)
    {
        if (output.snapshot)
            files_.saveSnapshot(*output.snapshot);
        if (!output.append.empty())
            files_.append(output.append);
        if (output.vote)
            files_.saveVote(*output.vote);
        if (output.syncToken == 0)
            return;
        files_.sync([this, alive = std::weak_ptr<int>(alive_),
                     token = output.syncToken](const status &done) {
            if (alive.expired())
                return;
            if (failed(done))
                log_->error("storage failed, this node no longer participates: {}",
                            errorOf(done).detail);
            run(synced_event {token, !failed(done)});
        });
    }

    static void reject(result_code code, const completion &done)
    {
        if (done)
            done(error {code, std::string(describe(code).text), {}, {}});
    }

    void failPending()
    {
        const auto code = core_.failed() ? result_code::StorageFailed : result_code::NoQuorum;
        auto aborted = std::move(pending_);
        pending_.clear();
        for (auto &[index, item] : aborted)
            item.done(error {code, "leadership ended before the command was applied", {}, {}});
    }

    void finishChange(result_code code)
    {
        log_->info("membership change completed: {}", describe(code).name);
        const auto done = std::move(changeDone_);
        changeDone_ = {};
        if (code == result_code::Ok)
            done(byte_buffer {});
        else
            reject(code, done);
    }

    void apply(log_index upTo)
    {
        for (auto i = core_.applied() + 1; i <= upTo; ++i) {
            const auto &entry = core_.entryAt(i);
            byte_buffer reply;
            if (entry.kind == entry_kind::Command)
                reply = machine_.apply(i, entry.payload);
            core_.markApplied(i);
            const auto found = pending_.find(i);
            if (found == pending_.end())
                continue;
            const auto done = std::move(found->second.done);
            pending_.erase(found);
            done(std::move(reply));
        }
        if (core_.needsSnapshot() && !core_.failed())
            queue_.push_back({compact_event {core_.applied(), machine_.snapshot()}, {}});
    }

    void logRoleChange()
    {
        const auto state = core_.currentStatus();
        if (state.role != role_) {
            log_->info("node {} became {} in term {}", options_.self, toName(state.role),
                       state.term);
            role_ = state.role;
        }
        if (rejoining_ && !core_.rejoining()) {
            log_->info("node {} may vote again", options_.self);
            rejoining_ = false;
        }
    }

    node_options options_;
    storage &files_;
    transport &network_;
    state_machine &machine_;
    time_point now_;
    core core_;
    node_role role_;
    bool rejoining_;
    std::deque<input> queue_;
    bool running_ = false;
    std::map<log_index, proposal> pending_;
    completion changeDone_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
    std::shared_ptr<spdlog::logger> log_ = logFor("log");
};

} // namespace

result<std::unique_ptr<node>> node::open(const node_options &options, storage &files,
                                         transport &network, state_machine &machine, time_point now)
{
    auto loaded = files.load();
    if (failed(loaded))
        return errorOf(loaded);
    const auto &stored = valueOf(loaded);
    if (stored.snapshot.index != 0) {
        const auto restored = machine.restore(stored.snapshot.state);
        if (failed(restored))
            return error {result_code::StorageFailed,
                          "state machine rejected the stored snapshot: " + errorOf(restored).detail,
                          {},
                          {}};
    }
    if (stored.damaged)
        logFor("log")->error("node {} has lost stored state and rejoins as a learner",
                             options.self);
    return std::make_unique<log_node>(options, stored, files, network, machine, now);
}

} // namespace persimmon::consensus
