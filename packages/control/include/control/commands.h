#pragma once

#include "base/sync.h"
#include "base/tables.h"
#include "consensus/state_machine.h"
#include "placement/scheduler.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

// Commands of the replicated ledger and their encoding.
namespace persimmon::control {

// Replaces the tables. Fails with VersionConflict unless expectedVersion is the current version. A
// repeated change id returns the first answer again.
struct apply_tables
{
    tables next;
    std::uint64_t expectedVersion = 0;
    std::string changeId;

    friend bool operator==(const apply_tables &, const apply_tables &) = default;
};

// Accepts a job. Idempotent by workspace and key. The reply's value is the job id.
struct submit_job
{
    std::string key;
    job_spec spec;

    friend bool operator==(const submit_job &, const submit_job &) = default;
};

// Ends a waiting job, or begins to stop the open attempt of the job.
struct cancel_job
{
    job_id job {};

    friend bool operator==(const cancel_job &, const cancel_job &) = default;
};

// Worker that is granted a task. The grant is valid for this incarnation of the worker only.
struct worker_grant
{
    std::string worker;
    std::uint64_t incarnation = 0;

    friend bool operator==(const worker_grant &, const worker_grant &) = default;
};

// Opens the next attempt of a waiting job. The reply's value is the attempt's fencing token.
struct grant_attempt
{
    job_id job {};
    std::uint32_t attempt = 0;
    std::vector<worker_grant> workers; // one for each task
    bool borrowed = false;
    std::string reason;

    friend bool operator==(const grant_attempt &, const grant_attempt &) = default;
};

// Allows the tasks of a prepared attempt to run.
struct release_attempt
{
    job_id job {};
    std::uint32_t attempt = 0;
    std::uint64_t token = 0;

    friend bool operator==(const release_attempt &, const release_attempt &) = default;
};

// Begins to stop an open attempt. The checkpoint deadline is relative to the commit.
struct stop_attempt
{
    job_id job {};
    std::uint32_t attempt = 0;
    placement::attempt_end reason = placement::attempt_end::WorkerLost;
    std::string worker; // lost worker, or worker of the failed task
    job_id other {}; // job for which the attempt is preempted
    milliseconds deadline {0};

    friend bool operator==(const stop_attempt &, const stop_attempt &) = default;
};

// Closes a stopping attempt whose tasks no longer run. The job returns to the waiting state, or
// ends if it was cancelled or must not run again.
struct end_attempt
{
    job_id job {};
    std::uint32_t attempt = 0;

    friend bool operator==(const end_attempt &, const end_attempt &) = default;
};

// Completes a job whose tasks are all done.
struct finish_job
{
    job_id job {};
    std::uint32_t attempt = 0;
    std::uint64_t token = 0;
    std::vector<std::string> results; // one for each task

    friend bool operator==(const finish_job &, const finish_job &) = default;
};

// Ends a waiting job without a result.
struct end_job
{
    job_id job {};
    result_code code = result_code::CannotRun;
    std::string detail;

    friend bool operator==(const end_job &, const end_job &) = default;
};

// Appends decision records to jobs. Records of jobs that have ended are skipped.
struct append_records
{
    std::vector<std::pair<job_id, decision_record>> records;

    friend bool operator==(const append_records &, const append_records &) = default;
};

// Reserves the dispatch of a non-repeatable request.
struct record_intent
{
    intent_request request;

    friend bool operator==(const record_intent &, const record_intent &) = default;
};

// Closes an intent. Fails with NotFound, or with InvalidValue if the attempt is superseded or
// another outcome is already recorded.
struct record_outcome
{
    outcome_record record;

    friend bool operator==(const record_outcome &, const record_outcome &) = default;
};

// Closes the open intents of an entry, up to and including an incarnation, with outcome Unknown.
struct expire_intents
{
    std::string entryId;
    std::uint64_t incarnation = 0;

    friend bool operator==(const expire_intents &, const expire_intents &) = default;
};

// Marks an incarnation of an upstream, and all earlier ones, as leaving.
struct mark_leaving
{
    std::string upstream;
    std::uint64_t incarnation = 0;

    friend bool operator==(const mark_leaving &, const mark_leaving &) = default;
};

// Evicts the oldest ended jobs beyond a count, and ended jobs and intents that ended before a time.
struct trim_finished
{
    std::uint64_t jobs = 0;
    wall_ms before {0};

    friend bool operator==(const trim_finished &, const trim_finished &) = default;
};

using command_body
        = std::variant<apply_tables, submit_job, cancel_job, grant_attempt, release_attempt,
                       stop_attempt, end_attempt, finish_job, end_job, append_records,
                       record_intent, record_outcome, expire_intents, mark_leaving, trim_finished>;

struct command
{
    wall_ms at {0}; // wall-clock time of the proposer
    command_body body;

    friend bool operator==(const command &, const command &) = default;
};

// Reply of the ledger to one command. A refused command changes nothing, and its reply has a
// failure code.
struct reply
{
    error failure {result_code::Ok, {}, {}, {}};
    // Job id, version, fencing token, or number of evicted or changed items.
    std::uint64_t value = 0;
    std::vector<table_change> changes;
    intent_reply intent;

    friend bool operator==(const reply &, const reply &) = default;
};

consensus::byte_buffer encode(const command &source);
consensus::byte_buffer encode(const reply &source);

// Fail with CorruptFile if the bytes are not a valid command or reply.
result<command> decodeCommand(consensus::byte_view bytes);
result<reply> decodeReply(consensus::byte_view bytes);

} // namespace persimmon::control
