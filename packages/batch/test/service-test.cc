#include "fixture.h"

using namespace persimmon;
using namespace persimmon::batch;

TEST_GROUP(Service)
{
    leader_fixture leader;

    result_code submitCode(const caller &from)
    {
        job_spec spec;
        spec.steps = {leader_fixture::tasks(1, 1)};
        result_code code = result_code::Internal;
        leader.queues.submit(leader.wallMs, from, spec, [&](const status &done) {
            code = failed(done) ? errorOf(done).code : result_code::Ok;
        });
        return code;
    }

    result_code cancelCode(const caller &from)
    {
        result_code code = result_code::Internal;
        leader.queues.cancel(leader.wallMs, from, [&](const status &done) {
            code = failed(done) ? errorOf(done).code : result_code::Ok;
        });
        return code;
    }

    std::size_t waitingJobs()
    {
        std::size_t count = 99;
        leader.queues.countWaiting({"host", "/q1/", ""}, [&](const result<std::size_t> &found) {
            count = valueOf(found);
        });
        return count;
    }

    job_state shownState(const std::string &id)
    {
        result<job_state> outcome = error {};
        leader.queues.find({"host", "/q1/" + id, ""},
                           [&](const result<job_state> &found) { outcome = found; });
        CHECK_FALSE(failed(outcome));
        return valueOf(outcome);
    }

    result_code configureCode(const configuration &value)
    {
        result_code code = result_code::Internal;
        leader.queues.configure(value, [&](const status &done) {
            code = failed(done) ? errorOf(done).code : result_code::Ok;
        });
        return code;
    }
};

// Guards against a wrong result code, because clients handle each code differently.
TEST(Service, refusesWithTheRightCode)
{
    CHECK_TRUE(submitCode({"host", "/q1/a", ""}) == result_code::NotReady);
    leader.configure(1);
    CHECK_TRUE(submitCode({"host", "/other/a", ""}) == result_code::NoRoute);
    CHECK_TRUE(submitCode({"other", "/q1/a", ""}) == result_code::NoRoute);
    CHECK_TRUE(submitCode({"host", "/q1/a", ""}) == result_code::Ok);
}

// Guards against requests that are accepted with a key that no tenant has any longer.
TEST(Service, checksKeys)
{
    configuration value;
    value.version = 1;
    value.queues = {{"q", "host", "/q/", "pool", 1, 1, 1.0, 1, false, 0}};
    value.tenants = {{"owner", {"key"}, 0}};
    CHECK_TRUE(configureCode(value) == result_code::Ok);
    CHECK_TRUE(submitCode({"host", "/q/a", "key"}) == result_code::Ok);
    value.version = 2;
    value.tenants.front().keys = {"next"};
    CHECK_TRUE(configureCode(value) == result_code::Ok);
    CHECK_TRUE(submitCode({"host", "/q/b", "key"}) == result_code::UnknownWorkspace);
    CHECK_TRUE(submitCode({"host", "/q/b", "next"}) == result_code::Ok);
}

// Guards against a second job with the same id.
TEST(Service, acceptsResubmittedJobOnce)
{
    leader.configure(1);
    CHECK_TRUE(submitCode({"host", "/q1/a", ""}) == result_code::Ok);
    CHECK_TRUE(submitCode({"host", "/q1/a", ""}) == result_code::Ok);
    CHECK_EQUAL(1, leader.state.jobCount());
}

// Guards against an invalid configuration that is acknowledged because its version is old.
TEST(Service, refusesInvalidConfigurationOfAnyVersion)
{
    leader.configure(1);
    configuration value;
    value.version = 1;
    value.tenants = {{"a", {"key"}, 0}, {"b", {"key"}, 0}};
    CHECK_TRUE(configureCode(value) == result_code::InvalidTable);
    value = {};
    value.version = 9;
    value.queues = {{"q", "host", "/q/", "pool", 1, 1, 1.0, 1, false, 0},
                    {"p", "host", "/q/", "pool", 1, 1, 1.0, 1, false, 0}};
    CHECK_TRUE(configureCode(value) == result_code::InvalidTable);
    CHECK_EQUAL(1, leader.state.currentConfiguration().version);
}

