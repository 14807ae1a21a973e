#include "transitions.h"

#include <algorithm>

namespace persimmon::control::detail {

namespace {

using placement::attempt_end;

constexpr std::size_t maxRecords = 64; // of one job

void end(ledger_data &data, log_position at, job_entry &entry, job_state state, result_code code)
{
    entry.state = state;
    entry.code = code;
    entry.workers.clear();
    entry.endedAt = at.at;
    entry.endIndex = at.index;
    data.openJobs.erase(entry.id);
    data.endedJobs[at.index] = entry.id;
}

void recordDecision(job_entry &entry, log_position at, decision_kind kind, std::string detail,
                    result_code code = result_code::Ok, job_id other = {})
{
    addRecord(entry, {kind, at.at, wait_reason::None, code, other, std::move(detail)});
}

std::string joinWorkers(const std::vector<worker_grant> &workers)
{
    std::string text;
    for (const auto &grant : workers)
        text += (text.empty() ? "" : ",") + grant.worker;
    return text;
}

bool hasWorkspace(const ledger_data &data, const std::string &name)
{
    return std::ranges::any_of(data.current.workspaces,
                               [&](const workspace &row) { return row.name == name; });
}

bool hasPool(const ledger_data &data, const std::string &name)
{
    return std::ranges::any_of(data.current.pools,
                               [&](const pool &row) { return row.name == name; });
}

// Finds the job of a command about its open attempt. Returns nullptr and sets the refusal unless
// the attempt matches and the job is in one of the two states.
template <typename Body>
job_entry *findAttempt(ledger_data &data, const Body &body, job_state first, job_state second,
                       reply &refusal)
{
    const auto found = data.jobs.find(body.job);
    if (found == data.jobs.end()) {
        refusal = refuse(result_code::NotFound, "no such job", "job");
        return nullptr;
    }
    auto &entry = found->second;
    if (entry.attempt != body.attempt) {
        refusal = refuse(result_code::InvalidValue, "superseded attempt", "attempt");
        return nullptr;
    }
    if (entry.state != first && entry.state != second) {
        refusal = refuse(result_code::InvalidValue,
                         "the job is " + std::string(toName(entry.state)), "state");
        return nullptr;
    }
    return &entry;
}

// Ends a job that must not start another attempt. Returns false if the job may be retried.
bool endAfterAttempt(ledger_data &data, log_position at, job_entry &entry)
{
    if (entry.cancelRequested) {
        end(data, at, entry, job_state::Cancelled, result_code::Cancelled);
        recordDecision(entry, at, decision_kind::Cancelled, {}, result_code::Cancelled);
        return true;
    }
    if (!entry.released || entry.spec.repeatable)
        return false;
    if (entry.stopReason == attempt_end::TaskFailed) {
        end(data, at, entry, job_state::Failed, result_code::CannotRun);
        recordDecision(entry, at, decision_kind::Failed, "failed on " + entry.stopWorker,
                       result_code::CannotRun);
    } else {
        end(data, at, entry, job_state::Unknown, result_code::OutcomeUnknown);
        recordDecision(entry, at, decision_kind::Lost, "may have run and is not repeatable",
                       result_code::OutcomeUnknown);
    }
    return true;
}

} // namespace

void addRecord(job_entry &entry, decision_record record)
{
    entry.records.push_back(std::move(record));
    if (entry.records.size() > maxRecords)
        entry.records.erase(entry.records.begin() + 1);
}

reply applyBody(ledger_data &data, log_position at, const submit_job &body)
{
    reply answer;
    const auto existing = data.jobKeys.find({body.spec.workspace, body.key});
    if (!body.key.empty() && existing != data.jobKeys.end()) {
        if (data.jobs.at(existing->second).spec != body.spec)
            return refuse(result_code::KeyReused, "the key belongs to another job", "key");
        answer.value = toNumber(existing->second);
        return answer;
    }
    if (!hasWorkspace(data, body.spec.workspace))
        return refuse(result_code::UnknownWorkspace, body.spec.workspace, "workspace");
    if (!body.spec.pool.empty() && !hasPool(data, body.spec.pool))
        return refuse(result_code::InvalidValue, "unknown pool", "pool");
    if (body.spec.tasks == 0 || body.spec.tasks > maxGangTasks)
        return refuse(result_code::InvalidValue, "must be 1 to 64", "tasks");
    const auto id = static_cast<job_id>(at.index);
    auto &entry = data.jobs[id];
    entry.id = id;
    entry.key = body.key;
    entry.spec = body.spec;
    recordDecision(entry, at, decision_kind::Accepted, {});
    if (!body.key.empty())
        data.jobKeys[{body.spec.workspace, body.key}] = id;
    data.openJobs.insert(id);
    answer.value = at.index;
    return answer;
}

reply applyBody(ledger_data &data, log_position at, const cancel_job &body)
{
    const auto found = data.jobs.find(body.job);
    if (found == data.jobs.end())
        return refuse(result_code::NotFound, "no such job", "job");
    auto &entry = found->second;
    if (entry.cancelRequested)
        return {};
    if (isTerminal(entry.state))
        return refuse(result_code::InvalidValue, "the job has ended", "state");
    entry.cancelRequested = true;
    if (entry.state == job_state::Waiting) {
        endAfterAttempt(data, at, entry);
    } else {
        entry.state = job_state::Stopping;
        entry.stopReason = attempt_end::Cancelled;
        recordDecision(entry, at, decision_kind::Cancelled, "stopping");
    }
    return {};
}

reply applyBody(ledger_data &data, log_position at, const grant_attempt &body)
{
    reply answer;
    const auto found = data.jobs.find(body.job);
    if (found == data.jobs.end())
        return refuse(result_code::NotFound, "no such job", "job");
    auto &entry = found->second;
    // A grant that is proposed again after a lost reply returns the first answer.
    if (entry.state == job_state::Preparing && entry.attempt == body.attempt
        && entry.workers == body.workers) {
        answer.value = entry.token;
        return answer;
    }
    if (entry.state != job_state::Waiting)
        return refuse(result_code::InvalidValue, "the job is " + std::string(toName(entry.state)),
                      "state");
    if (body.attempt != entry.attempt + 1)
        return refuse(result_code::InvalidValue, "not the number of the next attempt", "attempt");
    if (body.workers.size() != entry.spec.tasks)
        return refuse(result_code::InvalidValue, "must list one worker for each task", "workers");
    entry.state = job_state::Preparing;
    entry.attempt = body.attempt;
    entry.token = at.index;
    entry.workers = body.workers;
    entry.released = false;
    recordDecision(entry, at, decision_kind::Placed,
                   joinWorkers(body.workers) + (body.borrowed ? " borrowed" : "")
                           + (body.reason.empty() ? "" : ": " + body.reason));
    answer.value = at.index;
    return answer;
}

reply applyBody(ledger_data &data, log_position at, const release_attempt &body)
{
    reply refusal;
    auto *entry = findAttempt(data, body, job_state::Preparing, job_state::Running, refusal);
    if (!entry)
        return refusal;
    if (entry->token != body.token)
        return refuse(result_code::InvalidValue, "stale fencing token", "token");
    if (entry->state == job_state::Running)
        return {};
    entry->state = job_state::Running;
    entry->released = true;
    recordDecision(*entry, at, decision_kind::Released, {});
    return {};
}

reply applyBody(ledger_data &data, log_position at, const stop_attempt &body)
{
    reply refusal;
    auto *entry = findAttempt(data, body, job_state::Preparing, job_state::Running, refusal);
    if (!entry)
        return refusal;
    entry->state = job_state::Stopping;
    entry->stopReason = body.reason;
    entry->stopWorker = body.worker;
    entry->stopDeadline = body.deadline;
    if (body.reason == attempt_end::Preempted)
        recordDecision(*entry, at, decision_kind::Preempted, {}, result_code::Ok, body.other);
    else if (body.reason == attempt_end::TaskFailed)
        recordDecision(*entry, at, decision_kind::Failed, "task failed on " + body.worker);
    else
        recordDecision(*entry, at, decision_kind::Lost, "lost " + body.worker);
    return {};
}

reply applyBody(ledger_data &data, log_position at, const end_attempt &body)
{
    reply refusal;
    auto *entry = findAttempt(data, body, job_state::Stopping, job_state::Stopping, refusal);
    if (!entry)
        return refusal;
    if (endAfterAttempt(data, at, *entry))
        return {};
    entry->state = job_state::Waiting;
    entry->workers.clear();
    entry->released = false;
    recordDecision(*entry, at, decision_kind::Retried,
                   "attempt " + std::to_string(entry->attempt) + " ended");
    return {};
}

reply applyBody(ledger_data &data, log_position at, const finish_job &body)
{
    reply refusal;
    // A stopping attempt is accepted too: all its tasks may finish before the stop reaches them.
    auto *entry = findAttempt(data, body, job_state::Running, job_state::Stopping, refusal);
    if (!entry)
        return refusal;
    if (entry->token != body.token)
        return refuse(result_code::InvalidValue, "stale fencing token", "token");
    if (!entry->released || entry->cancelRequested)
        return refuse(result_code::InvalidValue, "the attempt was not released or is cancelled",
                      "state");
    if (body.results.size() != entry->spec.tasks)
        return refuse(result_code::InvalidValue, "must list one result for each task", "results");
    entry->results = body.results;
    end(data, at, *entry, job_state::Done, result_code::Ok);
    recordDecision(*entry, at, decision_kind::Finished, {});
    return {};
}

reply applyBody(ledger_data &data, log_position at, const end_job &body)
{
    const auto found = data.jobs.find(body.job);
    if (found == data.jobs.end())
        return refuse(result_code::NotFound, "no such job", "job");
    auto &entry = found->second;
    if (entry.state != job_state::Waiting)
        return refuse(result_code::InvalidValue, "the job is " + std::string(toName(entry.state)),
                      "state");
    const bool cancelled = body.code == result_code::Cancelled;
    end(data, at, entry, cancelled ? job_state::Cancelled : job_state::CannotRun, body.code);
    recordDecision(entry, at, cancelled ? decision_kind::Cancelled : decision_kind::Refused,
                   body.detail, body.code);
    return {};
}

reply applyBody(ledger_data &data, log_position at, const append_records &body)
{
    reply answer;
    for (const auto &[id, record] : body.records) {
        const auto found = data.jobs.find(id);
        if (found == data.jobs.end() || isTerminal(found->second.state))
            continue;
        auto stamped = record;
        stamped.at = at.at;
        addRecord(found->second, std::move(stamped));
        ++answer.value;
    }
    return answer;
}

reply applyBody(ledger_data &data, log_position at, const trim_finished &body)
{
    // Bounding by the ledger's time limits what a proposer with a wrong clock can evict.
    const auto before = std::min(body.before, at.at);
    reply answer;
    while (!data.endedJobs.empty()) {
        const auto oldest = data.jobs.find(data.endedJobs.begin()->second);
        if (data.endedJobs.size() <= body.jobs && oldest->second.endedAt >= before)
            break;
        data.jobKeys.erase({oldest->second.spec.workspace, oldest->second.key});
        data.jobs.erase(oldest);
        data.endedJobs.erase(data.endedJobs.begin());
        ++answer.value;
    }
    while (!data.closedIntents.empty()) {
        const auto &oldest = data.closedIntents.begin()->second;
        if (data.intents.at(*oldest.begin()).endedAt >= before)
            break;
        for (const auto &key : oldest) {
            const auto found = data.intents.find(key);
            data.storedBytes -= found->second.stored.body.size();
            data.intents.erase(found);
            ++answer.value;
        }
        data.closedIntents.erase(data.closedIntents.begin());
    }
    return answer;
}

} // namespace persimmon::control::detail
