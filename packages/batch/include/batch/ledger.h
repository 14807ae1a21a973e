#pragma once

#include "batch/cancellation.h"
#include "batch/evacuation.h"
#include "batch/model.h"
#include "consensus/state_machine.h"

#include <functional>
#include <map>
#include <set>
#include <variant>

namespace persimmon::batch {

// A run of a task on a worker, as ordered by a leader.
struct assignment
{
    task_id task;
    std::uint32_t run = 0;
    std::string worker;
    std::int64_t incarnation = 0; // incarnation of the worker

    friend bool operator==(const assignment &, const assignment &) = default;
};

// A run of a task, by its number.
using run_key = std::pair<task_id, std::uint32_t>;

struct run_end
{
    task_id task;
    std::uint32_t run = 0;
    end_kind kind = end_kind::Done;
    std::string checkpoint; // newest checkpoint, may be empty

    friend bool operator==(const run_end &, const run_end &) = default;
};

// What is known of a run whose worker was lost under it.
enum class run_loss : std::uint8_t {
    Suspected, // the worker is silent: it has crashed, or is only cut off
    Crashed, // the worker has started again
    Excused, // the worker was lost for another cause, or is not lost at all
};

struct lost_run
{
    task_id task;
    std::uint32_t run = 0;
    run_loss kind = run_loss::Suspected;
    bool alone = false; // no task of another job is blamed for the loss of the worker

    friend bool operator==(const lost_run &, const lost_run &) = default;
};

// Commands of the replicated ledger.
struct set_configuration
{
    configuration value;
};
struct accept_job
{
    std::string id;
    std::string tenant;
    queue source; // as configured when the job was accepted
    job_spec spec;
    std::int64_t wallMs = 0;
};
struct cancel_job
{
    std::string id;
    std::int64_t wallMs = 0;
};
struct start_runs
{
    std::vector<assignment> runs;
    std::int64_t wallMs = 0;
};
struct end_runs
{
    std::vector<run_end> ends;
    std::int64_t wallMs = 0;
};
// Removes jobs that ended, and cancellations that were recorded, before a point in time.
struct remove_ended_jobs
{
    std::int64_t endedBeforeMs = 0;
};
// Plans a wave of upkeep. Wave ids are not reused.
struct start_wave
{
    wave value;
    std::int64_t wallMs = 0;
};

// Phase of a machine in a wave. Ordered: its upkeep may have begun. Gone: the machine has left the
// platform.
enum class upkeep_phase : std::uint8_t { Waiting, Ordered, Down, Finished, Gone };

struct set_upkeep_phase
{
    std::uint64_t wave = 0;
    std::string machine;
    upkeep_phase phase = upkeep_phase::Waiting;
    std::int64_t incarnation = 0; // newest incarnation seen on the machine, 0: none
};

// Counts lost workers against the tasks that they ran. What is known of a run may be corrected by a
// later command; an excuse is final.
struct record_losses
{
    std::vector<lost_run> runs;
    std::int64_t wallMs = 0;
};

// Has no effect on the state. Serves as a barrier: once it is applied, the outcome of all earlier
// proposals is final.
struct no_op
{
};

using command = std::variant<no_op, set_configuration, accept_job, cancel_job, start_runs, end_runs,
                             remove_ended_jobs, start_wave, set_upkeep_phase, record_losses,
                             set_evacuation, record_cancellation>;

struct task_state
{
    bool done = false;
    bool active = false; // a run is ordered and its end is not committed yet
    std::uint32_t run = 0; // number of the newest run
    std::uint32_t failures = 0;
    std::string worker; // of the newest run
    std::int64_t incarnation = 0;
    std::string checkpoint;
    std::string failedOn; // worker of the newest failed run
};

struct step_state
{
    std::vector<task_state> tasks;
    std::uint32_t doneCount = 0;
    std::uint32_t activeCount = 0;
    std::uint32_t failedRuns = 0; // of a gang
    std::uint32_t lastFailedRun = 0;
    bool begun = false;

    bool done() const { return doneCount == tasks.size(); }
};

// The workers that were lost under a task.
struct loss_record
{
    struct entry
    {
        run_loss kind = run_loss::Suspected;
        bool alone = false;
        std::string worker {}; // empty: not known
        std::int64_t incarnation = 0; // of the worker
    };

    // By run number. Only the newest ones of those that are excused are kept.
    std::map<std::uint32_t, entry> runs;
    std::int64_t newestMs = 0; // when the newest loss was recorded, in Unix milliseconds