// Guards against NotFound without confirmation by a quorum.
TEST(Service, unknownJobIsNotFound)
{
    leader.configure(1);
    result<job_state> outcome = job_state::Done;
    leader.queues.find({"host", "/q1/x", ""},
                       [&](const result<job_state> &found) { outcome = found; });
    CHECK_TRUE(errorOf(outcome).code == result_code::NotFound);
}

// Guards against a count of waiting jobs that misses jobs, falls before their runs have begun on a
// worker, or doesn't fall then.
TEST(Service, countsWaitingJobs)
{
    leader.configure(1);
    submitCode({"host", "/q1/a", ""});
    submitCode({"host", "/q1/b", ""});
    CHECK_EQUAL(2, waitingJobs());
    leader.sendHeartbeat(leader.report("w1"));
    leader.advance(100);
    CHECK_EQUAL(2, leader.state.runsOn("w1").size());
    CHECK_EQUAL(2, waitingJobs());
    auto running = leader.report("w1");
    running.running.push_back({{"a", 0, 0, 0}, 1, "", 10, 0});
    leader.sendHeartbeat(running);
    CHECK_EQUAL(1, waitingJobs());
    running.running.push_back({{"b", 0, 0, 0}, 1, "", 10, 0});
    leader.sendNextHeartbeat(running);
    CHECK_EQUAL(0, waitingJobs());
}

// Guards against a count that leaves out jobs that were placed on a lost worker and then wait: they
// have never begun, as every later leader knows.
TEST(Service, countsJobsThatWerePlacedButNeverBegan)
{
    leader.configure(1);
    leader.sendHeartbeat(leader.report("w1"));
    submitCode({"host", "/q1/a", ""});
    leader.advance(100);
    CHECK_EQUAL(1, leader.sendHeartbeat(leader.report("w1")).starts.size());
    for (int ms = 0; ms < 6000; ms += 100) {
        CHECK_EQUAL(1, waitingJobs());
        leader.advance(100);
    }
    CHECK_EQUAL(0, leader.state.runsOn("w1").size());
    CHECK_TRUE(shownState("a") == job_state::Queued);
    leader.workers.endTerm();
    leader.workers.beginTerm(2, leader.now);
    CHECK_EQUAL(1, waitingJobs());
    CHECK_FALSE(failed(leader.state.restore(leader.state.snapshot())));
    CHECK_EQUAL(1, waitingJobs());
}

// Guards against counting jobs again whose runs have begun and were lost with their worker.
TEST(Service, countsNoJobThatHasBegunAndWaitsAgain)
{
    const auto running = leader.startOnWorker(leader_fixture::tasks(1, 1));
    for (int ms = 0; ms < 6000; ms += 100)
        leader.advance(100);
    CHECK_EQUAL(0, leader.state.runsOn("w1").size());
    CHECK_EQUAL(0, waitingJobs());
    CHECK_TRUE(shownState("a") == job_state::Running);
    leader.workers.endTerm();
    leader.workers.beginTerm(2, leader.now);
    CHECK_EQUAL(0, waitingJobs());
}

// Guards against a count that jumps up with each change of the leader, until all workers have
// reported, and against one that trusts in an earlier leader for longer than a count may be old.
TEST(Service, newLeaderWaitsForReportsBeforeItCountsRuns)
{
    auto running = leader.startOnWorker(leader_fixture::tasks(1, 1));
    leader.workers.endTerm();
    leader.workers.beginTerm(2, leader.now);
    CHECK_EQUAL(0, waitingJobs());
    leader.advance(2100);
    CHECK_EQUAL(1, waitingJobs());
    leader.sendNextHeartbeat(running);
    CHECK_EQUAL(0, waitingJobs());
}

// Guards against a count that leaves out the jobs that a queue took under an earlier name.
TEST(Service, countsWaitingJobsOfARenamedQueue)
{
    leader.configure(1);
    submitCode({"host", "/q1/a", ""});
    configuration value;
    value.version = 99;
    value.queues = {{"renamed", "host", "/q1/", "pool", 1, 1, 1.0, 1, true, 0}};
    CHECK_TRUE(configureCode(value) == result_code::Ok);
    CHECK_EQUAL(1, waitingJobs());
}

