#include "context.h"

namespace persimmon::control {

context::context(const coordinator_options &options, ledger &state, proposer &log,
                 coordinator::scheduler_factory create)
    : options_(options)
    , state_(state)
    , log_(log)
    , createScheduler_(std::move(create))
    , scheduler_(createScheduler_(options.placement))
{
}

bool context::earlierLeasesEnded() const
{
    return now_ >= leaderSince_ + options_.configurationLease;
}

void context::start(time_point now, wall_ms wall, std::uint64_t term)
{
    now_ = std::max(now_, now);
    leaderSince_ = now_;
    wall_ = wall;
    term_ = term;
    scheduler_ = createScheduler_(options_.placement);
}

void context::commit(const command_body &body, reply_callback done)
{
    propose(body, std::move(done), {});
}

void context::propose(const command_body &body, reply_callback guarded, reply_callback always)
{
    auto handle = [this, proposedIn = term_, alive = std::weak_ptr(alive_),
                   guarded = std::move(guarded),
                   always = std::move(always)](const result<consensus::byte_buffer> &bytes) {
        const auto outcome
                = failed(bytes) ? result<reply>(errorOf(bytes)) : decodeReply(valueOf(bytes));
        const bool current = !alive.expired() && leading() && term_ == proposedIn;
        if (current)
            guarded(outcome);
        if (always)
            always(outcome);
        if (current && replyHandler_)
            replyHandler_();
    };
    log_.propose(encode(command {wall_, body}), std::move(handle));
}

} // namespace persimmon::control
