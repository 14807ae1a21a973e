#pragma once

#include "base/clock.h"
#include "batch/ledger.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace persimmon::batch {

// What the scheduler knows of a worker.
struct worker_view
{
    std::string id;
    std::int64_t born = 0;
    std::string pool;
    std::string rack;
    std::vector<std::string> labels;
    amount capacity;
    int penalty = 0; // 0: sound; higher values are used last
    bool trusted = true; // false: no task on its last attempt
    bool open = true; // false: takes no new task; its runs may still be preempted
};

// Progress of a run as its worker last reported it.
struct run_progress
{
    time_point started {}; // when this leader first saw the run
    std::uint32_t percent = 0;
};

struct schedule_input
{
    const ledger *state = nullptr;
    std::vector<worker_view> workers;
    const std::map<task_id, run_progress> *progress = nullptr;
    const std::set<std::pair<task_id, std::uint32_t>> *stopping = nullptr; // ordered to stop
    time_point now {};
    std::int64_t wallMs = 0;
    std::int64_t checkpointMs = 1000; // work between two checkpoints
};

struct schedule_output
{
    std::vector<assignment> starts;
    std::vector<assignment> preemptions; // to be stopped
    std::size_t waiting = 0; // units without a place
};

// Chooses what starts where and what is stopped for it. Decisions depend on the input and on the
// reservations of earlier passes only.
class scheduler
{
public:
    schedule_output plan(const schedule_input &input);

    // Forgets all reservations, for a new leader.
    void reset() { claims_.clear(); }

private:
    // Tasks that are placed together: a gang, or one task.
    struct unit
    {
        const job_record *job = nullptr;
        task_id first; // index of the gang: 0
        std::vector<std::uint32_t> indexes;
        const step_spec *spec = nullptr;
        std::int64_t latestStartMs = 0;
        bool hopeless = false;
    };

    // Room kept for a unit of priority 0 while the runs in its way are being stopped.
    struct claim
    {
        std::map<std::string, amount> room;
        time_point made {};
    };

    struct slot
    {
        std::size_t worker = 0;
        std::uint32_t index = 0;
    };

    struct victim
    {
        std::vector<assignment> runs; // a whole gang, or one run
        amount need; // of one run
        double cost = 0;
        bool checkpointable = false;
    };

    struct pass;

    static std::vector<unit> collectUnits(const schedule_input &input);
    static void addUnits(const job_record &job, const schedule_input &input,
                         std::vector<unit> &units);
    static std::vector<victim> collectVictims(const pass &state);

    std::optional<std::vector<slot>> place(const pass &state, const unit &item) const;
    static std::optional<std::vector<slot>> fill(const pass &state, const unit &item,
                                                 const std::vector<std::size_t> &candidates);
    static bool usable(const pass &state, const unit &item, std::size_t worker);
    void start(pass &state, const unit &item, const std::vector<slot> &slots);
    bool preempt(pass &state, const unit &item);
    void reserveRack(pass &state, const unit &item) const;
    void dropClaims(const schedule_input &input);

    std::map<task_id, claim> claims_;
};

} // namespace persimmon::batch