// Guards against a cancel of another job than the one that is found under the same path: ids may
// contain a slash.
TEST(Service, cancelsJobsWhoseIdContainsASlash)
{
    leader.configure(1);
    leader.submit("/q1/a/b", leader_fixture::tasks(1, 1));
    leader.submit("/q1/b", leader_fixture::tasks(1, 1));
    leader.queues.cancel(leader.wallMs, {"host", "/q1/a/b", ""}, [](const status &) {});
    CHECK_TRUE(leader.stateOf("a/b") == job_state::Cancelled);
    CHECK_TRUE(leader.stateOf("b") == job_state::Queued);
}

// Guards against a withdrawn key that is accepted again after a restart: the state is restored from
// a snapshot, and an older configuration may follow in the log.
TEST(Service, keyWithdrawnBeforeARestartIsRefused)
{
    configuration withBoth;
    withBoth.version = 1;
    withBoth.queues = {{"q", "host", "/private/", "pool", 1, 1, 1.0, 1, false, 0}};
    withBoth.tenants = {{"owner", {"old", "new"}, 0}};
    auto withdrawn = withBoth;
    withdrawn.version = 2;
    withdrawn.tenants.front().keys = {"new"};
    CHECK_TRUE(configureCode(withBoth) == result_code::Ok);
    CHECK_TRUE(configureCode(withdrawn) == result_code::Ok);
    leader_fixture restarted;
    CHECK_FALSE(failed(restarted.state.restore(leader.state.snapshot())));
    restarted.commit(set_configuration {withBoth});
    const auto codeOf = [&](std::string_view key) {
        result_code code = result_code::Internal;
        job_spec spec;
        spec.steps = {leader_fixture::tasks(1, 1)};
        const auto path = "/private/" + std::string(key);
        restarted.queues.submit(restarted.wallMs, {"host", path, key}, spec,
                                [&](const status &done) {
                                    code = failed(done) ? errorOf(done).code : result_code::Ok;
                                });
        return code;
    };
    CHECK_TRUE(codeOf("old") == result_code::UnknownWorkspace);
    CHECK_TRUE(codeOf("new") == result_code::Ok);
}

