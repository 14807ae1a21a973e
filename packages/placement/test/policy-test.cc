#include "driver.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::placement;
using namespace persimmon::placement::test;

namespace {

guarantee rows(std::uint32_t workers, std::uint32_t accelerators, std::uint32_t count)
{
    return {"gpu", {workers, accelerators}, count};
}

// Ends the attempts that the last event preempted, as the control group reports it.
void stopPreempted(driver &run)
{
    const auto actions = run.last;
    for (const auto &item : actions) {
        if (const auto *preempted = std::get_if<preempt_job>(&item)) {
            run.end(toNumber(preempted->job), attempt_end::Preempted);
        }
    }
}

std::uint32_t usedBy(const driver &run, const std::string &name)
{
    for (const auto &row : run.core->workspaceUsage()) {
        if (row.workspace == name) {
            return row.used;
        }
    }
    return 0;
}

} // namespace

TEST_GROUP(guarantees) {};

// Guards against lent cells that their owner can't reclaim in one step.
TEST(guarantees, ownerReclaimsLentCells)
{
    driver run;
    run.addRacks(1);
    run.guarantees({{"owner", {rows(8, 8, 1)}}});
    for (std::uint64_t job = 1; job <= 8; ++job) {
        run.submit(job, 1, 8, "other");
        CHECK_TRUE(run.running[job].borrowed);
    }
    run.submit(9, 8, 8, "owner");
    LONGS_EQUAL(8, run.count<preempt_job>());
    CHECK_TRUE(run.get<preempt_job>().deadline == milliseconds(2000));
    stopPreempted(run);
    LONGS_EQUAL(8, run.running[9].workers.size());
    LONGS_EQUAL(64, usedBy(run, "owner"));
}

// Guards against lending to jobs that can't be preempted.
TEST(guarantees, jobsThatCannotRepeatDoNotBorrow)
{
    driver run;
    run.addRacks(1);
    run.guarantees({{"owner", {rows(8, 8, 1)}}});
    run.submit(1, 1, 8, "other", false);
    CHECK_TRUE(run.get<job_waits>().reason == wait_reason::GuaranteeHeld);
}

// Guards against guarantees that stay bound to workers that have left.
TEST(guarantees, moveToOtherWorkersWhenTheirsLeave)
{
    driver run;
    run.addRacks(2);
    run.guarantees({{"owner", {rows(4, 8, 1)}}});
    run.submit(1, 4, 8, "owner");
    const auto first = run.running[1].workers;
    run.send(worker_left {first[0]});
    run.end(1, attempt_end::WorkerLost, first[0]);
    LONGS_EQUAL(4, run.running[1].workers.size());
    for (const auto &worker : run.running[1].workers) {
        CHECK_TRUE(worker != first[0]);
    }
    CHECK_FALSE(run.running[1].borrowed);
}

// Guards against tables whose guarantees exceed the capacity of the healthy workers.
TEST(guarantees, tableThatDoesNotFitIsRejected)
{
    driver run;
    run.addRacks(1);
    workspace owner;
    owner.name = "owner";
    owner.guarantees = {rows(8, 8, 1), rows(1, 4, 2)};
    const std::vector<pool> pools {{.name = "gpu"}};
    const auto outcome = run.core->validate(pools, {&owner, 1});
    CHECK_TRUE(errorOf(outcome).code == result_code::GuaranteeUnbindable);
    CHECK_TRUE(errorOf(outcome).detail.find("owner: gpu:1x4 (2") != std::string::npos);
    owner.guarantees = {rows(4, 8, 1), rows(1, 4, 8)};
    CHECK_FALSE(failed(run.core->validate(pools, {&owner, 1})));
}

TEST_GROUP(policy) {};

// Guards against urgent jobs that wait behind preemptible ones.
TEST(policy, urgentJobsPreemptOthers)
{
    driver run;
    run.addRacks(1);
    run.submit(1, 8, 8);
    run.submit(2, 1, 8, "urgent", true, priority_class::Urgent);
    CHECK_TRUE(run.find<preempt_job>() != nullptr);
    stopPreempted(run);
    LONGS_EQUAL(1, run.running[2].workers.size());
}

// Guards against starvation of large gangs by small jobs.
TEST(policy, largeGangGetsAReservation)
{
    driver run;
    run.addRacks(1);
    for (std::uint64_t job = 1; job <= 8; ++job) {
        run.submit(job, 1, 8, "small");
    }
    run.submit(100, 8, 8, "large");
    run.wait(milliseconds(31000));
    for (std::uint64_t job = 1; job <= 8; ++job) {
        run.submit(job + 10, 1, 8, "small");
        run.end(job);
        CHECK_EQUAL(0, run.running.count(job + 10));
    }
    LONGS_EQUAL(8, run.running[100].workers.size());
}

