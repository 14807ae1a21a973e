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

// Proposes commands to the replicated log. The program implements it over consensus::node; tests
// use stubs.
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

// State of one entry according to the leader.
struct entry_status
{
    std::string id;
    std::string address;
    location place;
    std::uint64_t appliedVersion = 0;
    milliseconds leaseLeft {0}; // zero: lease expired, the entry does not serve
    bool stopping = false;
};

// Progress of the roll-out of a committed version of the tables.
struct rollout
{
    std::uint64_t version = 0;
    bool complete = false; // applied by every entry that holds a lease
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

// Runs the leader's controllers for configuration, membership, jobs and intents on the replicated
// ledger. Deterministic. All calls must come from one thread; completions may run during a call.
class coordinator
{
public:
    template <typename Value>
    using completion = std::function<void(result<Value>)>;

    // Creates the scheduler of a term. Each term uses a new one.
    using scheduler_factory = std::function<std::unique_ptr<placement::scheduler>(
            const placement::scheduler_options &)>;

    // The first overload uses placement::scheduler::create(). The ledger and the log must outlive
    // the coordinator.
    static std::unique_ptr<coordinator> create(const coordinator_options &options, ledger &state,
                                               proposer &log);
    static std::unique_ptr<coordinator> create(const coordinator_options &options, ledger &state,
                                               proposer &log, scheduler_factory schedulers);

    virtual ~coordinator() = default;

    // Starts leadership of a term. The soft state is empty, and no job is placed until one
    // announcement period has passed. The ledger must have applied all entries of earlier terms.
    virtual void becomeLeader(time_point now, wall_ms wall, std::uint64_t term) = 0;

    // Ends leadership. Pending calls fail with NotLeader.
    virtual void loseLeadership(time_point now) = 0;

    // Expires leases and runs placement. To be called about every 20 ms.
    virtual void tick(time_point now, wall_ms wall) = 0;

    // Responds to an entry when its state is out of date or its wait time has passed. An entry
    // - counts the lease from the time at which it sent the request, and discards late responses;
    // - applies the tables of a response before it uses the lease of the response;
    // - sends all announcements and task reports again when the epoch of the view changes, and an
    //   announcement whenever its view lacks that incarnation of the upstream;
    // - replaces its view on fullView only, because the first responses of a new leader extend the
    //   earlier view;
    // - acknowledges a departure once its view shows the upstream as leaving;
    // - replaces all shares if the response lists any, keeps them if it lists none, and drops them
    //   when its lease expires.
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

    // Replaces the tables if their version is still the expected one. A repeated change id returns
    // the first answer again. Fails with VersionConflict (detail: the current version),
    // InvalidTable or GuaranteeUnbindable.
    virtual void applyTables(time_point now, const tables &next, std::uint64_t expectedVersion,
                             const std::string &changeId, bool dryRun,
                             completion<apply_outcome> done)
            = 0;

    // Returns the progress of the roll-out of the current tables.
    virtual rollout currentRollout(time_point now) const = 0;

    // Asks an entry to shut down gracefully. Fails with NotFound.
    virtual status drainEntry(const std::string &entryId) = 0;

    virtual cluster_status currentStatus(time_point now) const = 0;
};

} // namespace persimmon::control