    // Returns the number of losses that aren't excused.
    std::uint32_t counted() const;

    // Returns whether the task is taken for the cause of the losses.
    bool isConclusive() const;
};

// Entry in the history of a job, kept to explain the job to operators.
struct job_event
{
    std::int64_t atMs = 0; // Unix milliseconds
    std::string kind; // accepted, started, ended, lost, closed
    std::string reason; // how a run or the job ended, otherwise "-"
    std::uint32_t run = 0;
    std::string detail; // task and worker
};

struct job_record
{
    std::string id;
    std::string tenant;
    queue source;
    job_spec spec;
    std::int64_t acceptedMs = 0;
    std::int64_t endedMs = 0; // 0: not ended
    job_state state = job_state::Queued;
    std::vector<std::vector<step_state>> occurrences; // [occurrence][step]
    std::vector<job_event> events; // the most recent ones, oldest first

    bool ended() const { return endedMs != 0; }

    // Returns whether the job was handed in by a tenant to a queue. Queues are told by their place,
    // because names may change. Who calls a public queue isn't known.
    bool belongsTo(const queue &at, std::string_view owner) const;

    // Returns whether the job was handed in as an address names it.
    bool isAt(const job_address &at) const;

    // Returns whether the job was handed in to a queue, by anyone.
    bool isOf(const queue &at) const;

    const step_state &stepOf(const task_id &task) const
    {
        return occurrences[task.occurrence][task.step];
    }
    const task_state &taskOf(const task_id &task) const { return stepOf(task).tasks[task.index]; }

    // Returns the estimated duration of the longest chain of dependent steps, in milliseconds.
    std::int64_t criticalPathMs() const;

    // Returns the time from acceptance to the objective, in milliseconds.
    std::int64_t objectiveMs() const;
};

struct wave_machine
{
    upkeep_phase phase = upkeep_phase::Waiting;
    std::int64_t incarnation
            = 0; // incarnation that the upkeep ends; a newer one has completed the upkeep
};

struct wave_record
{
    wave spec;
    std::int64_t startedMs = 0; // Unix milliseconds
    std::map<std::string, wave_machine> machines;

    // Returns whether the upkeep of every machine that is not gone has begun.
    bool done() const;
};

enum class ledger_event_kind : std::uint8_t { JobBegun, JobEnded, RunEnded, RunLost };

// Describes a change of state, for metrics and logs.
struct ledger_event
{
    ledger_event_kind kind = ledger_event_kind::JobBegun;
    const job_record *job = nullptr;
    end_kind endKind = end_kind::Done; // how the run ended; only for RunEnded
    run_loss lossKind = run_loss::Suspected; // only for RunLost
};

// Replicated state machine: the configuration, all jobs, their active runs, and the upkeep waves.
class ledger : public consensus::state_machine
{
public:
    ledger();
    ~ledger() override;

    // Applies a command of the log. The reply tells its outcome, see decodeOutcome().
    consensus::byte_buffer apply(consensus::log_index index, consensus::byte_view command) override;
    consensus::byte_buffer snapshot() const override;
    status restore(consensus::byte_view snapshot) override;

    // Applies a command. Fails with KeyReused, without effect, if the id of a job or a wave is
    // taken by another one, and with Cancelled if the job was cancelled before. Its proposer learns
    // only here which of several commands with one id took it, and which of a submission and its
    // cancelling came first.
    status apply(const command &value);

    // Sets the observer of changes. Commands that are replayed after a restart are reported again.
    void observe(std::function<void(const ledger_event &)> observer)
    {
        observer_ = std::move(observer);
    }

    const configuration &currentConfiguration() const { return configuration_; }
    const job_record *findJob(const std::string &id) const;

    // Returns whether a task with this id is part of a known job. Ids in reports of workers may be
    // of any other task.
    bool hasTask(const task_id &id) const;

    // Calls `visit` for each job that has not ended or still has active runs.
    void forEachOpenJob(const std::function<void(const job_record &)> &visit) const;

    // Returns the active runs of all incarnations of a worker, by task.
    const std::map<task_id, assignment> &runsOn(const std::string &worker) const;

    // The active runs of all incarnations of a worker, and what they take from its capacity.
    struct worker_runs
    {
        std::map<task_id, assignment> runs;
        amount used;
    };

