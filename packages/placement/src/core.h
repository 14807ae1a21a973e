#pragma once

#include "estimator.h"
#include "state.h"
#include "wait_queue.h"

#include <optional>

namespace persimmon::placement::detail {

// Limit of full capacity searches per step; the pass continues with the next event. Bounds the cost
// of a step after a burst of jobs or the loss of a rack.
constexpr std::uint32_t maxSearchesPerStep = 4;
// Limit of job_waits actions per step, not counting the one of a newly submitted job.
constexpr std::uint32_t maxReportsPerStep = 32;
// Limit of concurrent reservations per pool. More would leave too many workers idle.
constexpr std::size_t maxReservations = 2;
// Age of a reservation, in reservation delays, at which its gang preempts the preemptible jobs that
// still run on its workers.
constexpr std::int64_t overdueDelays = 10;
// Delay before the next attempt to make a reservation after one has failed, since each attempt
// visits all workers of the pool.
constexpr milliseconds reservationRetryDelay {10000};
// Waiting time, in reservation delays, after which a job other than a large gang gets a
// reservation.
constexpr std::int64_t smallJobDelays = 4;
// Time without a new worker after which waiting jobs that no worker can hold are rejected.
constexpr milliseconds joinQuietPeriod {3000};

class core final : public scheduler
{
public:
    explicit core(const scheduler_options &options);

    std::vector<action> step(time_point now, const event &input) override;
    status validate(std::span<const pool> pools,
                    std::span<const workspace> workspaces) const override;
    std::vector<pool_usage> poolUsage() const override;
    std::vector<workspace_usage> workspaceUsage() const override;
    std::size_t stateBytes() const override;

    const cluster &state() const { return state_; }

private:
    // Why a job waits.
    struct wait_cause
    {
        wait_reason reason = wait_reason::NoFreeBlock;
        job_id blockedBy {};
    };
    struct candidate
    {
        bool urgent = false;
        std::int64_t share = 0;
        index_t workspace = noIndex;
    };

    // Events (core.cc)
    void handle(const worker_joined &input);
    void handle(const worker_left &input);
    void handle(const worker_leaving &input);
    void handle(const tables_changed &input);
    void handle(const job_submitted &input);
    void handle(const job_restored &input);
    void handle(const job_cancelled &input);
    void handle(const attempt_ended &input);
    void handle(const clock_ticked &input);
    void dispatchPending();

    // Job life cycle (jobs.cc)
    void admit(index_t job);
    bool rejectIfInfeasible(index_t job);
    void rejectInfeasibleJobs(index_t pool);
    void enqueue(index_t job);
    void requeue(index_t job);
    void start(index_t job, std::string_view reason);
    void finish(index_t job, result_code code, std::string detail);
    void retry(index_t job, const attempt_ended &input);
    void releaseResources(index_t job);
    void abandonClaim(index_t job);

    // Selection of the next job (dispatch.cc)
    void dispatch(index_t pool);
    void dispatchInOrder(index_t pool);
    bool runPass(index_t pool);
    bool tryWorkspace(index_t pool, const candidate &next);
    bool tryGroup(index_t group);
    bool canSkip(index_t group);
    bool searchWouldFail(job_kind &kind, const pool_entry &pool, bool urgent) const;
    void recordFailedSearch(index_t job, const wait_cause &cause);
    std::optional<wait_cause> tryStart(index_t job, bool search);
    std::optional<wait_cause> startOutsideCells(index_t job, bool search);
    bool findInView(view kind, index_t job, std::vector<index_t> &found);
    wait_cause findWaitReason(index_t job);
    bool overQuota(index_t job) const;
    double scoreOf(index_t group) const;
    std::int64_t shareOf(index_t workspace) const;
    void place(index_t job, allocation_kind kind, std::vector<task_place> places,
               std::string_view reason);
    void setReason(index_t group, const wait_cause &cause);
    void report(index_t job, const wait_cause &cause);
    void flushReports();

    // Reclaim and preemption (claims.cc)
    bool findInOwnCells(index_t job, bool freeOnly, std::vector<task_place> &places) const;
    std::uint32_t slotsInCell(const job_entry &job, const cell &block, bool freeOnly) const;
    bool placeInCell(const job_entry &job, const cell &block, bool freeOnly, std::uint32_t tasks,
                     std::vector<task_place> &places) const;
    bool fitsFreeCapacity(const job_entry &job, const std::vector<task_place> &places) const;
    void claim(index_t job, allocation_kind kind, std::vector<task_place> places);
    bool claimUrgent(index_t job);
    void preemptOn(index_t worker, index_t forJob, bool includeUrgent);
    index_t chooseVictim(index_t worker, bool includeUrgent) const;
    void preempt(index_t job, index_t forJob);
    void completeClaims(index_t worker);
    bool claimReady(index_t job, index_t worker) const;

    // Guarantees (guarantees.cc)
    void applyGuarantees(const tables_changed &input);
    void matchCells(index_t workspace, index_t pool, const shape &block, std::uint32_t count);
    void bindCells(index_t pool);
    void rebindIdleCells(index_t pool);
    void rebindPreemptibleCells(index_t pool);
    void unbindIdle(index_t pool);
    bool bindCell(index_t cell);
    void bindInOrder(index_t pool, bool largestFirst);
    bool cellIdle(index_t cell) const;
    bool cellPreemptible(index_t cell) const;
    void dropCell(index_t cell);
    void dropCellsOf(index_t worker);
    void processAdoptions(index_t pool);
    void queueAdoption(index_t job);
    bool moveIntoCells(index_t job, index_t cell);
    bool chooseCellWorkers(index_t job, index_t cell, std::vector<index_t> &rows) const;

    // Reservations (reservations.cc)
    std::int64_t reservationDelay() const;
    void updateReservations(index_t pool);
    bool reservationFeasible(const reservation &held) const;
    void dropReservation(index_t pool, std::size_t position);
    void dropReservationsOf(index_t job);
    index_t nextForReservation(index_t pool) const;
    bool reserve(index_t pool, index_t job);
    bool findEarliestWorkers(index_t job, bool borrowing, std::vector<index_t> &found) const;
    time_point expectedIdle(index_t worker) const;
    time_point estimateStart(const reservation &held) const;
    void startReserved(index_t pool);
    bool reservedWorkersFree(const reservation &held) const;
    void preemptForReservation(const reservation &held);
    bool backfill(index_t job);
    void updateBackfillBounds(index_t pool);
    bool mayBackfill(const job_group &group, const job_kind &kind) const;

    // Failing workers (quarantine.cc)
    void recordFailure(index_t job, index_t worker);
    void recordSuccess(const job_entry &job);
    void quarantine(index_t worker);
    void clearFailures(index_t job);
    void updateQuarantine();
    void withdrawWorker(index_t worker);
    void readmit(index_t worker);

    scheduler_options options_;
    cluster state_;
    wait_queue queue_;
    run_time_estimator estimator_;
    time_point now_ {};
    std::vector<action> actions_;
    std::uint32_t searchesLeft_ = 0; // in this step
    std::uint64_t lastClaim_ = 0; // sequence number of the latest claim
    amount largestReservedCapacity_; // in the pool of the current pass
    time_point latestReservedStart_ {};
    std::deque<index_t> groupsToReport_; // groups with members whose reason is unreported
    std::vector<index_t> suspects_; // quarantined and probing workers
    std::vector<std::vector<index_t>> pendingAdoptions_; // by pool: jobs with adoptionPending
    std::vector<index_t> found_; // scratch buffer for search results
};

} // namespace persimmon::placement::detail
