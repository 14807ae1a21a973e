#include "fixture.h"

using namespace persimmon;
using namespace persimmon::batch;

TEST_GROUP(Ledger)
{
    ledger state;

    void accept(const step_spec &step, std::uint32_t attempts = 2)
    {
        queue source;
        source.name = "q";
        source.pool = "pool";
        source.attempts = attempts;
        state.apply(accept_job {"a", "tenant", source, {"work", {step}, 1, 0, 0}, 10});
    }

    void start(std::uint32_t index, std::uint32_t run)
    {
        state.apply(start_runs {{{{"a", 0, 0, index}, run, "w" + std::to_string(index), 1}}, 15});
    }

    void end(std::uint32_t index, std::uint32_t run, end_kind kind,
             const std::string &checkpoint = {})
    {
        state.apply(end_runs {{{{"a", 0, 0, index}, run, kind, checkpoint}}, 20});
    }

    const task_state &task(std::uint32_t index)
    {
        return state.findJob("a")->taskOf({"a", 0, 0, index});
    }
};

// Guards against two active runs of a task.
TEST(Ledger, refusesRunWhileOneIsActive)
{
    accept(leader_fixture::tasks(1, 1));
    start(0, 1);
    start(0, 2);
    CHECK_EQUAL(1, task(0).run);
}

// Guards against applying the end of an earlier run to the current run.
TEST(Ledger, ignoresEndOfEarlierRun)
{
    accept(leader_fixture::tasks(1, 1));
    start(0, 1);
    end(0, 1, end_kind::Lapsed);
    start(0, 2);
    end(0, 1, end_kind::Done);
    CHECK_TRUE(task(0).active);
    CHECK_FALSE(task(0).done);
}

// Guards against a job that is done before all its tasks are.
TEST(Ledger, jobIsDoneAfterAllTasks)
{
    accept(leader_fixture::tasks(2, 1));
    start(0, 1);
    start(1, 1);
    end(0, 1, end_kind::Done);
    CHECK_TRUE(state.findJob("a")->state == job_state::Running);
    end(1, 1, end_kind::Done);
    CHECK_TRUE(state.findJob("a")->state == job_state::Done);
}

// Guards against a gang that is restarted although one of its members has ended as done.
TEST(Ledger, gangIsDoneWhenOneMemberIsDone)
{
    auto step = leader_fixture::tasks(2, 1);
    step.gang = true;
    accept(step);
    start(0, 1);
    start(1, 1);
    end(0, 1, end_kind::Done);
    CHECK_TRUE(state.findJob("a")->state == job_state::Done);
    CHECK_EQUAL(1, state.runsOn("w1").size());
    end(1, 1, end_kind::Done);
    CHECK_EQUAL(0, state.runsOn("w1").size());
}

// Guards against a gang that fails too early: all failures within one run count as one attempt.
TEST(Ledger, failuresOfOneGangRunCountOnce)
{
    auto step = leader_fixture::tasks(2, 1);
    step.gang = true;
    accept(step);
    start(0, 1);
    start(1, 1);
    end(0, 1, end_kind::Failed);
    end(1, 1, end_kind::Failed);
    CHECK_TRUE(state.findJob("a")->state == job_state::Running);
    start(0, 2);
    end(0, 2, end_kind::Failed);
    CHECK_TRUE(state.findJob("a")->state == job_state::Failed);
}

// Guards against counting stops and lapsed leases as failed attempts.
TEST(Ledger, onlyFailuresCountAsAttempts)
{
    accept(leader_fixture::tasks(1, 1), 1);
    for (std::uint32_t run = 1; run < 5; ++run) {
        start(0, run);
        end(0, run, run % 2 == 0 ? end_kind::Lapsed : end_kind::Stopped);
    }
    CHECK_TRUE(state.findJob("a")->state == job_state::Running);
}

// Guards against replacing the configuration by an older version.
TEST(Ledger, keepsHighestConfiguration)
{
    configuration newer;
    newer.version = 5;
    configuration older;
    older.version = 4;
    state.apply(set_configuration {newer});
    state.apply(set_configuration {older});
    CHECK_EQUAL(5, state.currentConfiguration().version);
}

// Guards against state that is missing from a snapshot.
TEST(Ledger, snapshotRestoresEverything)
{
    auto step = leader_fixture::tasks(3, 1);
    step.checkpointable = true;
    accept(step);
    start(0, 1);
    start(1, 1);
    end(0, 1, end_kind::Stopped, "saved-1");
    ledger other;
    CHECK_FALSE(failed(other.restore(state.snapshot())));
    STRCMP_EQUAL("saved-1", other.findJob("a")->taskOf({"a", 0, 0, 0}).checkpoint.c_str());
    CHECK_EQUAL(1, other.runsOn("w1").size());
    CHECK_TRUE(other.snapshot() == state.snapshot());
}

// Guards against losing the count of crashes in a snapshot.
TEST(Ledger, snapshotRestoresLosses)
{
    accept(leader_fixture::tasks(1, 1));
    start(0, 1);
    state.apply(record_losses {{{{"a", 0, 0, 0}, 1, run_loss::Crashed, true}}, 20});
    ledger other;
    CHECK_FALSE(failed(other.restore(state.snapshot())));
    CHECK_EQUAL(1, other.countedLosses({"a", 0, 0, 0}));
    CHECK_TRUE(other.snapshot() == state.snapshot());
}