// Guards against faulty workers that fail every job, and against attributing their failures to the
// jobs.
TEST(policy, badWorkerIsQuarantinedAndReturns)
{
    driver run;
    run.join("w1", {"r", "a", "1"});
    for (std::uint64_t job = 1; job <= 3; ++job) {
        run.submit(job, 1, 8);
        run.end(job, attempt_end::TaskFailed, "w1");
        if (job < 3) {
            run.send(job_cancelled {job_id {job}});
            run.end(job, attempt_end::Cancelled);
        }
    }
    CHECK_TRUE(run.get<worker_quarantined>().duration == milliseconds(60000));
    run.wait(milliseconds(59000));
    LONGS_EQUAL(1, run.running[3].attempt);
    run.wait(milliseconds(1000));
    LONGS_EQUAL(2, run.running[3].attempt); // the probe
    run.end(3, attempt_end::TaskFailed, "w1");
    CHECK_TRUE(run.get<worker_quarantined>().duration == milliseconds(120000));
    run.wait(milliseconds(120000));
    run.end(3);
    STRCMP_EQUAL("w1", run.get<worker_readmitted>().worker.c_str());
}

// Guards against unlimited retries of a faulty job.
TEST(policy, jobThatFailsOnDistinctWorkersEnds)
{
    driver run;
    run.addRacks(1);
    run.submit(1, 1, 8);
    for (int attempt = 0; attempt < 3; ++attempt) {
        run.end(1, attempt_end::TaskFailed, run.running[1].workers[0]);
    }
    CHECK_TRUE(run.get<end_job>().code == result_code::CannotRun);
}

// Guards against a job that waits forever because it exceeds the quota of its workspace.
TEST(policy, jobOverItsQuotaEnds)
{
    driver run;
    run.addRacks(1);
    workspace owner;
    owner.name = "w";
    owner.quotaAccelerators = 8;
    run.send(tables_changed {{{.name = "gpu"}}, {owner}});
    run.submit(1, 2, 8);
    CHECK_TRUE(run.get<end_job>().code == result_code::QuotaExceeded);
    run.submit(2, 1, 8);
    run.submit(3, 1, 8);
    CHECK_TRUE(run.get<job_waits>().reason == wait_reason::QuotaReached);
}

// Guards against bulk cancellations that leave resources allocated or end a job twice.
TEST(policy, bulkCancellationFreesAllResources)
{
    driver run;
    run.addRacks(2);
    for (std::uint64_t job = 1; job <= 40; ++job) {
        run.submit(job, 1, 8);
    }
    std::size_t ended = 0;
    for (std::uint64_t job = 40; job >= 1; --job) {
        run.send(job_cancelled {job_id {job}});
        ended += run.count<end_job>();
        run.send(job_cancelled {job_id {job}});
        LONGS_EQUAL(0, run.last.size());
    }
    for (std::uint64_t job = 1; job <= 16; ++job) {
        run.end(job, attempt_end::Cancelled);
        ended += run.count<end_job>();
        run.end(job, attempt_end::Completed); // late
        LONGS_EQUAL(0, run.last.size());
    }
    LONGS_EQUAL(40, ended);
    LONGS_EQUAL(0, run.core->poolUsage()[0].used);
}

TEST_GROUP(rebuild) {};

// Guards against a new leader whose rebuilt state loses a guarantee in use or treats used workers
// as free.
TEST(rebuild, givesEqualUsageAndDecisions)
{
    driver original;
    driver rebuilt;
    original.addRacks(3);
    rebuilt.addRacks(3);
    const std::map<std::string, std::vector<guarantee>> table {
            {"owner", {rows(8, 8, 1), rows(2, 4, 1)}}};
    original.guarantees(table);
    rebuilt.guarantees(table);
    std::map<std::uint64_t, job_spec> specs;
    for (std::uint64_t job = 1; job <= 9; ++job) {
        const auto *owner = job % 2 == 0 ? "owner" : "other";
        original.submit(job, job == 8 ? 8 : 2, job % 3 == 0 ? 4 : 8, owner);
        job_spec spec;
        spec.workspace = owner;
        spec.pool = "gpu";
        spec.tasks = job == 8 ? 8 : 2;
        spec.task.accelerators = job % 3 == 0 ? 4 : 8;
        spec.task.cores = spec.task.accelerators;
        spec.task.memoryMb = spec.task.accelerators * 1024;
        rebuilt.send(job_restored {job_id {job}, spec, 1, original.running[job].workers, true});
    }
    for (const auto *name : {"owner", "other"}) {
        LONGS_EQUAL(usedBy(original, name), usedBy(rebuilt, name));
    }
    for (std::uint64_t job = 20; job < 30; ++job) {
        const auto before = original.submit(job, 2, 8, "owner");
        const auto after = rebuilt.submit(job, 2, 8, "owner");
        CHECK_EQUAL(before.size(), after.size());
        CHECK_TRUE(original.running[job].workers == rebuilt.running[job].workers);
    }
}
