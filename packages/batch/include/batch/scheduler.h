#pragma once

#include "base/clock.h"
#include "batch/advice.h"
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
    milliseconds untilContact {0}; // expected time until orders can be sent
    int penalty = 0; // 0: sound; higher values are used last
    bool trusted = true; // false: no task on its last attempt
    bool open = true; // false: takes no new task
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
    const advice_book *advice = nullptr;
    time_point now {};
    std::int64_t wallMs = 0;
    std::int64_t checkpointMs = 1000; // work between two checkpoints
};

// Why tasks that may start have no place.
enum class wait_cause : std::uint8_t {
    NoRoom, // all suitable workers are in use
    Preempting, // room is being made by stopping others
    NoAdvice, // the advice service has not allowed a worker yet
};

std::string_view toName(wait_cause cause);

struct unit_wait
{
    task_id first;
    wait_cause cause = wait_cause::NoRoom;
};

// Workers that the advice service should be asked about.
struct advice_want
{
    step_key step;
    std::vector<std::string> workers;
};

struct schedule_output
{
    std::vector<assignment> starts;
    std::vector<assignment> preemptions; // to be stopped
    std::size_t waiting = 0; // units without a place
    std::vector<unit_wait> waits;
    std::vector<advice_want> advice;
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
    // Room kept for a unit of priority 0 while the runs in its way are being stopped.
    struct claim
    {
        std::map<std::string, amount> room;
        time_point made {};
    };

    class pass;

    void dropClaims(const schedule_input &input);

    std::map<task_id, claim> claims_;
};

} // namespace persimmon::batch
