#include "codec.h"

namespace persimmon::control {

namespace detail {

using wire::toString;
using wire::toText;

void write(schema::WorkerGrant::Builder target, const worker_grant &source)
{
    target.setWorker(toText(source.worker));
    target.setIncarnation(source.incarnation);
}

worker_grant read(schema::WorkerGrant::Reader source)
{
    return {toString(source.getWorker()), source.getIncarnation()};
}

void write(schema::TableChange::Builder target, const table_change &source)
{
    target.setSign(static_cast<std::uint8_t>(source.sign));
    target.setRow(toText(source.row));
}

table_change read(schema::TableChange::Reader source)
{
    return {static_cast<char>(source.getSign()), toString(source.getRow())};
}

void write(schema::IntentReply::Builder target, const intent_reply &source)
{
    target.setDecision(static_cast<std::uint8_t>(source.decision));
    target.setAttempt(source.attempt);
    target.setOutcome(static_cast<std::uint8_t>(source.outcome));
    write(target.initAnswer(), source.stored);
}

intent_reply read(schema::IntentReply::Reader source)
{
    return {static_cast<intent_decision>(source.getDecision()), source.getAttempt(),
            static_cast<request_outcome>(source.getOutcome()), read(source.getAnswer())};
}

void write(schema::Reply::Builder target, const reply &source)
{
    write(target.initError(), source.failure);
    target.setValue(source.value);
    writeList(target.initChanges(source.changes.size()), source.changes);
    write(target.initIntent(), source.intent);
}

reply read(schema::Reply::Reader source)
{
    return {read(source.getError()), source.getValue(), readList(source.getChanges()),
            read(source.getIntent())};
}

namespace {

void writeBody(schema::Command::Builder target, const apply_tables &source)
{
    auto group = target.initApplyTables();
    write(group.initTables(), source.next);
    group.setExpectedVersion(source.expectedVersion);
    group.setChangeId(toText(source.changeId));
}

void writeBody(schema::Command::Builder target, const submit_job &source)
{
    auto group = target.initSubmitJob();
    group.setKey(toText(source.key));
    write(group.initSpec(), source.spec);
}

void writeBody(schema::Command::Builder target, const cancel_job &source)
{
    target.setCancelJob(toNumber(source.job));
}

void writeBody(schema::Command::Builder target, const grant_attempt &source)
{
    auto group = target.initGrantAttempt();
    group.setJob(toNumber(source.job));
    group.setAttempt(source.attempt);
    writeList(group.initWorkers(source.workers.size()), source.workers);
    group.setBorrowed(source.borrowed);
    group.setReason(toText(source.reason));
}

void writeBody(schema::Command::Builder target, const release_attempt &source)
{
    auto group = target.initReleaseAttempt();
    group.setJob(toNumber(source.job));
    group.setAttempt(source.attempt);
    group.setToken(source.token);
}

void writeBody(schema::Command::Builder target, const stop_attempt &source)
{
    auto group = target.initStopAttempt();
    group.setJob(toNumber(source.job));
    group.setAttempt(source.attempt);
    group.setReason(static_cast<std::uint8_t>(source.reason));
    group.setWorker(toText(source.worker));
    group.setOther(toNumber(source.other));
    group.setDeadlineMs(static_cast<std::uint32_t>(source.deadline.count()));
}

void writeBody(schema::Command::Builder target, const end_attempt &source)
{
    auto group = target.initEndAttempt();
    group.setJob(toNumber(source.job));
    group.setAttempt(source.attempt);
}

void writeBody(schema::Command::Builder target, const finish_job &source)
{
    auto group = target.initFinishJob();
    group.setJob(toNumber(source.job));
    group.setAttempt(source.attempt);
    group.setToken(source.token);
    writeTexts(group.initResults(source.results.size()), source.results);
}

void writeBody(schema::Command::Builder target, const end_job &source)
{
    auto group = target.initEndJob();
    group.setJob(toNumber(source.job));
    group.setCode(static_cast<std::uint16_t>(source.code));
    group.setDetail(toText(source.detail));
}

void writeBody(schema::Command::Builder target, const append_records &source)
{
    auto list = target.initAppendRecords(source.records.size());
    for (unsigned i = 0; i < list.size(); ++i) {
        list[i].setJob(toNumber(source.records[i].first));
        write(list[i].initRecord(), source.records[i].second);
    }
}

void writeBody(schema::Command::Builder target, const record_intent &source)
{
    auto group = target.initRecordIntent();
    group.setWorkspace(toText(source.request.key.workspace));
    group.setKey(toText(source.request.key.key));
    group.setDigest(source.request.digest);
    group.setEntryId(toText(source.request.entryId));
    group.setEntryIncarnation(source.request.entryIncarnation);
}

void writeBody(schema::Command::Builder target, const record_outcome &source)
{
    auto group = target.initRecordOutcome();
    group.setWorkspace(toText(source.record.key.workspace));
    group.setKey(toText(source.record.key.key));
    group.setAttempt(source.record.attempt);
    group.setOutcome(static_cast<std::uint8_t>(source.record.outcome));
    write(group.initAnswer(), source.record.stored);
}

void writeBody(schema::Command::Builder target, const expire_intents &source)
{
    auto group = target.initExpireIntents();
    group.setEntryId(toText(source.entryId));
    group.setIncarnation(source.incarnation);
}

void writeBody(schema::Command::Builder target, const mark_leaving &source)
{
    auto group = target.initMarkLeaving();
    group.setUpstream(toText(source.upstream));
    group.setIncarnation(source.incarnation);
}

void writeBody(schema::Command::Builder target, const trim_finished &source)
{
    auto group = target.initTrim();
    group.setJobs(source.jobs);
    group.setBeforeMs(source.before.count());
}

apply_tables readBody(schema::Command::ApplyTables::Reader source)
{
    return {read(source.getTables()), source.getExpectedVersion(), toString(source.getChangeId())};
}

submit_job readBody(schema::Command::SubmitJob::Reader source)
{
    return {toString(source.getKey()), read(source.getSpec())};
}

grant_attempt readBody(schema::Command::GrantAttempt::Reader source)
{
    return {toJob(source.getJob()), source.getAttempt(), readList(source.getWorkers()),
            source.getBorrowed(), toString(source.getReason())};
}

release_attempt readBody(schema::Command::ReleaseAttempt::Reader source)
{
    return {toJob(source.getJob()), source.getAttempt(), source.getToken()};
}

stop_attempt readBody(schema::Command::StopAttempt::Reader source)
{
    return {toJob(source.getJob()),
            source.getAttempt(),
            static_cast<placement::attempt_end>(source.getReason()),
            toString(source.getWorker()),
            toJob(source.getOther()),
            milliseconds {source.getDeadlineMs()}};
}

end_attempt readBody(schema::Command::EndAttempt::Reader source)
{
    return {toJob(source.getJob()), source.getAttempt()};
}

finish_job readBody(schema::Command::FinishJob::Reader source)
{
    return {toJob(source.getJob()), source.getAttempt(), source.getToken(),
            readTexts(source.getResults())};
}

end_job readBody(schema::Command::EndJob::Reader source)
{
    return {toJob(source.getJob()), static_cast<result_code>(source.getCode()),
            toString(source.getDetail())};
}

append_records readBody(capnp::List<schema::JobRecord>::Reader source)
{
    append_records body;
    for (const auto &item : source)
        body.records.emplace_back(toJob(item.getJob()), read(item.getRecord()));
    return body;
}

record_intent readBody(schema::Command::RecordIntent::Reader source)
{
    return {{{toString(source.getWorkspace()), toString(source.getKey())},
             source.getDigest(),
             toString(source.getEntryId()),
             source.getEntryIncarnation()}};
}

record_outcome readBody(schema::Command::RecordOutcome::Reader source)
{
    return {{{toString(source.getWorkspace()), toString(source.getKey())},
             source.getAttempt(),
             static_cast<request_outcome>(source.getOutcome()),
             read(source.getAnswer())}};
}

expire_intents readBody(schema::Command::ExpireIntents::Reader source)
{
    return {toString(source.getEntryId()), source.getIncarnation()};
}

mark_leaving readBody(schema::Command::MarkLeaving::Reader source)
{
    return {toString(source.getUpstream()), source.getIncarnation()};
}

trim_finished readBody(schema::Command::Trim::Reader source)
{
    return {source.getJobs(), wall_ms {source.getBeforeMs()}};
}

command_body readAnyBody(schema::Command::Reader source)
{
    switch (source.which()) {
    case schema::Command::APPLY_TABLES:
        return readBody(source.getApplyTables());
    case schema::Command::SUBMIT_JOB:
        return readBody(source.getSubmitJob());
    case schema::Command::CANCEL_JOB:
        return cancel_job {toJob(source.getCancelJob())};
    case schema::Command::GRANT_ATTEMPT:
        return readBody(source.getGrantAttempt());
    case schema::Command::RELEASE_ATTEMPT:
        return readBody(source.getReleaseAttempt());
    case schema::Command::STOP_ATTEMPT:
        return readBody(source.getStopAttempt());
    case schema::Command::END_ATTEMPT:
        return readBody(source.getEndAttempt());
    case schema::Command::FINISH_JOB:
        return readBody(source.getFinishJob());
    case schema::Command::END_JOB:
        return readBody(source.getEndJob());
    case schema::Command::APPEND_RECORDS:
        return readBody(source.getAppendRecords());
    case schema::Command::RECORD_INTENT:
        return readBody(source.getRecordIntent());
    case schema::Command::RECORD_OUTCOME:
        return readBody(source.getRecordOutcome());
    case schema::Command::EXPIRE_INTENTS:
        return readBody(source.getExpireIntents());
    case schema::Command::MARK_LEAVING:
        return readBody(source.getMarkLeaving());
    case schema::Command::TRIM:
        return readBody(source.getTrim());
    }
    KJ_FAIL_REQUIRE("unknown command", static_cast<unsigned>(source.which()));
}

} // namespace

} // namespace detail

consensus::byte_buffer encode(const command &source)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::schema::Command>();
    root.setAtMs(source.at.count());
    std::visit([&](const auto &body) { detail::writeBody(root, body); }, source.body);
    return wire::toBytes(message);
}

consensus::byte_buffer encode(const reply &source)
{
    capnp::MallocMessageBuilder message;
    detail::write(message.initRoot<wire::schema::Reply>(), source);
    return wire::toBytes(message);
}

result<command> decodeCommand(consensus::byte_view bytes)
{
    command decoded;
    const auto outcome = wire::visitBytes<wire::schema::Command>(bytes, [&](const auto &root) {
        decoded.at = wall_ms {root.getAtMs()};
        decoded.body = detail::readAnyBody(root);
    });
    if (failed(outcome))
        return errorOf(outcome);
    return decoded;
}

result<reply> decodeReply(consensus::byte_view bytes)
{
    reply decoded;
    const auto outcome = wire::visitBytes<wire::schema::Reply>(
            bytes, [&](const auto &root) { decoded = detail::read(root); });
    if (failed(outcome))
        return errorOf(outcome);
    return decoded;
}

} // namespace persimmon::control
