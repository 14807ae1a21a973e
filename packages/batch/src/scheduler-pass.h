#pragma once

#include "units.h"

#include <unordered_map>

namespace persimmon::batch {

// One scheduling pass.
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

    // A run, or all runs of a gang, that may be stopped for work of priority 0.
    struct victim
    {
        std::vector<assignment> runs;
        amount need; // of one run
        double cost = 0; // core seconds of work that is lost
        const std::string *borrower = nullptr; // tenant of urgent work; nullptr: not urgent
        bool lasting = false; // runs until its job is cancelled
        bool taken = false;
    };

    // One more task of a unit on a worker, once more victims have been stopped there.
    struct offer
    {
        std::size_t worker = 0;
        double cost = 0;
        std::vector<std::size_t> victims;
    };

    // A need that found no place; whatever needs at least as much finds none either.
    struct misfit
    {
        const std::string *pool = nullptr;
        amount need;
        std::size_t count = 0;
        bool oneRack = false;
    };

    // scheduler-pass.cc
    void consider(const unit &item);
    std::vector<slot> place(const unit &item) const;
    std::vector<slot> placeInRack(const unit &item, bool &possible) const;
    std::vector<std::size_t> candidates(const unit &item,
                                        const std::vector<std::size_t> &from) const;
    std::vector<slot> fill(const unit &item, const std::vector<std::size_t> &from) const;
    std::int64_t contactRank(const unit &item, std::size_t worker) const;
    bool usable(const unit &item, std::size_t worker) const;
    bool dominated(const unit &item) const;
    void noteMisfit(const unit &item);
    bool hasTicket(const unit &item, std::size_t worker) const;
    void wantAdvice(const unit &item);
    void start(const unit &item, const std::vector<slot> &slots);
    void reserveRack(const unit &item);
    void apply(const claim &item, int sign);

    // preemption.cc
    void collectVictims();
    bool preempt(const unit &item);
    bool mayStop(const unit &item, const victim &candidate) const;
    double lostSeconds(const task_id &task, const step_spec &spec) const;
    bool isAtWork(const task_id &task) const;
    std::vector<offer> offersOf(const unit &item, std::size_t worker) const;
    std::vector<offer> cheapest(const unit &item, const std::vector<std::size_t> &from) const;

    const schedule_input &input_;
    std::map<task_id, claim> &claims_;
    std::map<std::string, detail::urgent_use> uses_; // by tenant
    std::vector<amount> available_; // by worker; negative where room is claimed but not yet free
    std::vector<amount> leaving_; // room of runs that are being stopped
    std::vector<std::map<std::pair<std::string, std::uint32_t>, std::uint32_t>>
            perStep_; // by worker: tasks of (job and occurrence, step)
    std::unordered_map<std::string, std::size_t> byId_;
    std::map<std::string, std::vector<std::size_t>> racks_;
    std::vector<std::size_t> all_;
    std::set<std::string> reservedRacks_;
    std::vector<misfit> misfits_;
    std::vector<victim> victims_;
    std::vector<std::vector<std::size_t>> victimsOn_; // by worker
    bool victimsReady_ = false;
    std::size_t preemptions_ = 0;
    schedule_output output_;
};

} // namespace persimmon::batch
