#pragma once

#include "base/clock.h"
#include "batch/advice.h"
#include "batch/discarded_work.h"
#include "batch/interference.h"
#include "batch/ledger.h"
#include "batch/stall_watch.h"
#include "batch/urgent_reserve.h"
#include "batch/worker.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace persimmon::batch {

// A worker as seen by the scheduler.
struct worker_view
{
    const worker_report *report = nullptr; // newest report; must outlive the view
    amount residual; // taken by runs that have ended in the ledger but not yet on the worker
    // Expected time until the next heartbeat. Orders are sent with the answer to it.
    milliseconds untilHeartbeat {0};
    int penalty = 0; // 0: no recent failures; workers with higher values are used last
    bool trusted = true; // false: gets no task on its last attempt
    bool proven = false; // a run has succeeded there a moment ago and none has failed since
    bool schedulable = true; // false: gets no new tasks
    bool evacuated = false; // not schedulable, because its availability zone is evacuated
    bool cold = false; // slow, because it has started a moment ago
    bool quarantined = false; // gets new tasks only if nothing else is left for them
};

// Progress of a run, as last reported by its worker.
struct run_progress
{
    time_point started {}; // when this leader first received a report of the run
    std::uint32_t percent = 0;
    time_point saved {}; // when this leader received the newest checkpoint, or `started`

    work_times times() const { return {started, saved}; }
};

// Returns the progress of a run, or nothing if its worker hasn't reported it.
using progress_function = std::function<std::optional<run_progress>(const assignment &)>;

struct schedule_input
{
    const ledger *state = nullptr;
    std::vector<worker_view> workers; // ordered by id
    progress_function progress;
    const stall_watch *stalls = nullptr; // stalled jobs; nullptr: none are known
    const interference_model *interference = nullptr; // nullptr: no task slows another one down
    const std::set<std::pair<task_id, std::uint32_t>> *stopping = nullptr; // runs being stopped
    const advice_cache *advice = nullptr;
    time_point now {};
    std::int64_t wallMs = 0;
    std::int64_t checkpointMs = 1000; // work between two checkpoints
    std::set<std::string> explain; // jobs for whose waits the cause is wanted
};

// Why tasks that are ready to start have no worker.
enum class wait_cause : std::uint8_t {
    NoRoom, // no suitable worker has enough free resources
    Preempting, // waits for preempted runs to stop
    NoAdvice, // the advice service has not allowed a worker yet
    Suspected, // may have crashed its worker and is started apart from other suspects
    KeptRoom, // the room that is left is kept for urgent work or for gangs
    FailedThere, // room is left only where it has failed, or on its last attempt others have
    KeptApart, // room is left only beside tasks that may crash their workers
    Quarantined, // room is left only on workers in quarantine
    OneRack, // room is left only in several racks
    Skipped, // there is room, but the unit was passed over for one with a smaller need
    Evacuated, // room is left only in evacuated availability zones
};

std::string_view toName(wait_cause cause);

struct unit_wait
{
    task_id first;
    wait_cause cause = wait_cause::NoRoom;
};

// Workers for which advice on a step should be requested.
struct advice_request
{
    step_key step;
    std::vector<std::string> workers;
};

// Why a stalled job has no worker.
struct stall_cause
{
    task_id first;
    wait_cause cause = wait_cause::NoRoom;
    std::int64_t room = 0; // tasks of this size that fit beside all that runs
    std::int64_t inUsePercent = 0; // of the pool, by the resource that is used most
};

// A run that is stopped so that other work can start.
struct preemption
{
    assignment run;
    task_id beneficiary; // first task of the unit that starts in its place
    double lostCoreSeconds = 0; // work that has to be done again
};

struct schedule_output
{
    std::vector<assignment> starts;
    std::vector<preemption> preemptions;
    std::size_t waiting = 0; // units that were not placed completely
    std::size_t urgentWaiting = 0; // of them, units of priority 0
    std::vector<unit_wait> waits;
    std::vector<advice_request> advice;
    std::vector<stall_cause> stallCauses; // of the jobs that were asked for
};

// Decides which tasks start on which workers and which runs are preempted for them. The decisions
// depend only on the input and on the claims of earlier passes.
class scheduler
{
public:
    schedule_output plan(const schedule_input &input);

    // Returns the causes of the waits that a plan for this input would leave, of the jobs that the
    // input asks for. Changes nothing.
    std::vector<stall_cause> explain(const schedule_input &input) const;

    // Forgets all earlier passes. Called when a term begins.
    void reset() { memory_ = {}; }

private:
    // Resources reserved for a unit of priority 0 while the runs that occupy them are being
    // stopped.
    struct claim
    {
        std::map<std::string, amount> resources;
        time_point createdAt {};
    };

    // Attempts of a kind, limited in each pass. Units for which one has failed are passed over
    // until all others were tried.
    class attempts
    {
    public:
        // Counts an attempt, or returns false if the unit has to wait for its turn.
        bool mayTry(const task_id &unit, std::size_t limit);
        void recordFailure(const task_id &unit) { failed_.insert(unit); }
        void endPass();

    private:
        std::set<task_id> failed_;
        std::size_t made_ = 0; // in this pass
        bool deferred_ = false; // a unit was not tried because of the limit
    };

    // What a pass needs to know of those before it.
    struct memory
    {
        std::map<task_id, claim> claims;
        std::map<std::string, urgent_reserve> reserves; // by pool
        std::map<task_id, time_point> waiting; // units without a place, and since when
        attempts preemptions;
        attempts stallAttempts;
    };

    class pass;

    void dropClaims(const schedule_input &input);

    memory memory_;
};

} // namespace persimmon::batch