// Guards against a job that ends each leader in turn: the number of its tasks overflows and passes
// the limit, and no memory can hold them.
TEST(Service, refusesJobsWhoseTaskCountOverflows)
{
    job_spec spec;
    spec.occurrences = 0x80000000;
    spec.steps = {leader_fixture::tasks(0xffffffff, 1), leader_fixture::tasks(0xffffffff, 1),
                  leader_fixture::tasks(2, 1)}; // 2^64 tasks
    CHECK_TRUE(failed(checkJob(spec)));
    spec.occurrences = 0xffffffff;
    CHECK_TRUE(failed(checkJob(spec)));
    spec.occurrences = 1;
    spec.steps = {leader_fixture::tasks(20'000, 1)};
    CHECK_FALSE(failed(checkJob(spec)));
}

// Guards against a job without an id, or with one that no task name can hold: the heartbeats of the
// workers that run it are refused, so it takes one worker after the other.
TEST(Service, refusesIdsThatNoTaskNameCanHold)
{
    leader.configure(1);
    for (const auto &id : {std::string(), std::string("a b"), std::string("a\n"),
                           std::string("\xff"), std::string(201, 'a')})
        CHECK_TRUE(submitCode({"host", "/q1/" + id, ""}) == result_code::InvalidValue);
    CHECK_TRUE(submitCode({"host", "/q1/5c0e7a21d94b36f8", ""}) == result_code::Ok);
}

// Guards against a job that is confirmed but never stored: others are handed in under its id before
// it is committed.
TEST(Service, oneOfTheJobsHandedInUnderOneIdIsAccepted)
{
    configuration value;
    value.version = 1;
    value.queues = {{"q1", "host", "/q1/", "pool", 1, 1, 1.0, 1, false, 0},
                    {"q2", "host", "/q2/", "pool", 1, 1, 1.0, 1, false, 0}};
    value.tenants = {{"owner", {"key"}, 0}, {"other", {"else"}, 0}};
    CHECK_TRUE(configureCode(value) == result_code::Ok);
    service queues(leader.state, leader.workers,
                   [&](const command &input, std::function<void(status)> done) {
                       leader.heldCommits.emplace_back(input, std::move(done));
                   });
    std::vector<result_code> codes;
    const auto submit = [&](const caller &from, std::uint32_t tasks) {
        job_spec spec;
        spec.steps = {leader_fixture::tasks(tasks, 1)};
        queues.submit(leader.wallMs, from, spec, [&](const status &done) {
            codes.push_back(failed(done) ? errorOf(done).code : result_code::Ok);
        });
    };
    submit({"host", "/q1/a", "key"}, 1);
    submit({"host", "/q1/a", "key"}, 1); // sent again
    submit({"host", "/q1/a", "else"}, 1);
    submit({"host", "/q2/a", "key"}, 1);
    submit({"host", "/q1/a", "key"}, 2);
    CHECK_TRUE(codes.empty());
    leader.releaseHeld();
    const std::vector<result_code> expected {result_code::Ok, result_code::Ok,
                                             result_code::KeyReused, result_code::KeyReused,
                                             result_code::KeyReused};
    CHECK_TRUE(expected == codes);
    CHECK_EQUAL(1, leader.state.jobCount());
}

// Guards against a job that runs although its caller was told that none exists: its cancelling has
// overtaken its submission. That holds for every later leader, and for no other caller.
TEST(Service, jobThatWasCancelledBeforeItArrivesIsRefused)
{
    configuration value;
    value.version = 1;
    value.queues = {{"q1", "host", "/q1/", "pool", 1, 1, 1.0, 1, false, 0},
                    {"q2", "host", "/q2/", "pool", 1, 1, 1.0, 1, false, 0},
                    {"open", "host", "/open/", "pool", 1, 1, 1.0, 1, true, 0}};
    value.tenants = {{"owner", {"key"}, 0}, {"other", {"else"}, 0}};
    CHECK_TRUE(configureCode(value) == result_code::Ok);
    CHECK_TRUE(cancelCode({"host", "/q1/a", "key"}) == result_code::NotFound);
    CHECK_TRUE(submitCode({"host", "/q1/a", "key"}) == result_code::Cancelled);
    CHECK_TRUE(cancelCode({"host", "/q1/a", "key"}) == result_code::NotFound);
    CHECK_TRUE(cancelCode({"host", "/open/b", ""}) == result_code::NotFound);
    CHECK_TRUE(submitCode({"host", "/open/b", "key"}) == result_code::Cancelled);
    leader.workers.endTerm();
    leader.workers.beginTerm(2, leader.now);
    CHECK_FALSE(failed(leader.state.restore(leader.state.snapshot())));
    CHECK_TRUE(submitCode({"host", "/q1/a", "key"}) == result_code::Cancelled);
    CHECK_TRUE(submitCode({"host", "/q2/a", "else"}) == result_code::Ok);
    CHECK_TRUE(submitCode({"host", "/q1/b", "key"}) == result_code::Ok);
    CHECK_EQUAL(2, leader.state.jobCount());
}

// Guards against the same while the cancelling is being committed, and against a cancelling that
// misses a job that is being committed.
TEST(Service, cancellingAndSubmissionAtOnceLeaveNoJob)
{
    leader.configure(1);
    service queues(leader.state, leader.workers,
                   [&](const command &input, std::function<void(status)> done) {
                       leader.heldCommits.emplace_back(input, std::move(done));
                   });
    std::vector<result_code> codes;
    const auto record = [&](const status &done) {
        codes.push_back(failed(done) ? errorOf(done).code : result_code::Ok);
    };
    job_spec spec;
    spec.steps = {leader_fixture::tasks(1, 1)};
    queues.cancel(leader.wallMs, {"host", "/q1/a", ""}, record);
    queues.submit(leader.wallMs, {"host", "/q1/a", ""}, spec, record);
    CHECK_TRUE(codes == std::vector<result_code> {result_code::Cancelled});
    leader.releaseHeld();
    CHECK_TRUE(codes.back() == result_code::NotFound);
    queues.submit(leader.wallMs, {"host", "/q1/b", ""}, spec, record);
    queues.cancel(leader.wallMs, {"host", "/q1/b", ""}, record);
    leader.releaseHeld();
    leader.releaseHeld();
    CHECK_EQUAL(4, codes.size());
    CHECK_TRUE(codes.back() == result_code::Ok);
    CHECK_EQUAL(1, leader.state.jobCount());
    CHECK_TRUE(leader.stateOf("b") == job_state::Cancelled);
}

// Guards against a job that runs although its cancelling was answered as that of an unknown job:
// its submission is handed in while the leader finds out that it isn't known.
TEST(Service, submissionDuringACancellingLeavesNoJob)
{
    leader.configure(1);
    service queues(leader.state, leader.workers,
                   [&](const command &input, std::function<void(status)> done) {
                       leader.heldCommits.emplace_back(input, std::move(done));
                   });
    std::vector<result_code> codes;
    const auto record = [&](const status &done) {
        codes.push_back(failed(done) ? errorOf(done).code : result_code::Ok);
    };
    job_spec spec;
    spec.steps = {leader_fixture::tasks(1, 1)};
    queues.cancel(leader.wallMs, {"host", "/q1/a", ""}, record);
    queues.submit(leader.wallMs, {"host", "/q1/a", ""}, spec, record);
    for (int i = 0; i < 4; ++i)
        leader.releaseHeld();
    CHECK_EQUAL(2, codes.size());
    const auto *job = leader.state.findJob("a");
    CHECK_TRUE(job == nullptr || job->state == job_state::Cancelled);
}

// Guards against a job that runs because its submission was committed just before its cancelling:
// the cancelling isn't answered before the job is cancelled, and not at all if that fails.
TEST(Service, jobAcceptedJustBeforeItsCancellingIsCancelled)
{
    leader.configure(1);
    std::size_t cancelled = 0;
    service queues(leader.state, leader.workers,
                   [&](const command &input, const std::function<void(status)> &done) {
                       if (std::holds_alternative<record_cancellation>(input))
                           submitCode({"host", "/q1/a", ""}); // by a leader that was replaced
                       if (!std::holds_alternative<cancel_job>(input) || ++cancelled > 1)
                           return done(leader.commit(input));
                       done(error {result_code::NoQuorum, "not committed", {}, {}});
                   });
    std::vector<result_code> codes;
    const auto record = [&](const status &done) {
        codes.push_back(failed(done) ? errorOf(done).code : result_code::Ok);
    };
    queues.cancel(leader.wallMs, {"host", "/q1/a", ""}, record);
    CHECK_TRUE(codes.back() == result_code::OutcomeUnknown);
    queues.cancel(leader.wallMs, {"host", "/q1/a", ""}, record);
    CHECK_TRUE(codes.back() == result_code::Ok);
    CHECK_TRUE(leader.stateOf("a") == job_state::Cancelled);
}

// Guards against a ledger that grows with each cancelling of an unknown job, and against one tenant
// that takes the place of another.
TEST(Service, cancellationsOfUnknownJobsAreBounded)
{
    configuration value;
    value.version = 1;
    value.queues = {{"q1", "host", "/q1/", "pool", 1, 1, 1.0, 1, false, 0}};
    value.tenants = {{"owner", {"key"}, 0}, {"other", {"else"}, 0}};
    CHECK_TRUE(configureCode(value) == result_code::Ok);
    for (int i = 0; i < 1024; ++i) {
        const auto path = "/q1/" + std::to_string(i);
        CHECK_TRUE(cancelCode({"host", path, "key"}) == result_code::NotFound);
    }
    CHECK_TRUE(cancelCode({"host", "/q1/0", "key"}) == result_code::NotFound); // known
    CHECK_TRUE(cancelCode({"host", "/q1/x", "key"}) == result_code::Overloaded);
    CHECK_TRUE(cancelCode({"host", "/q1/x", "else"}) == result_code::NotFound);
    CHECK_EQUAL(1025, leader.state.cancellations().size());
    leader.commit(remove_ended_jobs {leader.wallMs + 1});
    CHECK_EQUAL(0, leader.state.cancellations().size());
    CHECK_TRUE(submitCode({"host", "/q1/0", "key"}) == result_code::Ok);
}

// Guards against a wave that is confirmed but never planned, because its id is taken by another.
TEST(Service, waveWithATakenIdIsRefused)
{
    const auto codeOf = [&](std::vector<std::string> machines) {
        result_code code = result_code::Internal;
        leader.queues.startWave(1, {1, std::move(machines), 1000, 1}, [&](const status &done) {
            code = failed(done) ? errorOf(done).code : result_code::Ok;
        });
        return code;
    };
    CHECK_TRUE(codeOf({"m1"}) == result_code::Ok);
    CHECK_TRUE(codeOf({"m1"}) == result_code::Ok);
    CHECK_TRUE(codeOf({"m2"}) == result_code::KeyReused);
    CHECK_EQUAL(1, leader.state.waves().at(1).machines.count("m1"));
}

// Guards against an objective that doesn't fit into its type.
TEST(Service, boundsObjectives)
{
    job_record job;
    job.source.slackFactor = 1e6;
    for (int i = 0; i < 20'000; ++i) {
        auto step = leader_fixture::tasks(1, 1);
        step.estimateMs = 0xffffffff;
        if (i > 0)
            step.dependsOn = {static_cast<std::uint32_t>(i - 1)};
        job.spec.steps.push_back(step);
    }
    CHECK_TRUE(job.objectiveMs() > 0);
    CHECK_TRUE(job.objectiveMs() <= 200'000'000'000'000);
}

// Guards against a tenant that reads or cancels the job of another, or of another queue of its own,
// and against an id that is taken for a repetition although it names another job.
TEST(Service, idsBelongToATenantAndAQueue)
{
    configuration value;
    value.version = 1;
    value.queues = {{"q1", "host", "/q1/", "pool", 1, 1, 1.0, 1, false, 0},
                    {"q2", "host", "/q2/", "pool", 1, 1, 1.0, 1, false, 0}};
    value.tenants = {{"owner", {"key"}, 0}, {"other", {"else"}, 0}};
    CHECK_TRUE(configureCode(value) == result_code::Ok);
    CHECK_TRUE(submitCode({"host", "/q1/a", "key"}) == result_code::Ok);
    CHECK_TRUE(submitCode({"host", "/q1/a", "key"}) == result_code::Ok);
    const auto findCode = [&](const caller &from) {
        result_code code = result_code::Internal;
        leader.queues.find(from, [&](const result<job_state> &found) {
            code = failed(found) ? errorOf(found).code : result_code::Ok;
        });
        return code;
    };
    CHECK_TRUE(findCode({"host", "/q1/a", "key"}) == result_code::Ok);
    for (const caller &from : {caller {"host", "/q1/a", "else"}, caller {"host", "/q2/a", "key"}}) {
        CHECK_TRUE(findCode(from) == result_code::NotFound);
        result_code code = result_code::Ok;
        leader.queues.cancel(leader.wallMs, from, [&](const status &done) {
            code = failed(done) ? errorOf(done).code : result_code::Ok;
        });
        CHECK_TRUE(code == result_code::NotFound);
        CHECK_TRUE(submitCode(from) == result_code::KeyReused);
    }
    CHECK_TRUE(leader.stateOf("a") == job_state::Queued);
    job_spec changed;
    changed.steps = {leader_fixture::tasks(2, 1)};
    result_code code = result_code::Ok;
    leader.queues.submit(leader.wallMs, {"host", "/q1/a", "key"}, changed, [&](const status &done) {
        code = failed(done) ? errorOf(done).code : result_code::Ok;
    });
    CHECK_TRUE(code == result_code::KeyReused);
}
