#include "control/coordinator.h"

#include "base/log.h"
#include "configuration.h"
#include "context.h"
#include "entries.h"
#include "intents.h"
#include "jobs.h"
#include "membership.h"
#include "slot_shares.h"
#include "view.h"

namespace persimmon::control {

namespace {

// Shares follow demand at most this often.
constexpr milliseconds sharePeriod {100};

const error notLeader {result_code::NotLeader, {}, {}, {}};

class leader_coordinator : public coordinator
{
public:
    leader_coordinator(const coordinator_options &options, ledger &state, proposer &log,
                       scheduler_factory schedulers)
        : shared_(options, state, log, std::move(schedulers))
        , entries_(shared_)
        , membership_(shared_, view_, jobs_)
        , jobs_(shared_, membership_, view_)
        , configuration_(shared_, entries_)
        , intents_(shared_, entries_)
        , shares_(shared_, entries_, membership_, view_)
    {
        shared_.onReply([this] { answerHeld(); });
    }

    void becomeLeader(time_point now, wall_ms wall, std::uint64_t term) override;
    void loseLeadership(time_point now) override;
    void tick(time_point now, wall_ms wall) override;
    void sync(time_point now, const sync_request &request,
              std::function<void(sync_response)> done) override;
    void submitJob(time_point now, const std::string &key, const job_spec &spec,
                   completion<job_id> done) override;
    void cancelJob(time_point now, job_id id, completion<std::monostate> done) override;
    void recordIntent(time_point now, const intent_request &request,
                      completion<intent_reply> done) override;
    void recordOutcome(time_point now, const outcome_record &record,
                       completion<std::monostate> done) override;
    void applyTables(time_point now, const tables &next, std::uint64_t expectedVersion,
                     const std::string &changeId, bool dryRun,
                     completion<apply_outcome> done) override;
    rollout currentRollout(time_point now) const override;
    status drainEntry(const std::string &entryId) override;
    cluster_status currentStatus(time_point now) const override;

private:
    // Sync call that waits for news.
    struct held_call
    {
        std::string entryId;
        std::uint64_t incarnation = 0;
        std::uint64_t appliedVersion = 0;
        std::uint64_t viewEpoch = 0;
        std::uint64_t viewSequence = 0;
        time_point due;
        std::function<void(sync_response)> done;
    };

    void reset();
    void startPlacement();
    void refuse(const std::function<void(sync_response)> &done) const;
    bool hasNews(const held_call &call);
    void answer(const held_call &call);
    void answerHeld();
    void hear(const sync_request &request);