// Guards against an upgrade that can't read what the version before has stored.
TEST(Ledger, readsSnapshotWithoutLosses)
{
    accept(leader_fixture::tasks(2, 1));
    start(0, 1);
    auto bytes = state.snapshot();
    bytes.at(1) = std::byte {2}; // the format follows the byte order
    bytes.resize(bytes.size() - sizeof(std::uint64_t)); // the number of losses
    ledger other;
    CHECK_FALSE(failed(other.restore(bytes)));
    CHECK_EQUAL(1, other.runsOn("w0").size());
    CHECK_EQUAL(0, other.losses().size());
}

// Guards against an upgrade after which all running jobs count as waiting: earlier versions didn't
// store which of them have begun. They read a snapshot that tells it, and go on.
TEST(Ledger, readsSnapshotsWithAndWithoutUnbegunJobs)
{
    accept(leader_fixture::tasks(2, 1));
    start(0, 1);
    const auto bytes = state.snapshot();
    ledger other;
    CHECK_FALSE(failed(other.restore(bytes)));
    CHECK_EQUAL(1, other.unbegunJobs().count("a"));
    end(0, 1, end_kind::Refused);
    CHECK_EQUAL(1, state.unbegunJobs().count("a"));
    start(1, 1);
    end(1, 1, end_kind::Stopped);
    CHECK_EQUAL(0, state.unbegunJobs().size());
    const auto begun = state.snapshot();
    CHECK_FALSE(failed(other.restore(begun)));
    CHECK_EQUAL(0, other.unbegunJobs().size());
    // The section follows the snapshot as earlier versions write and read it.
    ledger unsectioned;
    const std::size_t sectionBytes = 2 + 2 * sizeof(std::uint64_t) + 1; // one id of one letter
    CHECK_FALSE(failed(unsectioned.restore({bytes.data(), bytes.size() - sectionBytes})));
    CHECK_EQUAL(0, unsectioned.unbegunJobs().size());
    CHECK_EQUAL(1, unsectioned.runsOn("w0").size());
    auto later = bytes;
    later.insert(later.end(), {std::byte {1}, std::byte {99}, std::byte {7}});
    CHECK_FALSE(failed(other.restore(later))); // with a section of a later version
    CHECK_TRUE(other.snapshot() == bytes);
    auto cut = bytes;
    cut.pop_back();
    CHECK_TRUE(failed(other.restore(cut)));
}

// Guards against a section of the snapshot that hides the next one.
TEST(Ledger, snapshotRestoresCancellationsBesideUnbegunJobs)
{
    accept(leader_fixture::tasks(1, 1));
    start(0, 1);
    queue source;
    source.host = "host";
    state.apply(record_cancellation {{source, "tenant", "b"}, 30});
    ledger other;
    CHECK_FALSE(failed(other.restore(state.snapshot())));
    CHECK_EQUAL(1, other.unbegunJobs().size());
    CHECK_EQUAL(1, other.cancellations().count({source, "tenant", "b"}));
    CHECK_TRUE(other.snapshot() == state.snapshot());
}

// Guards against deciding by what was known when a command was proposed: which of a submission and
// its cancelling came first shows where they are applied. Another caller's job stays.
TEST(Ledger, tellsWhichOfASubmissionAndItsCancellingCameFirst)
{
    queue source;
    source.host = "host";
    const auto submit = [&](const std::string &id) {
        return state.apply(accept_job {id, "tenant", source, {"work", {{}}, 1, 0, 0}, 10});
    };
    const auto cancel = [&](const std::string &owner, const std::string &id) {
        return state.apply(record_cancellation {{source, owner, id}, 20});
    };
    CHECK_FALSE(failed(cancel("tenant", "a")));
    const auto refused = submit("a");
    CHECK_TRUE(failed(refused) && errorOf(refused).code == result_code::Cancelled);
    CHECK_TRUE(state.findJob("a") == nullptr);
    CHECK_FALSE(failed(submit("b")));
    const auto known = cancel("tenant", "b");
    CHECK_TRUE(failed(known) && errorOf(known).code == result_code::KeyReused);
    CHECK_FALSE(failed(cancel("other", "b")));
    CHECK_TRUE(state.findJob("b")->state == job_state::Queued);
}

