#pragma once

#include "ledger_data.h"

// Transitions of the replicated ledger. They depend on their arguments only, so that all replicas
// compute the same state.
namespace persimmon::control {

// Applies one command and returns its reply. A refused command changes nothing.
reply applyCommand(ledger_data &data, std::uint64_t index, const command &source);

namespace detail {

// Index of a command in the log, and ledger time at which it is applied.
struct log_position
{
    std::uint64_t index = 0;
    wall_ms at {0};
};

reply refuse(result_code code, std::string detail, std::string field = {});

// Appends a record to a job. Beyond maxRecords, removes the oldest record except the first.
void addRecord(job_entry &entry, decision_record record);

reply applyBody(ledger_data &data, log_position at, const apply_tables &body);
reply applyBody(ledger_data &data, log_position at, const submit_job &body);
reply applyBody(ledger_data &data, log_position at, const cancel_job &body);
reply applyBody(ledger_data &data, log_position at, const grant_attempt &body);
reply applyBody(ledger_data &data, log_position at, const release_attempt &body);
reply applyBody(ledger_data &data, log_position at, const stop_attempt &body);
reply applyBody(ledger_data &data, log_position at, const end_attempt &body);
reply applyBody(ledger_data &data, log_position at, const finish_job &body);
reply applyBody(ledger_data &data, log_position at, const end_job &body);
reply applyBody(ledger_data &data, log_position at, const append_records &body);
reply applyBody(ledger_data &data, log_position at, const record_intent &body);
reply applyBody(ledger_data &data, log_position at, const record_outcome &body);
reply applyBody(ledger_data &data, log_position at, const expire_intents &body);
reply applyBody(ledger_data &data, log_position at, const mark_leaving &body);
reply applyBody(ledger_data &data, log_position at, const trim_finished &body);

} // namespace detail

} // namespace persimmon::control
