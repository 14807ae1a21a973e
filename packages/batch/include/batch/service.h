#pragma once

#include "batch/controller.h"
#include "batch/order_permits.h"

#include <set>

namespace persimmon::batch {

// Origin of a request: the host and a path below the prefix of a queue, and the key that the caller
// presented.
struct caller
{
    std::string_view host;
    std::string_view path;
    std::string_view key;
};

// Handles requests for jobs, configuration and upkeep waves on the leader. All answers are based on
// committed state.
class service
{
public:
    template <typename Value>
    using callback = std::function<void(result<Value>)>;

    service(const ledger &state, controller &workers, propose_function propose);

    // Accepts a job under the id that follows the queue's prefix in the caller's path. Submitting
    // the same id again succeeds without effect. Fails with NotReady before the first
    // configuration, NoRoute, UnknownWorkspace for an unknown key, InvalidValue, KeyReused if the
    // id names another job, Cancelled if the job was cancelled before it arrived, or OutcomeUnknown
    // if it isn't known whether the commit took effect.
    void submit(std::int64_t wallMs, const caller &from, job_spec spec,
                std::function<void(status)> done);

    // Returns the state of a job. Fails like submit(), or with NotFound.
    void find(const caller &from, callback<job_state> done);

    // Cancels a job. Has no effect on a job that has ended. Fails like find(); after NotFound, the
    // job is refused if its submission arrives later, for as long as ended jobs are kept. Also
    // fails with Overloaded if the tenant has cancelled too many jobs that aren't known.
    void cancel(std::int64_t wallMs, const caller &from, const std::function<void(status)> &done);

    // Returns the number of accepted jobs of the queue of which no run has begun on a worker. Fails
    // like submit().
    void countWaiting(const caller &from, const callback<std::size_t> &done);

    // Replaces the configuration. A version that is not newer than the current one is accepted
    // without effect. Fails with InvalidTable or OutcomeUnknown.
    void configure(configuration value, std::function<void(status)> done);

    // Returns the current configuration as submitted by the operator. Fails with NotReady or
    // Timeout.
    void readConfiguration(callback<std::string> done);

    // Plans a wave of upkeep. Submitting the same wave again succeeds without effect. Fails with
    // InvalidValue, KeyReused if the id names another wave, or OutcomeUnknown.
    void startWave(std::int64_t wallMs, wave value, std::function<void(status)> done);

    // Returns whether the upkeep of all machines of a wave has begun. Fails with NotFound, NotReady
    // or Timeout.
    void findWave(std::uint64_t id, callback<bool> done);

    // An availability zone: its use, and since when it is evacuated.
    struct zone_status
    {
        std::string name;
        controller::zone_use use;
        std::optional<evacuation> evacuated;
    };

    // A job, and why units of it wait for a worker.
    struct job_explanation
    {
        const job_record *job = nullptr;
        std::vector<stall_cause> waits;
    };

    // Sets the availability zones that exist. While none are set, any zone can be evacuated.
    void setZones(std::vector<std::string> zones) { zones_ = std::move(zones); }

    // Returns a permit to pass on an order for an availability zone. Fails with NotLeader.
    result<order_permit> permitOrder();

    // Fails with VersionConflict if another order for a zone was taken since a permit was issued.
    // An order that was passed on with it must be checked right before it is carried out.
    status checkPermit(const order_permit &permit, const std::string &zone);

    // Evacuates an availability zone: no task is started on its workers any more, and what runs
    // there goes on. Succeeds without effect if the zone is evacuated already. Fails with
    // InvalidValue if no such zone is configured and no worker has reported it, with NotReady
    // while not all workers were heard, with Overloaded if too many zones are evacuated, or with
    // OutcomeUnknown.
    void evacuateZone(std::int64_t wallMs, const std::string &zone,
                      std::function<void(status)> done);

    // Takes an availability zone back. Succeeds without effect if it isn't evacuated. Fails like
    // evacuateZone().
    void restoreZone(std::int64_t wallMs, const std::string &zone,
                     std::function<void(status)> done);

    // Returns the zones that are configured, reported by workers or evacuated, by name.
    std::vector<zone_status> zones() const;

    // Explains the state of a job. The job is valid until the next change of the ledger. Fails with
    // NotFound.
    result<job_explanation> explain(const std::string &id) const;

private:
    struct route
    {
        const queue *matchedQueue = nullptr;
        std::string tenant;
        std::string id; // rest of the path; empty if the path names the queue itself

        job_address address() const { return {*matchedQueue, tenant, id}; }
    };

    result<route> resolve(const caller &from) const;
    const job_record *ownJob(const route &at) const;
    job_state shownState(const job_record &job) const;
    bool isCancelled(const job_address &job) const;
    bool mayRecordCancellation(const job_address &job) const;
    void cancelUnknown(std::int64_t wallMs, const route &at,
                       const std::function<void(status)> &done);
    void cancelKnown(std::int64_t wallMs, const job_record &job,
                     const std::function<void(status)> &done);
    void afterBarrier(std::function<void(status)> done);
    status checkZone(const std::string &zone) const;
    void setEvacuation(set_evacuation value, std::function<void(status)> done);

    const ledger &state_;
    controller &workers_;
    propose_function propose_;
    std::vector<std::string> zones_; // empty: not known
    order_permits permits_; // for orders for zones
    std::multiset<job_address> cancelling_; // unknown jobs whose cancellations are being committed
};

// Fails with InvalidTable if two queues share a host and a prefix or two tenants share a key.
status checkConfiguration(const configuration &value);

// Fails with InvalidValue if a job exceeds a limit, has no steps or tasks, or has a step that
// depends on itself or a later step.
status checkJob(const job_spec &spec);

// Checks that an id can be a part of the names of tasks. Fails with InvalidValue.
status checkJobId(std::string_view id);

} // namespace persimmon::batch
