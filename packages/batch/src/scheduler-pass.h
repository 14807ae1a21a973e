#pragma once

#include "units.h"

#include <unordered_map>

namespace persimmon::batch {

// A single scheduling pass.
class scheduler::pass
{
public:
    pass(const schedule_input &input, std::map<task_id, claim> &claims);

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
        amount need; // of one run
        double cost = 0; // core seconds lost, plus a penalty for each stop
        const std::string *borrower = nullptr; // tenant of urgent work; nullptr: not urgent
        bool longRunning = false;
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

    // A need that could not be placed. Units that need at least as much are skipped in this pass.
    struct unplaceable_need
    {
        const std::string *pool = nullptr;
        amount need;
        std::size_t count = 0;
        bool inOneRack = false;
    };

    // scheduler-pass.cc
    void scheduleUnit(const unit &item);
    std::vector<slot> place(const unit &item) const;
    std::vector<slot> placeInRack(const unit &item, bool &possible) const;
    std::vector<std::size_t> candidates(const unit &item,
                                        const std::vector<std::size_t> &from) const;
    std::vector<slot> fillWorkers(const unit &item, const std::vector<std::size_t> &from) const;
    std::int64_t heartbeatRank(const unit &item, std::size_t worker) const;
    bool isEligible(const unit &item, std::size_t worker) const;
    bool isDominated(const unit &item) const;
    void recordUnplaceable(const unit &item);
    bool hasTicket(const unit &item, std::size_t worker) const;
    void requestAdvice(const unit &item);
    void start(const unit &item, const std::vector<slot> &slots);
    void reserveRack(const unit &item);
    void applyClaim(const claim &item, int sign);

    // preemption.cc
    void collectVictims();
    bool preempt(const unit &item);
    bool mayPreempt(const unit &item, const victim &candidate) const;
    double lostSeconds(const task_id &task, const step_spec &spec) const;
    bool isAvailable(const task_id &task) const;
    std::vector<placement_option> placementOptions(const unit &item, std::size_t worker) const;
    std::vector<placement_option> cheapestPlacement(const unit &item,
                                                    const std::vector<std::size_t> &from) const;

    const schedule_input &input_;
    std::map<task_id, claim> &claims_;
    std::map<std::string, detail::urgent_use> uses_; // by tenant
    std::vector<amount> available_; // by worker; negative if claimed resources are not free yet
    std::vector<amount> beingFreed_; // resources of runs that are being stopped, by worker
    std::vector<std::map<std::pair<std::string, std::uint32_t>, std::uint32_t>>
            perStep_; // by worker: tasks of (job and occurrence, step)
    std::unordered_map<std::string, std::size_t> workerIndexes_;
    std::map<std::string, std::vector<std::size_t>> racks_;
    std::vector<std::size_t> allWorkers_;
    std::set<std::string> reservedRacks_;
    std::vector<unplaceable_need> unplaceableNeeds_;
    std::vector<victim> victims_;
    std::vector<std::vector<std::size_t>> victimsOn_; // by worker
    bool victimsReady_ = false;
    std::size_t preemptions_ = 0;
    schedule_output output_;
};

} // namespace persimmon::batch
