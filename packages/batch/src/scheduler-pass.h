#pragma once

#include "neighbours.h"
#include "stop_cost.h"
#include "units.h"

#include <unordered_map>

namespace persimmon::batch {

// A single scheduling pass.
class scheduler::pass
{
public:
    pass(const schedule_input &input, memory &earlier);

    schedule_output run();

private:
    using unit = detail::unit;

    struct slot
    {
        std::size_t worker = 0;
        std::uint32_t index = 0;
    };

    // A run, or all runs of a gang, that may be preempted for work of priority 0.
    struct victim
    {
        std::vector<assignment> runs;
        std::vector<double> lostCoreSeconds; // of each run, if it is stopped
        amount need; // of one run
        double cost = 0; // core seconds lost, plus a penalty for each stop
        const std::string *borrower = nullptr; // tenant of urgent work; nullptr: not urgent
        bool longRunning = false;
        bool worthless = false; // too late to have value
        bool selected = false;
    };

    // Option of placing one more task of a unit on a worker, after preempting further victims
    // there.
    struct placement_option
    {
        std::size_t worker = 0;
        double cost = 0;
        std::vector<std::size_t> victims;
    };

    // Which of the workers that are held back a unit may use.
    struct worker_access
    {
        bool idleWorkers = false; // kept for urgent work
        bool reservedRacks = false; // kept for gangs
        bool quarantined = false;

        bool covers(const worker_access &other) const
        {
            return idleWorkers >= other.idleWorkers && reservedRacks >= other.reservedRacks
                    && quarantined >= other.quarantined;
        }
    };

    // A need that could not be placed. Units that need at least as much and may use no more workers
    // are skipped in this pass.
    struct unplaceable_need
    {
        const std::string *pool = nullptr;
        amount need;
        std::size_t count = 0;
        bool inOneRack = false;
        worker_access access;
    };

    struct pool_use
    {
        amount capacity;
        amount available;
        std::size_t idle = 0; // schedulable workers without any task
        std::size_t reserved = 0; // idle workers that are kept for urgent work

        // Returns whether more than half of the processors and of the accelerators are in use.
        bool mostlyInUse() const
        {
            return available.cpu * 2 < capacity.cpu
                    && available.accelerators * 2 < capacity.accelerators;
        }
    };

    // scheduler-pass.cc
    void scheduleUnit(unit &item);
    bool mayTryPreemption(const unit &item);
    void countWaiting(const unit &item);
    bool hasWaited(const unit &item, milliseconds time) const;
    std::vector<slot> place(const unit &item) const;
    std::vector<slot> placeInRack(const unit &item, bool &possible) const;
    std::vector<std::size_t> candidates(const unit &item,
                                        const std::vector<std::size_t> &from) const;
    std::vector<slot> fillWorkers(const unit &item, const std::vector<std::size_t> &from) const;
    void take(std::size_t worker, const amount &resources);
    std::int64_t heartbeatRank(const unit &item, std::size_t worker) const;
    std::int64_t neighbourRank(const unit &item, std::size_t worker) const;
    void collectNeighbours(std::size_t worker, const std::map<task_id, assignment> &runs);
    static bool suits(const unit &item, const worker_report &report);
    bool isEligible(const unit &item, std::size_t worker) const;
    void collectSuspects();
    bool hasWorkedForLong(const task_id &task) const;
    bool runsOtherJobs(std::size_t worker, std::string_view job) const;
    bool mayShare(const unit &item, std::size_t worker) const;
    std::size_t runCount(std::size_t worker) const;
    bool isDominated(const unit &item) const;
    void recordUnplaceable(const unit &item);
    bool isBanned(const unit &item, std::size_t worker) const;
    bool mayIgnoreFailures(const unit &item) const;
    bool hasTicket(const unit &item, std::size_t worker) const;
    void requestAdvice(const unit &item);
    void start(const unit &item, const std::vector<slot> &slots);
    void applyClaim(const claim &item, int sign);
    void recordStopping(const task_id &task, std::uint32_t run);
    std::uint32_t activeOn(std::size_t worker, const step_key &step) const;
    const worker_report &reportOf(std::size_t worker) const
    {
        return *input_.workers[worker].report;
    }

