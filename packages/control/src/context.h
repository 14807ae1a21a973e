#pragma once

#include "control/coordinator.h"
#include "ledger_data.h"

#include <spdlog/spdlog.h>

namespace persimmon::control {

// State shared by the controllers of one coordinator: ledger, log, scheduler, term and time.
class context
{
public:
    // Receives the ledger's reply, or the error NotLeader, NoQuorum or StorageFailed.
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

    // Returns whether all leases that an earlier leader may have granted to entries have expired.
    bool earlierLeasesEnded() const;

    void start(time_point now, wall_ms wall, std::uint64_t term);
    void stop() { term_ = 0; }
    void setTime(time_point now) { now_ = std::max(now_, now); }
    void setWall(wall_ms wall) { wall_ = wall; }

    // Proposes a command. The callback may run during the call. It is not called after the term in
    // which the command was proposed has ended.
    void commit(const command_body &body, reply_callback done);

    // Proposes a command and always answers the caller. onAccepted runs before the answer if the
    // ledger accepted the command and the term in which it was proposed has not ended.
    template <typename Value>
    void commitAndAnswer(const command_body &body, coordinator::completion<Value> done,
                         std::function<Value(const reply &)> convert,
                         std::function<void(const reply &)> onAccepted = {});

    // Sets the handler that is called after each reply has been processed.
    void onReply(std::function<void()> handler) { replyHandler_ = std::move(handler); }

private:
    // `guarded` runs only if the term has not ended; `always` runs in any case.
    void propose(const command_body &body, reply_callback guarded, reply_callback always);

    coordinator_options options_;
    ledger &state_;
    proposer &log_;
    coordinator::scheduler_factory createScheduler_;
    std::unique_ptr<placement::scheduler> scheduler_; // created anew for each term
    std::uint64_t term_ = 0;
    time_point now_;
    time_point leaderSince_;
    wall_ms wall_ {0};
    // Completions hold a weak reference, because the log may outlive the coordinator.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::function<void()> replyHandler_;
};

template <typename Value>
void context::commitAndAnswer(const command_body &body, coordinator::completion<Value> done,
                              std::function<Value(const reply &)> convert,
                              std::function<void(const reply &)> onAccepted)
{
    auto guarded = [onAccepted = std::move(onAccepted)](const result<reply> &outcome) {
        if (onAccepted && !failed(outcome) && valueOf(outcome).failure.code == result_code::Ok)
            onAccepted(valueOf(outcome));
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
