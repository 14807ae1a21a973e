#pragma once

#include "base/sync.h"
#include "base/tables.h"
#include "base/timer_service.h"
#include "consensus/node.h"
#include "control/ledger.h"
#include "placement/scheduler.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::control {

// Proposes commands to the replicated log. Implemented over consensus::node by the program and by
// small stand-ins in tests.
class proposer
{
public:
    virtual ~proposer() = default;
    virtual void propose(consensus::byte_buffer command, consensus::node::completion done) = 0;
};

struct coordinator_options
{
    std::uint32_t self = 0;
    milliseconds configurationLease {2000};
    milliseconds announcePeriod {1000};
    milliseconds upstreamLease {3000};
    milliseconds taskLease {10000};
    std::string slotSharing = "lending";
    placement::scheduler_options placement;
};

// One entry as the leader sees it.
struct entry_status
{
    std::string id;
    std::string address;
    location place;
    std::uint64_t appliedVersion = 0;
    milliseconds leaseLeft {0}; // zero: the entry does not serve
    bool stopping = false;
};

// Where an accepted version of the tables is in force.
struct rollout
{
    std::uint64_t version = 0;
    bool complete = false; // in force on every entry that holds a lease
    std::vector<entry_status> entries;
};

struct apply_outcome
{
    std::uint64_t version = 0;
    std::vector<table_change> changes;
};

struct cluster_status
{
    std::vector<entry_status> entries;
    std::vector<announcement> upstreams;
    std::vector<std::string> quarantined;
    std::vector<placement::pool_usage> pools;
    std::vector<placement::workspace_usage> workspaces;
    std::size_t waitingJobs = 0;
    std::size_t runningJobs = 0;
};

// The leader's controllers: configuration, membership, jobs and intents, over the replicated
// ledger. Deterministic; all calls belong to one thread and completions may run during the call.
class coordinator
{
public:
    template <typename Value>
    using completion = std::function<void(result<Value>)>;

    // Makes the scheduler of a term. Each term needs a fresh one.
    using scheduler_factory = std::function<std::unique_ptr<placement::scheduler>(
            const placement::scheduler_options &)>;

    // Uses placement::scheduler::create(). The ledger and the log must outlive the coordinator.
    static std::unique_ptr<coordinator> create(const coordinator_options &options, ledger &state,
                                               proposer &log);
    static std::unique_ptr<coordinator> create(const coordinator_options &options, ledger &state,
                                               proposer &log, scheduler_factory schedulers);

    virtual ~coordinator() = default;

    // Starts as leader of a term: soft state is empty and no job is placed until one announcement
    // period has passed. The ledger holds all entries committed before.
    virtual void becomeLeader(time_point now, wall_ms wall, std::uint64_t term) = 0;

    // Ends leadership: held calls get NotLeader.
    virtual void loseLeadership(time_point now) = 0;

    // Expires leases and runs placement; call about every 20 ms.
    virtual void tick(time_point now, wall_ms wall) = 0;

    // Answers an entry when there is news or its wait has passed. An entry
    // - counts the lease from the moment it sent the request, and drops late answers;
    // - applies the tables of an answer before it uses the answer's lease;
    // - sends all announcements and task reports again when the view's epoch changes, and an
    //   announcement whenever its view lacks that incarnation of the upstream;
    // - replaces its view on fullView only: a new leader's first answers add to the earlier view;
    // - acknowledges a departure once its view shows the upstream as leaving;
    // - replaces all shares by a list that is not empty, keeps them when the list is empty, and
    //   drops them when its lease ends.
    virtual void sync(time_point now, const sync_request &request,
                      std::function<void(sync_response)> done)
            = 0;

    virtual void submitJob(time_point now, const std::string &key, const job_spec &spec,
                           completion<job_id> done)
            = 0;
    virtual void cancelJob(time_point now, job_id id, completion<std::monostate> done) = 0;
    virtual void recordIntent(time_point now, const intent_request &request,
                              completion<intent_reply> done)
            = 0;
    virtual void recordOutcome(time_point now, const outcome_record &record,
                               completion<std::monostate> done)
            = 0;

    // Replaces the tables if their version is still the expected one. A repeated change id gets its
    // first answer. Fails with VersionConflict (detail: the current version) or
    // GuaranteeUnbindable.
    virtual void applyTables(time_point now, const tables &next, std::uint64_t expectedVersion,
                             const std::string &changeId, bool dryRun,
                             completion<apply_outcome> done)
            = 0;

    // Shows where the current tables are in force.
    virtual rollout currentRollout(time_point now) const = 0;

    // Asks an entry to shut down gracefully. Fails with NotFound.
    virtual status drainEntry(const std::string &entryId) = 0;

    virtual cluster_status currentStatus(time_point now) const = 0;
};

} // namespace persimmon::control