    // stalls.cc
    std::optional<std::uint32_t> overdueIndex(const unit &item) const;
    bool mustStart(const unit &item) const;
    bool startsLater(const unit &item) const;
    bool mayWaiveIsolation(const unit &item) const;
    std::vector<slot> placeStalled(const unit &item);
    void explain(const unit &item, wait_cause cause);
    wait_cause causeOf(const unit &item) const;
    bool fitsEvacuated(const unit &item) const;
    std::int64_t roomFor(const unit &item) const;
    bool hasRoomTwice(const unit &item) const;

    // reserve.cc
    void collectPools();
    bool isIdle(std::size_t worker) const;
    void countIdle(std::size_t worker, int change);
    bool takesWholeWorker(const unit &item, std::size_t worker) const;
    worker_access accessOf(const unit &item) const;
    bool isKeptForOthers(std::size_t worker) const;
    void keepReserve(const unit &item, std::vector<std::size_t> &from) const;
    std::int64_t tasksInEmpty(const unit &item, const std::vector<std::size_t> &workers) const;
    void reserveRack(const unit &item);

    // preemption.cc
    void collectVictims();
    bool preempt(const unit &item);
    double lostBy(const std::vector<placement_option> &options) const;
    static detail::stop_gain gainOf(const unit &item);
    bool someRackHolds(const unit &item) const;
    std::vector<placement_option> cheapestAnywhere(const unit &item) const;
    bool mayPreempt(const unit &item, const victim &candidate) const;
    double lostCoreSeconds(const assignment &run, const step_spec &spec) const;
    bool isAvailable(const task_id &task) const;
    std::vector<placement_option> placementOptions(const unit &item, std::size_t worker) const;
    std::vector<placement_option> cheapestPlacement(const unit &item,
                                                    const std::vector<std::size_t> &from) const;

    const schedule_input &input_;
    memory &memory_; // of the passes before
    std::map<task_id, time_point> waiting_; // units that wait in this pass, and since when
    std::map<task_id, claim> &claims_;
    std::map<std::string, urgent_reserve> &reserves_; // by pool
    std::map<std::string, detail::urgent_use> uses_; // by tenant
    std::vector<amount> available_; // by worker; negative if claimed resources are not free yet
    std::vector<amount> beingFreed_; // resources of runs that are being stopped, by worker
    std::map<std::pair<std::size_t, step_key>, std::uint32_t>
            startedOn_; // by worker and step with a limit for each worker: tasks started in this
                        // pass
    // Jobs of tasks under which a worker was lost before.
    struct suspects
    {
        std::set<std::string_view> jobs;
        bool isolated = false; // the worker takes nothing of other jobs
    };

    std::map<std::size_t, suspects> suspectsOn_; // by worker
    std::map<std::size_t, std::set<std::string_view>> startedJobs_; // by worker: in this pass
    std::set<std::string_view> resumedJobs_; // of which a task has started in this pass
    std::unordered_map<std::string_view, std::size_t> workerIndexes_;
    std::map<std::string_view, std::vector<std::size_t>> racks_;
    std::vector<std::size_t> allWorkers_;
    std::map<std::string_view, std::size_t> idleInRack_; // workers without any task
    std::map<std::string_view, pool_use> pools_;
    std::set<std::string_view> reservedRacks_;
    std::vector<bool> isReserved_; // by worker: in a reserved rack, and of use to its gang
    detail::neighbours neighbours_;
    std::vector<unplaceable_need> unplaceableNeeds_;
    std::vector<victim> victims_;
    std::vector<std::vector<std::size_t>> victimsOn_; // by worker
    std::vector<std::size_t> byVictimCost_; // workers, the cheapest to vacate first
    bool victimsReady_ = false;
    schedule_output output_;
};

} // namespace persimmon::batch