    context shared_;
    view view_;
    entries entries_;
    membership membership_;
    jobs jobs_;
    configuration configuration_;
    intents intents_;
    slot_shares shares_;
    std::map<std::string, held_call> held_; // by entry
    std::uint64_t tablesSeen_ = 0;
    time_point nextShares_;
    int busy_ = 0; // calls that may be in the middle of a change
};

void leader_coordinator::reset()
{
    entries_.reset();
    membership_.reset();
    jobs_.reset();
    configuration_.reset();
    intents_.reset();
    shares_.reset();
    nextShares_ = time_point {};
    auto held = std::move(held_);
    held_.clear();
    for (const auto &[id, call] : held)
        refuse(call.done);
}

void leader_coordinator::becomeLeader(time_point now, wall_ms wall, std::uint64_t term)
{
    shared_.stop();
    reset();
    shared_.start(now, wall, term);
    view_.reset(term);
    tablesSeen_ = shared_.data().current.version;
    ++busy_;
    jobs_.adopt();
    --busy_;
    logFor("control")->info("leader of term {}", term);
}

void leader_coordinator::loseLeadership(time_point now)
{
    shared_.setTime(now);
    if (!shared_.leading())
        return;
    shared_.stop();
    reset();
    logFor("control")->info("no longer leader");
}

void leader_coordinator::startPlacement()
{
    view_.complete();
    jobs_.start();
    configuration_.start();
}

void leader_coordinator::tick(time_point now, wall_ms wall)
{
    shared_.setTime(now);
    shared_.setWall(wall);
    if (!shared_.leading())
        return;
    ++busy_;
    entries_.tick([this](const entry_record &ended) { shares_.drop(ended.id); });
    membership_.tick();
    intents_.tick();
    if (!jobs_.started() && now >= shared_.leaderSince() + shared_.options().announcePeriod)
        startPlacement();
    const auto version = shared_.data().current.version;
    if (tablesSeen_ != version && jobs_.started()) {
        tablesSeen_ = version;
        jobs_.tablesChanged();
    }
    jobs_.tick();
    if (now >= nextShares_) {
        nextShares_ = now + sharePeriod;
        shares_.update();
    }
    --busy_;
    answerHeld();
}

void leader_coordinator::refuse(const std::function<void(sync_response)> &done) const
{
    sync_response response;
    response.failure = notLeader;
    done(std::move(response));
}

void leader_coordinator::hear(const sync_request &request)
{
    ++busy_;
    shares_.hear(request);
    membership_.hear(request);
    jobs_.report(request.reports);
    --busy_;
}

void leader_coordinator::sync(time_point now, const sync_request &request,
                              std::function<void(sync_response)> done)
{
    shared_.setTime(now);
    if (!shared_.leading())
        return refuse(done);
    if (!entries_.hear(request)) {
        sync_response response;
        response.failure = {result_code::NotReady, "another process has this entry's id", {}, {}};
        return done(std::move(response));
    }
    hear(request);
    if (!shared_.leading())
        return refuse(done);
    // Longer calls would leave no time for a second try within the lease.
    const auto wait = std::min(request.wait, shared_.options().configurationLease / 2);
    held_call call {request.entryId,   request.entryIncarnation, request.appliedVersion,
                    request.viewEpoch, request.viewSequence,     now + wait,
                    std::move(done)};
    const auto earlier = held_.extract(request.entryId);
    held_.emplace(request.entryId, std::move(call));
    // A newer call of the entry replaces the held one, which it has given up.
    if (earlier)
        answer(earlier.mapped());
    answerHeld();
}

bool leader_coordinator::hasNews(const held_call &call)
{
    const auto *record = entries_.find(call.entryId);
    if (!record || record->incarnation != call.incarnation)
        return true;
    return shared_.data().current.version > call.appliedVersion
            || view_.hasNews(call.viewEpoch, call.viewSequence) || shares_.hasNews(call.entryId)
            || (record->drain && !record->drainTold);
}

void leader_coordinator::answer(const held_call &call)
{
    sync_response response;
    auto *record = entries_.find(call.entryId);
    if (!record || record->incarnation != call.incarnation) {
        response.failure = {result_code::NotReady, "the entry's lease has ended", {}, {}};
        return call.done(std::move(response));
    }
    response.leaderHint = shared_.options().self;
    response.lease = entries_.renew(*record);
    const auto &current = shared_.data().current;
    response.hasTables = current.version > call.appliedVersion;
    if (response.hasTables)
        response.newTables = current;
    shares_.fill(response, call.entryId);
    view_.fill(response, call.viewEpoch, call.viewSequence);
    response.drain = record->drain;
    record->drainTold = record->drain;
    call.done(std::move(response));
}

void leader_coordinator::answerHeld()
{
    if (busy_ > 0 || !shared_.leading())
        return;
    std::vector<held_call> ready;
    for (auto next = held_.begin(); next != held_.end();) {
        const auto call = next++;
        if (shared_.now() >= call->second.due || hasNews(call->second)) {
            ready.push_back(std::move(call->second));
            held_.erase(call);
        }
    }
    for (const auto &call : ready) {
        if (shared_.leading())
            answer(call);
        else
            refuse(call.done);
    }
}

void leader_coordinator::submitJob(time_point now, const std::string &key, const job_spec &spec,
                                   completion<job_id> done)
{
    shared_.setTime(now);
    if (!shared_.leading())
        return done(notLeader);
    jobs_.submit(key, spec, std::move(done));
}

void leader_coordinator::cancelJob(time_point now, job_id id, completion<std::monostate> done)
{
    shared_.setTime(now);
    if (!shared_.leading())
        return done(notLeader);
    jobs_.cancel(id, std::move(done));
}

void leader_coordinator::recordIntent(time_point now, const intent_request &request,
                                      completion<intent_reply> done)
{
    shared_.setTime(now);
    if (!shared_.leading())
        return done(notLeader);
    intents_.record(request, std::move(done));
}

void leader_coordinator::recordOutcome(time_point now, const outcome_record &record,
                                       completion<std::monostate> done)
{
    shared_.setTime(now);
    if (!shared_.leading())
        return done(notLeader);
    intents_.record(record, std::move(done));
}

void leader_coordinator::applyTables(time_point now, const tables &next,
                                     std::uint64_t expectedVersion, const std::string &changeId,
                                     bool dryRun, completion<apply_outcome> done)
{
    shared_.setTime(now);
    if (!shared_.leading())
        return done(notLeader);
    configuration_.apply(next, expectedVersion, changeId, dryRun, std::move(done));
}

rollout leader_coordinator::currentRollout(time_point) const
{
    return configuration_.currentRollout();
}

status leader_coordinator::drainEntry(const std::string &entryId)
{
    auto *record = shared_.leading() ? entries_.find(entryId) : nullptr;
    if (!record)
        return error {result_code::NotFound, "no such entry", "entry", {}};
    record->drain = true;
    answerHeld();
    return {};
}

cluster_status leader_coordinator::currentStatus(time_point) const
{
    if (!shared_.leading())
        return {};
    return {configuration_.entryStatus(),
            membership_.upstreams(),
            jobs_.quarantined(),
            shared_.scheduler().poolUsage(),
            shared_.scheduler().workspaceUsage(),
            jobs_.waitingJobs(),
            jobs_.runningJobs()};
}

} // namespace

std::unique_ptr<coordinator> coordinator::create(const coordinator_options &options, ledger &state,
                                                 proposer &log, scheduler_factory schedulers)
{
    return std::make_unique<leader_coordinator>(options, state, log, std::move(schedulers));
}

} // namespace persimmon::control
