#pragma once

#include "estimator.h"
#include "state.h"
#include "wait_queue.h"

#include <optional>

namespace persimmon::placement::detail {

// Most full searches of one step; the rest of a pass continues with the next event. Bounds the cost
// of a step after a burst or the loss of a rack.
constexpr std::uint32_t maxSearches = 4;
// Most job_waits actions of one step beyond the one of a submitted job.
constexpr std::uint32_t maxReports = 32;
// Reservations of one pool at a time. More would idle too many workers.
constexpr std::size_t maxReservations = 2;
// Reservation delays after which a reserved gang preempts what still runs on its workers.
constexpr std::int64_t overdueDelays = 10;
// Pause after a failed attempt to make a reservation, which visits all workers of the pool.
constexpr milliseconds reservationPause {10000};
// A job that fits in one worker gets a reservation after this many reservation delays.
constexpr std::int64_t smallJobDelays = 4;
// Time without a new worker after which jobs that waited without workers are judged.
constexpr milliseconds settleTime {3000};

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
    // Why a job does not start.
    struct refusal
    {
        wait_reason reason = wait_reason::NoFreeBlock;
        job_id behind {};
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
    void settle();

    // Life of a job (jobs.cc)
    void admit(index_t job);
    bool neverRuns(index_t job);
    void judgeWaiting(index_t pool);
    void enqueue(index_t job);
    void requeue(index_t job);
    void start(index_t job, std::string_view reason);
    void finish(index_t job, result_code code, std::string detail);
    void retry(index_t job, const attempt_ended &input);
    void giveBack(index_t job);
    void abandonClaim(index_t job);

    // Choice of the next job (dispatch.cc)
    void dispatch(index_t pool);
    void dispatchInOrder(index_t pool);
    bool runPass(index_t pool);
    bool tryWorkspace(index_t pool, const candidate &next);
    bool tryGroup(index_t group);
    bool passOver(index_t group);
    bool knownToFail(job_kind &kind, const pool_entry &pool, bool urgent) const;
    void rememberFailure(index_t job, const refusal &why);
    std::optional<refusal> tryStart(index_t job, bool search);
    std::optional<refusal> startOutside(index_t job, bool search);
    bool findIn(view kind, index_t job, std::vector<index_t> &found);
    refusal explain(index_t job);
    bool overQuota(index_t job) const;
    double scoreOf(index_t group) const;
    std::int64_t shareOf(index_t workspace) const;
    void place(index_t job, hold kind, std::vector<task_place> places, std::string_view reason);
    void setReason(index_t group, const refusal &why);
    void report(index_t job, const refusal &why);
    void flushReports();

    // Reclaim and preemption (claims.cc)
    bool findOwned(index_t job, bool physical, std::vector<task_place> &places) const;
    std::uint32_t ownedSlots(const job_entry &job, const cell &block, bool physical) const;
    bool takeFromCell(const job_entry &job, const cell &block, bool physical, std::uint32_t tasks,
                      std::vector<task_place> &places) const;
    bool physicallyFree(const job_entry &job, const std::vector<task_place> &places) const;
    void claim(index_t job, hold kind, std::vector<task_place> places);
    bool claimUrgent(index_t job);
    void preemptOn(index_t worker, index_t forJob, bool urgentToo);
    index_t chooseVictim(index_t worker, bool urgentToo) const;
    void preempt(index_t job, index_t forJob);
    void completeClaims(index_t worker);
    bool claimReady(index_t job, index_t worker) const;

    // Guarantees (guarantees.cc)
    void applyGuarantees(const tables_changed &input);
    void matchCells(index_t workspace, index_t pool, const shape &block, std::uint32_t count);
    void bindCells(index_t pool);
    void bindAnew(index_t pool);
    void makeRoom(index_t pool);
    void unbindIdle(index_t pool);
    bool bindCell(index_t cell);
    void bindInOrder(index_t pool, bool largestFirst);
    bool cellIdle(index_t cell) const;
    bool cellPreemptible(index_t cell) const;
    void dropCell(index_t cell);
    void dropCellsOf(index_t worker);
    void adopt(index_t pool);
    void adoptLater(index_t job);
    bool adoptInto(index_t job, index_t cell);
    bool coverJob(index_t job, index_t cell, std::vector<index_t> &rows) const;

    // Reservations (reservations.cc)
    std::int64_t reservationDelay() const;
    void updateReservations(index_t pool);
    bool reservationHolds(const reservation &held) const;
    void dropReservation(index_t pool, std::size_t position);
    void dropReservationsOf(index_t job);
    index_t nextForReservation(index_t pool) const;
    bool reserve(index_t pool, index_t job);
    bool findEarliest(index_t job, bool borrowing, std::vector<index_t> &found) const;
    time_point expectedIdle(index_t worker) const;
    time_point expectedReady(const reservation &held) const;
    void startReserved(index_t pool);
    bool reservedFree(const reservation &held) const;
    void stopBackfill(const reservation &held);
    bool backfill(index_t job);
    void measureReserved(index_t pool);
    bool mayBackfill(const job_group &group, const job_kind &kind) const;

    // Failing workers (quarantine.cc)
    void recordFailure(index_t job, index_t worker);
    void recordSuccess(const job_entry &job);
    void quarantine(index_t worker);
    void forgetFailures(index_t job);
    void updateQuarantine();
    void makeUnhealthy(index_t worker);
    void readmit(index_t worker);

    scheduler_options options_;
    cluster state_;
    wait_queue queue_;
    run_time_estimator estimator_;
    time_point now_ {};
    std::vector<action> actions_;
    std::uint32_t searches_ = 0; // left in this step
    std::uint64_t claims_ = 0; // made so far
    amount reservedRoom_; // of the pool in the current pass
    time_point reservedUntil_ {};
    std::deque<index_t> unreported_; // groups whose members have not all been told the reason
    std::vector<index_t> suspects_; // workers in quarantine or on probation
    std::vector<std::vector<index_t>> adopted_; // by pool: restored jobs without a decided hold
    std::vector<index_t> found_; // scratch of searches
};

} // namespace persimmon::placement::detail