// Guards against a leader that can't tell after a restart whose loss it was, and against a snapshot
// that earlier versions can't read: what names the workers follows what they know.
TEST(Ledger, snapshotRestoresTheWorkersOfSuspectedRuns)
{
    accept(leader_fixture::tasks(1, 1));
    start(0, 1);
    const lost_run lost {{"a", 0, 0, 0}, 1, run_loss::Suspected, true};
    state.apply(record_losses {{lost}, 20});
    ledger other;
    CHECK_FALSE(failed(other.restore(state.snapshot())));
    CHECK_EQUAL(1, other.suspectedRuns("w0").count({lost.task, 1}));
    CHECK_EQUAL(1, other.losses().at(lost.task).runs.at(1).incarnation);
    CHECK_TRUE(other.snapshot() == state.snapshot());
    auto excused = lost;
    excused.kind = run_loss::Excused;
    other.apply(record_losses {{excused}, 20});
    CHECK_EQUAL(0, other.suspectedRuns("w0").size());
    // One entry: a job's id of one letter, a worker's of two, and their numbers.
    const std::size_t sectionBytes = 2 + 4 * sizeof(std::uint64_t) + 4 * sizeof(std::uint32_t) + 3;
    auto unsectioned = state.snapshot();
    unsectioned.resize(unsectioned.size() - sectionBytes);
    CHECK_FALSE(failed(other.restore(unsectioned)));
    CHECK_EQUAL(1, other.countedLosses(lost.task));
    CHECK_EQUAL(0, other.suspectedRuns("w0").size());
}

// Guards against suspicions that outlive the job.
TEST(Ledger, endedJobsHaveNoSuspectedRuns)
{
    accept(leader_fixture::tasks(1, 1));
    start(0, 1);
    state.apply(record_losses {{{{"a", 0, 0, 0}, 1, run_loss::Suspected, true}}, 20});
    CHECK_EQUAL(1, state.suspectedRuns("w0").size());
    state.apply(cancel_job {"a", 30});
    CHECK_EQUAL(0, state.suspectedRuns("w0").size());
    CHECK_EQUAL(0, state.losses().size());
}

// Guards against a record that grows for as long as a task lasts.
TEST(Ledger, excusedLossesOfATaskAreBounded)
{
    accept(leader_fixture::tasks(1, 1));
    for (std::uint32_t run = 1; run <= 100; ++run) {
        start(0, run);
        for (const auto kind : {run_loss::Suspected, run_loss::Excused})
            state.apply(record_losses {{{{"a", 0, 0, 0}, run, kind, true}}, 20});
        end(0, run, end_kind::Lost);
    }
    const auto &runs = state.losses().at({"a", 0, 0, 0}).runs;
    CHECK_EQUAL(16, runs.size());
    CHECK_EQUAL(100, runs.rbegin()->first);
    CHECK_TRUE(state.findJob("a")->state == job_state::Running);
}

// Guards against a count that grows when a loss is recorded again, as a new leader may do.
TEST(Ledger, countsTheLossOfARunOnce)
{
    accept(leader_fixture::tasks(1, 1));
    start(0, 1);
    const lost_run lost {{"a", 0, 0, 0}, 1, run_loss::Suspected, true};
    for (int i = 0; i < 6; ++i)
        state.apply(record_losses {{lost}, 20});
    CHECK_EQUAL(1, state.countedLosses({"a", 0, 0, 0}));
    CHECK_TRUE(state.findJob("a")->state == job_state::Running);
}

// Guards against counting what was excused, and against blaming a run again after its excuse.
TEST(Ledger, excusedLossesDontCount)
{
    accept(leader_fixture::tasks(1, 1));
    for (std::uint32_t run = 1; run <= 6; ++run) {
        start(0, run);
        for (const auto kind : {run_loss::Suspected, run_loss::Excused, run_loss::Crashed})
            state.apply(record_losses {{{{"a", 0, 0, 0}, run, kind, true}}, 20});
        end(0, run, end_kind::Lost);
    }
    CHECK_EQUAL(0, state.countedLosses({"a", 0, 0, 0}));
    CHECK_TRUE(state.findJob("a")->state == job_state::Running);
}

// Guards against blaming a task for crashes of workers that it always shared with other jobs.
TEST(Ledger, sharedCrashesAreConclusiveLater)
{
    accept(leader_fixture::tasks(1, 1));
    for (std::uint32_t run = 1; run <= 4; ++run) {
        CHECK_TRUE(state.findJob("a")->state != job_state::Failed);
        start(0, run);
        state.apply(record_losses {{{{"a", 0, 0, 0}, run, run_loss::Crashed, false}}, 20});
        end(0, run, end_kind::Lost);
    }
    CHECK_TRUE(state.findJob("a")->state == job_state::Failed);
    CHECK_EQUAL(0, state.losses().size());
}

// Guards against a crash when a damaged snapshot is restored.
TEST(Ledger, refusesDamagedSnapshot)
{
    accept(leader_fixture::tasks(3, 1));
    auto bytes = state.snapshot();
    bytes.resize(bytes.size() / 2);
    ledger other;
    CHECK_TRUE(failed(other.restore(bytes)));
    CHECK_TRUE(other.findJob("a") == nullptr);
}

// Guards against waves that accumulate behind one that never completes.
TEST(Ledger, evictsCompletedWavesBehindAStuckOne)
{
    state.apply(start_wave {{1, {"stuck"}, 1000, 1}, 10});
    for (std::uint64_t id = 2; id < 200; ++id)
        state.apply(start_wave {{id, {}, 1000, 1}, 10});
    CHECK_TRUE(state.waves().size() <= 64);
    CHECK_TRUE(state.waves().contains(1));
    CHECK_TRUE(state.waves().contains(199));
}