    // Returns the workers with active runs, ordered by id.
    const std::map<std::string, worker_runs> &busyWorkers() const { return runs_; }

    // Returns the number of open jobs of a queue for which no run was ever ordered.
    std::size_t queuedJobs(const queue &at) const;

    // Returns the running jobs of which no run is known to have begun: none has ended by itself,
    // and the workers that were lost had listed none.
    const std::set<std::string> &unbegunJobs() const { return unbegunJobs_; }

    bool hasActiveRuns(const std::string &job) const { return activeRuns_.contains(job); }

    // Returns the tasks of open jobs under which workers were lost.
    const std::map<task_id, loss_record> &losses() const { return losses_; }

    // Returns the number of losses of workers that count against a task.
    std::uint32_t countedLosses(const task_id &task) const;

    // Returns the runs of open jobs that were lost when a worker fell silent, under any of its
    // incarnations, and of which it isn't known whether the worker had crashed.
    const std::set<run_key> &suspectedRuns(const std::string &worker) const;

    // Returns the retained waves by id, including completed ones.
    const std::map<std::uint64_t, wave_record> &waves() const { return waves_; }

    // Returns the evacuated availability zones.
    const std::map<std::string, evacuation> &evacuations() const { return evacuations_; }

    bool isEvacuated(const std::string &zone) const { return evacuations_.contains(zone); }

    // Returns the jobs that were cancelled while they weren't known, with the time of it in Unix
    // milliseconds.
    const std::map<job_address, std::int64_t> &cancellations() const { return cancellations_; }

    std::size_t jobCount() const { return jobs_.size(); }

private:
    void handle(const no_op &) { }
    void handle(const set_configuration &input);
    status handle(const accept_job &input);
    void handle(const cancel_job &input);
    void handle(const start_runs &input);
    void handle(const end_runs &input);
    void handle(const remove_ended_jobs &input);
    status handle(const start_wave &input);
    void handle(const set_upkeep_phase &input);
    void handle(const record_losses &input);
    void handle(const set_evacuation &input);
    status handle(const record_cancellation &input);

    void start(const assignment &run, std::int64_t wallMs);
    static void appendEvent(job_record &job, job_event event);
    void end(const run_end &value, std::int64_t wallMs);
    void finishTask(job_record &job, const task_id &id, std::int64_t wallMs);
    static bool countFailure(const job_record &job, const step_spec &spec, step_state &step,
                             task_state &task);
    void closeJob(job_record &job, job_state state, std::int64_t wallMs);
    void recordLoss(const lost_run &lost, std::int64_t wallMs);
    void indexSuspicion(const run_key &run, const loss_record::entry &loss);
    void removeSuspicion(const run_key &run, const loss_record::entry &loss);
    void forgetLosses(const std::string &job);
    void rebuildSuspicions();
    void rebuildIndexes();
    task_state *findTask(const task_id &id);

    void addRun(const assignment &run, const step_spec &spec);
    void removeRun(const std::string &worker, const task_id &task, const step_spec &spec);

    configuration configuration_;
    std::map<std::string, job_record> jobs_;
    std::map<std::uint64_t, wave_record> waves_;
    std::map<task_id, loss_record> losses_;
    std::map<std::string, evacuation> evacuations_; // by zone
    std::set<std::string> unbegunJobs_;
    std::map<job_address, std::int64_t> cancellations_;
    std::function<void(const ledger_event &)> observer_ = [](const ledger_event &) {};

    // Indexes derived from the jobs.
    std::map<std::string, worker_runs> runs_; // workers with active runs
    std::map<std::string, std::size_t> activeRuns_; // by job
    std::set<std::string> openJobs_; // jobs that are not ended or have active runs
    std::map<std::string, std::set<run_key>> suspicions_; // by worker
};

// Returns the name of a task within its job: OCCURRENCE.STEP.INDEX.
std::string shortName(const task_id &task);

// Returns a stable lower-case name for logs.
std::string_view toName(upkeep_phase phase);
std::string_view toName(run_loss kind);

// Encodes a command for the log.
consensus::byte_buffer encode(const command &value);

// Fails with CorruptFile.
result<command> decodeCommand(consensus::byte_view bytes);

// Encodes the outcome of a command for the reply to its proposer, which never leaves the process.
consensus::byte_buffer encodeOutcome(const status &outcome);

// Returns the outcome of a committed command.
status decodeOutcome(consensus::byte_view reply);

} // namespace persimmon::batch
