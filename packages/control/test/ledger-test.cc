#include "ledger_data.h"
#include "stand-ins.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::control;
using namespace persimmon::control::test;

TEST_GROUP(ledger)
{
    std::unique_ptr<ledger> state = ledger::create();
    std::uint64_t index = 0;

    reply commit(command_body body, wall_ms at = wall_ms {1000})
    {
        const auto bytes = state->apply(++index, encode(command {at, std::move(body)}));
        const auto decoded = decodeReply(bytes);
        CHECK_FALSE(failed(decoded));
        return valueOf(decoded);
    }

    void expectRefused(result_code code, command_body body)
    {
        const auto before = state->snapshot();
        LONGS_EQUAL(static_cast<int>(code), static_cast<int>(commit(std::move(body)).failure.code));
        CHECK_TRUE(before == state->snapshot());
    }

    job_id submit(job_spec spec = sampleJob(), const std::string &key = "k")
    {
        commit(apply_tables {sampleTables(), state->currentTables().version, ""});
        return static_cast<job_id>(commit(submit_job {key, std::move(spec)}).value);
    }

    std::uint64_t grant(job_id job, std::uint32_t attempt)
    {
        return commit(grant_attempt {job, attempt, {{"a", 1}, {"b", 1}}, false, ""}).value;
    }

    job_state stateOf(job_id job)
    {
        return state->findJob(job)->state;
    }
};

// Guards against a lost update when operators change the tables concurrently, and against a resent
// change that is applied twice.
TEST(ledger, checksVersionsAndRepeatsFirstAnswers)
{
    LONGS_EQUAL(1, commit(apply_tables {sampleTables(), 0, "first"}).value);
    const auto conflict = commit(apply_tables {{}, 0, "second"});
    LONGS_EQUAL(4001, static_cast<int>(conflict.failure.code));
    STRCMP_EQUAL("1", conflict.failure.detail.c_str());
    LONGS_EQUAL(1, commit(apply_tables {sampleTables(), 0, "first"}).value);
    // The first answer is returned even though the expected version now matches.
    CHECK_TRUE(conflict == commit(apply_tables {{}, 1, "second"}));
    LONGS_EQUAL(1, state->currentTables().version);
    LONGS_EQUAL(1, state->history().size());
    STRCMP_EQUAL("+route boards +pool gpu +workspace moreton", state->history()[0].summary.c_str());
}

// Guards against two open attempts of one job.
TEST(ledger, refusesASecondGrantAndStaleCommands)
{
    const auto job = submit();
    const auto token = grant(job, 1);
    expectRefused(result_code::InvalidValue,
                  grant_attempt {job, 2, {{"c", 1}, {"d", 1}}, false, ""});
    LONGS_EQUAL(token, grant(job, 1));
    expectRefused(result_code::InvalidValue, release_attempt {job, 1, token + 1});
    expectRefused(result_code::InvalidValue, finish_job {job, 1, token, {"x", "y"}});
    commit(stop_attempt {job, 1, placement::attempt_end::WorkerLost, "a", {}, {}});
    expectRefused(result_code::InvalidValue, release_attempt {job, 1, token});
    commit(end_attempt {job, 1});
    CHECK_TRUE(stateOf(job) == job_state::Waiting);
    CHECK_TRUE(grant(job, 2) > token);
    expectRefused(result_code::InvalidValue, release_attempt {job, 1, token});
    expectRefused(result_code::InvalidValue, stop_attempt {job, 1, {}, "a", {}, {}});
}

TEST(ledger, finishesAReleasedAttempt)
{
    const auto job = submit();
    const auto token = grant(job, 1);
    commit(release_attempt {job, 1, token});
    expectRefused(result_code::InvalidValue, finish_job {job, 1, token, {"x"}});
    commit(finish_job {job, 1, token, {"x", "y"}});
    CHECK_TRUE(stateOf(job) == job_state::Done);
    STRCMP_EQUAL("y", state->findJob(job)->results[1].c_str());
    expectRefused(result_code::InvalidValue, cancel_job {job});
    expectRefused(result_code::InvalidValue, end_job {job, result_code::CannotRun, ""});
    LONGS_EQUAL(toNumber(job), commit(submit_job {"k", sampleJob()}).value);
    expectRefused(result_code::KeyReused, submit_job {"k", sampleJob(3)});
}

// Guards against a second run of a non-repeatable job that may have run.
TEST(ledger, endsALostJobThatIsNotRepeatableAsUnknown)
{
    auto spec = sampleJob();
    spec.repeatable = false;
    const auto job = submit(spec);
    grant(job, 1);
    commit(stop_attempt {job, 1, placement::attempt_end::WorkerLost, "a", {}, {}});
    commit(end_attempt {job, 1});
    CHECK_TRUE(stateOf(job) == job_state::Waiting);
    commit(release_attempt {job, 2, grant(job, 2)});
    commit(stop_attempt {job, 2, placement::attempt_end::WorkerLost, "a", {}, {}});
    commit(end_attempt {job, 2});
    CHECK_TRUE(stateOf(job) == job_state::Unknown);
    expectRefused(result_code::InvalidValue,
                  grant_attempt {job, 3, {{"a", 1}, {"b", 1}}, false, ""});
}

