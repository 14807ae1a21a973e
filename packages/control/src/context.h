#pragma once

#include "control/coordinator.h"
#include "ledger_data.h"

#include <spdlog/spdlog.h>

namespace persimmon::control {

// What the controllers of one coordinator share: the ledger, the log and the leader's term.
class context
{
public:
    // Receives the ledger's reply, or NotLeader, NoQuorum or StorageFailed.
    using reply_callback = std::function<void(const result<reply> &)>;

    context(const coordinator_options &options, ledger &state, proposer &log,
            coordinator::scheduler_factory create);

    const coordinator_options &options() const { return options_; }
    const ledger_data &data() const { return state_.data(); }
    placement::scheduler &scheduler() { return *scheduler_; }
    const placement::scheduler &scheduler() const { return *scheduler_; }
    bool leading() const { return term_ != 0; }
    std::uint64_t term() const { return term_; }
    time_point now() const { return now_; }
    time_point leaderSince() const { return leaderSince_; }

    // True once all leases that an earlier leader may have granted to entries have ended.
    bool earlierLeasesEnded() const;

    void start(time_point now, wall_ms wall, std::uint64_t term);
    void stop() { term_ = 0; }
    void setTime(time_point now) { now_ = std::max(now_, now); }
    void setWall(wall_ms wall) { wall_ = wall; }

    // Proposes a command. The callback may run during the call; it is not called once the term in
    // which the command was proposed has ended.
    void commit(const command_body &body, reply_callback done);

    // Proposes a command and answers the caller in any case. The effect runs before the answer,
    // and only while the term in which the command was proposed lasts.
    template <typename Value>
    void commitFor(const command_body &body, coordinator::completion<Value> done,
                   std::function<Value(const reply &)> convert,
                   std::function<void(const reply &)> effect = {});

    // Called after each reply has been handled.
    void onReply(std::function<void()> handler) { replied_ = std::move(handler); }

private:
    // The guarded callback runs only while the term lasts; the last one always runs.
    void propose(const command_body &body, reply_callback guarded, reply_callback always);

    coordinator_options options_;
    ledger &state_;
    proposer &log_;
    coordinator::scheduler_factory create_;
    std::unique_ptr<placement::scheduler> scheduler_; // fresh in each term
    std::uint64_t term_ = 0;
    time_point now_;
    time_point leaderSince_;
    wall_ms wall_ {0};
    // Completions hold a weak reference: the log may outlive the coordinator.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::function<void()> replied_;
};

template <typename Value>
void context::commitFor(const command_body &body, coordinator::completion<Value> done,
                        std::function<Value(const reply &)> convert,
                        std::function<void(const reply &)> effect)
{
    auto guarded = [effect = std::move(effect)](const result<reply> &outcome) {
        if (effect && !failed(outcome) && valueOf(outcome).failure.code == result_code::Ok)
            effect(valueOf(outcome));
    };
    auto always
            = [done = std::move(done), convert = std::move(convert)](const result<reply> &outcome) {
                  if (failed(outcome))
                      return done(errorOf(outcome));
                  const auto &answer = valueOf(outcome);
                  if (answer.failure.code != result_code::Ok)
                      return done(answer.failure);
                  done(convert(answer));
              };
    propose(body, std::move(guarded), std::move(always));
}

} // namespace persimmon::control
