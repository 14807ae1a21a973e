#pragma once

#include "batch/ledger.h"

#include <cereal/types/map.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

// Binary encoding of the ledger's types for the log and its snapshots. The order of the members is
// part of the format: changing it requires a new format number in ledger-codec.cc.
namespace persimmon::batch {

template <typename Archive>
void serialize(Archive &archive, amount &value)
{
    archive(value.cpu, value.memory, value.accelerators);
}

template <typename Archive>
void serialize(Archive &archive, step_spec &value)
{
    archive(value.count, value.need, value.estimateMs, value.dependsOn, value.checkpointable,
            value.gang, value.sameRack, value.speculative, value.longRunning, value.usesIdleCpu,
            value.requiredLabel, value.preferredRack, value.maxPerWorker, value.disruptionBudget,
            value.latencyObjectiveMs);
}

template <typename Archive>
void serialize(Archive &archive, job_spec &value)
{
    archive(value.payload, value.steps, value.occurrences, value.firstDueMs, value.intervalMs);
}

template <typename Archive>
void serialize(Archive &archive, queue &value)
{
    archive(value.name, value.host, value.prefix, value.pool, value.priority, value.attempts,
            value.slackFactor, value.objectiveMs, value.isPublic, value.adviceValidMs);
}

template <typename Archive>
void serialize(Archive &archive, tenant &value)
{
    archive(value.name, value.keys, value.reservedAccelerators);
}

template <typename Archive>
void serialize(Archive &archive, configuration &value)
{
    archive(value.version, value.document, value.queues, value.tenants);
}

template <typename Archive>
void serialize(Archive &archive, task_id &value)
{
    archive(value.job, value.occurrence, value.step, value.index);
}

template <typename Archive>
void serialize(Archive &archive, assignment &value)
{
    archive(value.task, value.run, value.worker, value.incarnation);
}

template <typename Archive>
void serialize(Archive &archive, run_end &value)
{
    archive(value.task, value.run, value.kind, value.checkpoint);
}

template <typename Archive>
void serialize(Archive &, no_op &)
{
}

template <typename Archive>
void serialize(Archive &archive, set_configuration &value)
{
    archive(value.value);
}

template <typename Archive>
void serialize(Archive &archive, accept_job &value)
{
    archive(value.id, value.tenant, value.source, value.spec, value.wallMs);
}

template <typename Archive>
void serialize(Archive &archive, cancel_job &value)
{
    archive(value.id, value.wallMs);
}

template <typename Archive>
void serialize(Archive &archive, start_runs &value)
{
    archive(value.runs, value.wallMs);
}

template <typename Archive>
void serialize(Archive &archive, end_runs &value)
{
    archive(value.ends, value.wallMs);
}

template <typename Archive>
void serialize(Archive &archive, remove_ended_jobs &value)
{
    archive(value.endedBeforeMs);
}

template <typename Archive>
void serialize(Archive &archive, wave &value)
{
    archive(value.id, value.machines, value.durationMs, value.atOnce);
}

template <typename Archive>
void serialize(Archive &archive, start_wave &value)
{
    archive(value.value, value.wallMs);
}

template <typename Archive>
void serialize(Archive &archive, set_upkeep_phase &value)
{
    archive(value.wave, value.machine, value.phase, value.incarnation);
}

template <typename Archive>
void serialize(Archive &archive, lost_run &value)
{
    archive(value.task, value.run, value.kind, value.alone);
}

template <typename Archive>
void serialize(Archive &archive, record_losses &value)
{
    archive(value.runs, value.wallMs);
}

template <typename Archive>
void serialize(Archive &archive, set_evacuation &value)
{
    archive(value.zone, value.evacuated, value.wallMs);
}

template <typename Archive>
void serialize(Archive &archive, job_address &value)
{
    archive(value.tenant, value.host, value.prefix, value.id);
}

template <typename Archive>
void serialize(Archive &archive, record_cancellation &value)
{
    archive(value.job, value.wallMs);
}

template <typename Archive>
void serialize(Archive &archive, evacuation &value)
{
    archive(value.sinceMs);
}

template <typename Archive>
void serialize(Archive &archive, loss_record::entry &value)
{
    archive(value.kind, value.alone);
}

template <typename Archive>
void serialize(Archive &archive, loss_record &value)
{
    archive(value.runs, value.newestMs);
}

template <typename Archive>
void serialize(Archive &archive, wave_machine &value)
{
    archive(value.phase, value.incarnation);
}

template <typename Archive>
void serialize(Archive &archive, wave_record &value)
{
    archive(value.spec, value.startedMs, value.machines);
}

template <typename Archive>
void serialize(Archive &archive, task_state &value)
{
    archive(value.done, value.active, value.run, value.failures, value.worker, value.incarnation,
            value.checkpoint, value.failedOn);
}

template <typename Archive>
void serialize(Archive &archive, step_state &value)
{
    archive(value.tasks, value.doneCount, value.activeCount, value.failedRuns, value.lastFailedRun,
            value.begun);
}

template <typename Archive>
void serialize(Archive &archive, job_event &value)
{
    archive(value.atMs, value.kind, value.reason, value.run, value.detail);
}

template <typename Archive>
void serialize(Archive &archive, job_record &value)
{
    archive(value.id, value.tenant, value.source, value.spec, value.acceptedMs, value.endedMs,
            value.state, value.occurrences, value.events);
}

} // namespace persimmon::batch