// Guards against a non-repeatable request that is dispatched twice.
TEST(ledger, reservesOneDispatchForEachKey)
{
    const intent_request request {{"moreton", "k"}, 7, "entry-1", 1};
    const auto first = commit(record_intent {request}).intent;
    CHECK_TRUE(first.decision == intent_decision::Dispatch);
    const auto repeated = commit(record_intent {request}).intent;
    CHECK_TRUE(repeated.decision == intent_decision::InProgress);
    LONGS_EQUAL(first.attempt, repeated.attempt);
    auto other = request;
    other.entryId = "entry-2";
    LONGS_EQUAL(0, commit(record_intent {other}).intent.attempt);
    other.digest = 8;
    expectRefused(result_code::KeyReused, record_intent {other});
    commit(record_outcome {{request.key, first.attempt, request_outcome::NotRun, {}}});
    const auto second = commit(record_intent {request}).intent;
    CHECK_TRUE(second.decision == intent_decision::Dispatch && second.attempt > first.attempt);
    expectRefused(result_code::InvalidValue,
                  record_outcome {{request.key, first.attempt, request_outcome::Ran, {}}});
    commit(record_outcome {
            {request.key, second.attempt, request_outcome::Ran, {200, "t", "body"}}});
    expectRefused(result_code::InvalidValue,
                  record_outcome {{request.key, second.attempt, request_outcome::NotRun, {}}});
    const auto stored = commit(record_intent {request}).intent;
    CHECK_TRUE(stored.decision == intent_decision::Stored && stored.stored.body == "body");
}

// Guards against a key that stays in progress indefinitely, or is dispatched again, after its entry
// has failed.
TEST(ledger, expiresIntentsOfFailedEntry)
{
    intent_request request {{"moreton", "k"}, 7, "entry-1", 1};
    const auto attempt = commit(record_intent {request}).intent.attempt;
    LONGS_EQUAL(1, commit(expire_intents {"entry-1", 1}).value);
    CHECK_TRUE(commit(record_intent {request}).intent.decision == intent_decision::Unknown);
    expectRefused(result_code::InvalidValue,
                  record_outcome {{request.key, attempt, request_outcome::NotRun, {}}});
    request.key.key = "other";
    commit(record_intent {request});
    request.entryIncarnation = 2;
    CHECK_TRUE(commit(record_intent {request}).intent.decision == intent_decision::Unknown);
}

// Guards against replicas that diverge after a snapshot, and against derived state that is not
// rebuilt.
TEST(ledger, restoresEqualBytes)
{
    const auto job = submit();
    commit(release_attempt {job, 1, grant(job, 1)});
    commit(finish_job {job, 1, state->data().find(job)->token, {"x", "y"}});
    const auto open = submit(sampleJob(), "open");
    grant(open, 1);
    commit(stop_attempt {open, 1, placement::attempt_end::Preempted, "", job, milliseconds {9}});
    commit(record_intent {{{"moreton", "k"}, 7, "entry-1", 1}});
    commit(record_intent {{{"moreton", "l"}, 7, "entry-1", 1}});
    commit(record_outcome {{{"moreton", "l"}, index, request_outcome::Ran, {200, "t", "body"}}});
    commit(mark_leaving {"a", 3});
    commit(apply_tables {{}, 0, "conflict"});
    const auto first = state->snapshot();
    auto copy = ledger::create();
    CHECK_FALSE(failed(copy->restore(first)));
    CHECK_TRUE(first == copy->snapshot());
    CHECK_FALSE(failed(copy->restore(first)));
    CHECK_TRUE(first == copy->snapshot());
    const auto more = encode(command {wall_ms {5}, expire_intents {"entry-1", 1}});
    ++index;
    CHECK_TRUE(state->apply(index, more) == copy->apply(index, more));
    const auto trim = encode(command {wall_ms {5}, trim_finished {0, wall_ms {2000}}});
    ++index;
    CHECK_TRUE(state->apply(index, trim) == copy->apply(index, trim));
    CHECK_TRUE(state->snapshot() == copy->snapshot());
    CHECK_TRUE(failed(copy->restore(consensus::byte_buffer(12))));
    CHECK_TRUE(state->snapshot() == copy->snapshot());
}

// Guards against unbounded growth, and against a key that is dispatched again while its outcome is
// retained.
TEST(ledger, trimsByCountAndTime)
{
    const auto job = submit();
    commit(cancel_job {job}, wall_ms {1000});
    const auto kept = submit(sampleJob(), "kept");
    commit(cancel_job {kept}, wall_ms {5000});
    commit(record_outcome {
            {{"moreton", "k"},
             commit(record_intent {{{"moreton", "k"}, 7, "entry-1", 1}}).intent.attempt,
             request_outcome::Ran,
             {}}});
    LONGS_EQUAL(1, commit(trim_finished {1, wall_ms {0}}).value);
    CHECK_FALSE(state->findJob(job).has_value());
    CHECK_TRUE(state->findJob(kept).has_value());
    CHECK_TRUE(commit(record_intent {{{"moreton", "k"}, 7, "entry-1", 1}}).intent.decision
               == intent_decision::Stored);
    LONGS_EQUAL(2, commit(trim_finished {1, wall_ms {6000}}, wall_ms {7000}).value);
    LONGS_EQUAL(0, state->data().intents.size());
}
