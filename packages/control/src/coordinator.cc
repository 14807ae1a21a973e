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

// Shortest interval between two recomputations of the slot shares.
constexpr milliseconds shareUpdatePeriod {100};

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
        shared_.onReply([this] { answerReadyCalls(); });
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
    // Sync call that waits for a change or its deadline.
    struct pending_call
    {
        std::string entryId;
        std::uint64_t incarnation = 0;
        std::uint64_t appliedVersion = 0;
        std::uint64_t viewEpoch = 0;
        std::uint64_t viewSequence = 0;
        time_point deadline;
        std::function<void(sync_response)> done;
    };

    void reset();
    void startPlacement();
    void refuse(const std::function<void(sync_response)> &done) const;
    bool hasChanges(const pending_call &call);
    void answer(const pending_call &call);
    void answerReadyCalls();
    void recordSync(const sync_request &request);

    context shared_;
    view view_;
    entries entries_;
    membership membership_;
    jobs jobs_;
    configuration configuration_;
    intents intents_;
    slot_shares shares_;
    std::map<std::string, pending_call> pendingCalls_; // by entry
    std::uint64_t placedTablesVersion_ = 0;
    time_point nextShareUpdate_;
    // Number of active calls that may have applied only part of a change; no call is answered then.
    int mutationDepth_ = 0;
};

void leader_coordinator::reset()
{
    entries_.reset();
    membership_.reset();
    jobs_.reset();
    configuration_.reset();
    intents_.reset();
    shares_.reset();
    nextShareUpdate_ = time_point {};
    auto pending = std::move(pendingCalls_);
    pendingCalls_.clear();
    for (const auto &[id, call] : pending)
        refuse(call.done);
}

void leader_coordinator::becomeLeader(time_point now, wall_ms wall, std::uint64_t term)
{
    shared_.stop();
    reset();
    shared_.start(now, wall, term);
    view_.reset(term);
    placedTablesVersion_ = shared_.data().current.version;
    ++mutationDepth_;
    jobs_.loadOpenJobs();
    --mutationDepth_;
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
    view_.markComplete();
    jobs_.start();
    configuration_.start();
}

void leader_coordinator::tick(time_point now, wall_ms wall)
{
    shared_.setTime(now);
    shared_.setWall(wall);
    if (!shared_.leading())
        return;
    ++mutationDepth_;
    entries_.tick([this](const entry_record &expired) { shares_.remove(expired.id); });
    membership_.tick();
    intents_.tick();
    if (!jobs_.started() && now >= shared_.leaderSince() + shared_.options().announcePeriod)
        startPlacement();
    const auto version = shared_.data().current.version;
    if (placedTablesVersion_ != version && jobs_.started()) {
        placedTablesVersion_ = version;
        jobs_.tablesChanged();
    }
    jobs_.tick();
    if (now >= nextShareUpdate_) {
        nextShareUpdate_ = now + shareUpdatePeriod;
        shares_.updateTargets();
    }
    --mutationDepth_;
    answerReadyCalls();
}

void leader_coordinator::refuse(const std::function<void(sync_response)> &done) const
{
    sync_response response;
    response.failure = notLeader;
    done(std::move(response));
}

void leader_coordinator::recordSync(const sync_request &request)
{
    ++mutationDepth_;
    shares_.recordSync(request);
    membership_.recordSync(request);
    jobs_.report(request.reports);
    --mutationDepth_;
}

void leader_coordinator::sync(time_point now, const sync_request &request,
                              std::function<void(sync_response)> done)
{
    shared_.setTime(now);
    if (!shared_.leading())
        return refuse(done);
    if (!entries_.recordSync(request)) {
        sync_response response;
        response.failure = {result_code::NotReady, "another process uses this entry id", {}, {}};
        return done(std::move(response));
    }
    recordSync(request);
    if (!shared_.leading())
        return refuse(done);
    // A longer wait would leave no time for a second attempt within the lease.
    const auto wait = std::min(request.wait, shared_.options().configurationLease / 2);
    pending_call call {request.entryId,   request.entryIncarnation, request.appliedVersion,
                       request.viewEpoch, request.viewSequence,     now + wait,
                       std::move(done)};
    const auto replaced = pendingCalls_.extract(request.entryId);
    pendingCalls_.emplace(request.entryId, std::move(call));
    // The entry has abandoned its earlier call by sending a new one.
    if (replaced)
        answer(replaced.mapped());
    answerReadyCalls();
}

bool leader_coordinator::hasChanges(const pending_call &call)
{
    const auto *record = entries_.find(call.entryId);
    if (!record || record->incarnation != call.incarnation)
        return true;
    return shared_.data().current.version > call.appliedVersion
            || view_.hasChanges(call.viewEpoch, call.viewSequence)
            || shares_.hasChanges(call.entryId) || (record->drain && !record->drainSent);
}

void leader_coordinator::answer(const pending_call &call)
{
    sync_response response;
    auto *record = entries_.find(call.entryId);
    if (!record || record->incarnation != call.incarnation) {
        response.failure = {result_code::NotReady, "the entry's lease has expired", {}, {}};
        return call.done(std::move(response));
    }
    response.leaderHint = shared_.options().self;
    response.lease = entries_.renewLease(*record);
    const auto &current = shared_.data().current;
    response.hasTables = current.version > call.appliedVersion;
    if (response.hasTables)
        response.newTables = current;
    shares_.fill(response, call.entryId);
    view_.fill(response, call.viewEpoch, call.viewSequence);
    response.drain = record->drain;
    record->drainSent = record->drain;
    call.done(std::move(response));
}

void leader_coordinator::answerReadyCalls()
{
    if (mutationDepth_ > 0 || !shared_.leading())
        return;
    std::vector<pending_call> ready;
    for (auto next = pendingCalls_.begin(); next != pendingCalls_.end();) {
        const auto call = next++;
        if (shared_.now() >= call->second.deadline || hasChanges(call->second)) {
            ready.push_back(std::move(call->second));
            pendingCalls_.erase(call);
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
    answerReadyCalls();
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
