#include "crash_fleet.h"

using namespace persimmon;
using namespace persimmon::batch;

// Stalls that the waivers of preferences don't end, and harm that they do to others.
TEST_GROUP(StallReview)
{
    static constexpr std::int64_t endlessMs = 100'000'000;

    static step_spec lasting(std::uint32_t count, std::int64_t accelerators)
    {
        auto step = leader_fixture::tasks(count, accelerators);
        step.need.cpu = accelerators * 1000;
        step.longRunning = true;
        step.estimateMs = endlessMs;
        return step;
    }

    static std::vector<worker_report> twelveWorkers(leader_fixture & leader)
    {
        std::vector<worker_report> fleet;
        for (int i = 0; i < 12; ++i) {
            fleet.push_back(leader.report("w" + std::to_string(10 + i)));
            fleet.back().address = "10.0.0.1:" + std::to_string(i);
        }
        return fleet;
    }

    // Sends a heartbeat of each worker, which lists what it is told to start from then on.
    static void beatAll(leader_fixture & leader, std::vector<worker_report> & fleet)
    {
        for (auto &worker : fleet) {
            const auto orders = leader.sendNextHeartbeat(worker);
            for (const auto &order : orders.starts)
                worker.running.push_back({order.task, order.run, "", 100, 0});
        }
    }

    static std::int64_t timeToStart(crash_fleet & fleet, const task_id &task, std::int64_t limitMs)
    {
        const auto before = fleet.startsOf(task);
        std::int64_t ms = 0;
        for (; ms < limitMs && fleet.startsOf(task) == before; ms += 50)
            fleet.run(50);
        return ms;
    }

    static void checkStarts(crash_fleet & fleet, const task_id &task, std::int64_t limitMs)
    {
        const auto ms = timeToStart(fleet, task, 30'000);
        if (ms > limitMs)
            FAIL((task.job + " started after " + std::to_string(ms) + " ms").c_str());
    }
};

// Guards against starts on a worker that a new leader has never heard, in the place of runs that
// the worker still kills because its lease has expired.
TEST(StallReview, runsGivenUpByANewLeaderTakeTheirPlaceUntilTheyAreStopped)
{
    for (std::int64_t cut = 4900; cut < 6500; cut += 50) {
        crash_fleet fleet({.workers = 2, .taskMs = 60'000, .stopMs = 900});
        fleet.leader.configure(1);
        fleet.leader.submit("/q1/a", leader_fixture::tasks(2, 8));
        fleet.run(1000);
        fleet.cutOffWorkerOf({"a", 0, 0, 0}, cut);
        fleet.changeLeader();
        fleet.run(cut + 3000);
        if (fleet.overfullStarts() > 0)
            FAIL(("cut off for " + std::to_string(cut) + " ms").c_str());
    }
}

// Guards against a stalled job that takes one task of what is kept in each pass until the first of
// them is listed, although one task ends the stall.
TEST(StallReview, stalledJobTakesOneTaskOfWhatIsKept)
{
    leader_fixture leader;
    leader.tenants = {};
    leader.configure(0);
    auto fleet = twelveWorkers(leader);
    const auto beat = [&] { beatAll(leader, fleet); };
    beat();
    auto busy = lasting(8, 8);
    leader.submit("/q0/busy", busy);
    leader.advance(100);
    beat();
    beat();
    leader.submit("/q2/small", leader_fixture::tasks(4, 8)); // 4 workers are idle and kept
    std::size_t placed = 0;
    bool started = false;
    for (int ms = 0; ms < 3500 && !started; ms += 100) {
        leader.advance(100);
        if (ms % 500 == 400)
            beat(); // the period of a fleet of some 1,000 workers
        placed = leader.state.findJob("small")->stepOf({"small", 0, 0, 0}).activeCount;
        for (const auto &worker : fleet)
            started |= std::ranges::any_of(worker.running, [](const running_task &row) {
                return row.task.job == "small";
            });
    }
    CHECK_TRUE(started);
    CHECK_EQUAL(1, placed);
}

// Guards against a lasting task, beside another one of its job, that is kept for ever off a worker
// whose quarantine other jobs renew because they have stalled.
TEST(StallReview, lastingTaskIsNotKeptOffByAQuarantineThatStalledJobsRenew)
{
    crash_fleet fleet({.workers = 3, .taskMs = 300});
    fleet.leader.configure(1, 10);
    fleet.failUnder([](const task_id &task, int) { return task.job.starts_with("hopeless"); });
    fleet.leader.submit("/q1/busy", lasting(1, 8));
    fleet.run(300);
    fleet.leader.submit("/q1/filler", lasting(1, 4));
    fleet.run(300);
    fleet.leader.submit("/q2/hopeless1", leader_fixture::tasks(1, 8));
    fleet.leader.submit("/q2/hopeless2", leader_fixture::tasks(1, 8));
    fleet.run(1500);
    fleet.leader.submit("/q1/serve", lasting(2, 4));
    fleet.run(300);
    CHECK_EQUAL(1, fleet.startsOf({"serve", 0, 0, 0}) + fleet.startsOf({"serve", 0, 0, 1}));
    const task_id waiting {"serve", 0, 0, fleet.startsOf({"serve", 0, 0, 0}) == 0 ? 0U : 1U};
    checkStarts(fleet, waiting, 9000);
}

// Guards against claims of a gang that can't be placed where it claims: it waits for one rack, and
// claims the free room of two.
TEST(StallReview, claimsOfAGangThatWaitsForOneRackDontStallAJob)
{
    crash_fleet fleet({.workers = 4, .workersInRack = 2, .taskMs = endlessMs, .twoKinds = true});
    fleet.leader.configure(0);
    auto busy = lasting(2, 8);
    busy.requiredLabel = "b"; // one worker of each rack
    fleet.leader.submit("/q2/busy", busy);
    fleet.run(300);
    auto gang = leader_fixture::tasks(2, 8);
    gang.estimateMs = 20'000;
    gang.gang = true;
    gang.sameRack = true;
    fleet.leader.submit("/q0/gang", gang);
    fleet.run(4000);
    fleet.leader.submit("/q2/small", leader_fixture::tasks(1, 1));
    checkStarts(fleet, {"small", 0, 0, 0}, 3000);
}

// Guards against jobs that count as stalled because their tasks end before a heartbeat lists them.
TEST(StallReview, shortTasksDontCountAsStalled)
{
    crash_fleet fleet({.workers = 1, .taskMs = 50});
    fleet.leader.configure(2);
    fleet.leader.submit("/q2/small", leader_fixture::tasks(100, 8));
    fleet.run(5000);
    std::uint32_t starts = 0;
    for (std::uint32_t i = 0; i < 100; ++i)
        starts += static_cast<std::uint32_t>(fleet.startsOf({"small", 0, 0, i}));
    CHECK_TRUE(starts > 20);
    CHECK_TRUE(fleet.leader.workers.stalls().stalledFor("small", fleet.leader.now)
               < milliseconds {2000});
}

// Guards against a clock of a worker that has stood still while its machine was suspended.
TEST(StallReview, suspendedWorkerIsUsedAgain)
{
    leader_fixture leader;
    leader.configure(2);
    auto worker = leader.report("w1");
    std::int64_t suspendedMs = 0;
    const auto beat = [&] {
        worker.clockMs = leader.wallMs - 1000 - suspendedMs;
        return leader.sendNextHeartbeat(worker);
    };
    worker.incarnation = 1000;
    beat();
    leader.advance(100);
    beat();
    for (int i = 0; i < 30; ++i)
        leader.advance(100);
    suspendedMs = 3000;
    leader.submit("/q2/small", leader_fixture::tasks(1, 1));
    std::int64_t ms = 0;
    for (; ms < 30'000 && beat().starts.empty(); ms += 100)
        leader.advance(100);
    CHECK_TRUE(ms <= 7000);
}

// Guards against stalled jobs whose preferences are waived, but for whose workers no advice is
// asked.
TEST(StallReview, quarantineDoesNotStallAJobThatNeedsAdvice)
{
    crash_fleet fleet({.workers = 4, .taskMs = 300});
    fleet.leader.configure(1, 1);
    auto value = fleet.leader.state.currentConfiguration();
    value.version = ++fleet.leader.version;
    for (auto &queue : value.queues)
        queue.adviceValidMs = queue.priority == 2 ? 60'000 : 0;
    fleet.leader.commit(set_configuration {value});
    fleet.leader.workers.setAdviceFunction(
            [](const step_key &, const std::vector<std::string> &workers,
               const std::function<void(result<std::vector<ticket>>)> &done) {
                std::vector<ticket> tickets;
                tickets.reserve(workers.size());
                for (const auto &worker : workers)
                    tickets.push_back({worker, "permit"});
                done(tickets);
            });
    fleet.failUnder([](const task_id &task, int) { return task.job.starts_with("hopeless"); });
    fleet.leader.submit("/q1/busy", lasting(3, 8));
    fleet.run(300);
    fleet.leader.submit("/q1/hopeless1", leader_fixture::tasks(1, 1));
    fleet.leader.submit("/q1/hopeless2", leader_fixture::tasks(1, 1));
    fleet.run(800);
    fleet.leader.submit("/q2/small", leader_fixture::tasks(1, 1));
    checkStarts(fleet, {"small", 0, 0, 0}, 3000);
}

// Guards against a rack that is kept for a gang and never becomes free, because a stream of stalled
// jobs takes it.
TEST(StallReview, streamOfStalledJobsDoesNotStarveAGang)
{
    crash_fleet fleet({.workers = 8, .workersInRack = 4, .taskMs = 6000});
    fleet.leader.configure(1);
    fleet.leader.submit("/q1/busy", lasting(4, 8));
    fleet.run(300);
    int next = 0;
    const auto submitSmall = [&] {
        auto step = leader_fixture::tasks(1, 4);
        step.need.cpu = 4000;
        step.estimateMs = 6000;
        fleet.leader.submit("/q2/s" + std::to_string(next++), step);
    };
    for (int i = 0; i < 16; ++i)
        submitSmall();
    fleet.run(500);
    auto gang = leader_fixture::tasks(4, 8);
    gang.need.cpu = 8000;
    gang.gang = true;
    fleet.leader.submit("/q1/gang", gang);
    std::int64_t ms = 0;
    for (; ms < 60'000 && fleet.startsOf({"gang", 0, 0, 0}) == 0; ms += 800) {
        submitSmall();
        fleet.run(800);
    }
    if (ms > 21'000)
        FAIL(("the gang started after " + std::to_string(ms) + " ms").c_str());
}

// Guards against jobs that are given up because they share workers, once they have stalled, with a
// task that crashes them.
TEST(StallReview, jobsBesideATaskThatCrashesWorkersAreNotGivenUp)
{
    std::string failures;
    for (int workers = 1; workers <= 3; ++workers) {
        for (const std::int64_t down : {500, 3000}) {
            for (std::int64_t crashAfter = 0; crashAfter <= 7000; crashAfter += 1000) {
                crash_fleet fleet({.workers = workers,
                                   .downMs = down,
                                   .taskMs = 8000,
                                   .crashAfterMs = crashAfter});
                fleet.leader.configure(2);
                fleet.crashUnder([](const task_id &task) { return task.job == "deadly"; });
                auto step = leader_fixture::tasks(1, 1);
                step.estimateMs = 8000;
                fleet.leader.submit("/q2/deadly", step);
                for (const auto *job : {"b1", "b2", "b3"})
                    fleet.leader.submit(std::string("/q2/") + job, step);
                fleet.run(120'000);
                for (const auto *job : {"b1", "b2", "b3"}) {
                    if (fleet.leader.stateOf(job) != job_state::Done)
                        failures += std::string(job) + " workers=" + std::to_string(workers)
                                + " down=" + std::to_string(down)
                                + " crashAfter=" + std::to_string(crashAfter) + " state="
                                + std::to_string(static_cast<int>(fleet.leader.stateOf(job)))
                                + "\n";
                }
            }
        }
    }
    if (!failures.empty())
        FAIL(failures.c_str());
}

// The same with several such tasks, in a fleet that is nearly full.
TEST(StallReview, jobsBesideSeveralTasksThatCrashWorkersAreNotGivenUp)
{
    std::string failures;
    int failed = 0;
    int cases = 0;
    for (int workers = 2; workers <= 4; ++workers) {
        for (const std::int64_t down : {500, 3000}) {
            for (std::int64_t crashAfter = 0; crashAfter <= 6000; crashAfter += 1000) {
                crash_fleet fleet({.workers = workers,
                                   .downMs = down,
                                   .taskMs = 8000,
                                   .crashAfterMs = crashAfter});
                fleet.leader.configure(2);
                fleet.crashUnder(
                        [](const task_id &task) { return task.job.starts_with("deadly"); });
                auto step = leader_fixture::tasks(1, 1);
                step.estimateMs = 8000;
                for (int i = 0; i < workers; ++i)
                    fleet.leader.submit("/q2/deadly" + std::to_string(i), step);
                for (int i = 0; i < 4; ++i)
                    fleet.leader.submit("/q2/b" + std::to_string(i), step);
                fleet.run(120'000);
                ++cases;
                for (int i = 0; i < 4; ++i) {
                    if (fleet.leader.stateOf("b" + std::to_string(i)) == job_state::Done)
                        continue;
                    ++failed;
                    failures += "b" + std::to_string(i) + " workers=" + std::to_string(workers)
                            + " down=" + std::to_string(down)
                            + " crashAfter=" + std::to_string(crashAfter) + "\n";
                }
            }
        }
    }
    failures += std::to_string(failed) + " jobs in " + std::to_string(cases) + " fleets";
    if (failed > 0)
        FAIL(failures.c_str());
}

// Guards against a run that has failed, or is being stopped, and counts as lost with its worker
// until its end is committed: its job waits for 5.3 s instead of 2 s beside kept room.
TEST(StallReview, anEndThatIsBeingCommittedIsNoLoss)
{
    leader_fixture leader;
    leader.configure(0);
    auto fleet = twelveWorkers(leader);
    const auto beat = [&] { beatAll(leader, fleet); };
    beat();
    leader.submit("/q2/small", leader_fixture::tasks(1, 8));
    leader.advance(100);
    beat();
    beat();
    leader.submit("/q0/busy", lasting(8, 8));
    leader.advance(100);
    beat();
    beat();
    const task_id small {"small", 0, 0, 0};
    const auto failed = std::ranges::find_if(fleet, [&](const worker_report &worker) {
        return std::ranges::any_of(worker.running,
                                   [&](const running_task &row) { return row.task == small; });
    });
    CHECK_TRUE(failed != fleet.end());
    failed->running.clear();
    failed->ended.push_back({1, small, 1, end_kind::Failed, ""});
    failed->sequence = ++leader.sequence;
    leader.holdCommits = true; // a commit takes about 30 ms, and a pass falls into it
    leader.workers.heartbeat(leader.now, leader.wallMs, *failed,
                             [](const result<worker_orders> &) {});
    leader.advance(100);
    leader.holdCommits = false;
    leader.releaseHeld();
    failed->ended.clear();
    std::int64_t ms = 0;
    for (; ms < 10'000 && !leader.state.findJob("small")->taskOf(small).active; ms += 100) {
        leader.advance(100);
        beat();
    }
    if (ms > 3000)
        FAIL(("placed again after " + std::to_string(ms) + " ms").c_str());
}

// Guards against urgent work within its reservation that waits for the clock of an earlier leader
// before other work is stopped for it.
TEST(StallReview, reclaimDoesNotWaitForTheClockOfANewLeader)
{
    crash_fleet fleet({.workers = 2, .taskMs = endlessMs});
    fleet.leader.tenants = {{"t", {"key"}, 1000}};
    fleet.leader.configure(0);
    auto busy = leader_fixture::tasks(2, 8);
    busy.estimateMs = endlessMs;
    fleet.leader.submit("/q2/busy", busy);
    fleet.run(300);
    fleet.leader.submit("/q0/urgent", leader_fixture::tasks(1, 8), "key");
    fleet.leader.wallMs -= 8000;
    fleet.changeLeader();
    checkStarts(fleet, {"urgent", 0, 0, 0}, 7000);
}

// The same for lasting work, beside another task of its job, and kept room.
TEST(StallReview, lastingTaskDoesNotWaitForTheClockOfANewLeader)
{
    crash_fleet fleet({.workers = 12, .taskMs = endlessMs});
    fleet.leader.configure(0);
    fleet.leader.submit("/q0/busy", lasting(8, 8));
    fleet.run(300);
    fleet.leader.wallMs += 20'000;
    fleet.leader.submit("/q2/serve", lasting(2, 8));
    fleet.leader.wallMs -= 20'000;
    fleet.run(4000);
    CHECK_TRUE(fleet.startsOf({"serve", 0, 0, 0}) + fleet.startsOf({"serve", 0, 0, 1}) > 0);
    fleet.run(5000);
    CHECK_EQUAL(1, fleet.startsOf({"serve", 0, 0, 0}));
    CHECK_EQUAL(1, fleet.startsOf({"serve", 0, 0, 1}));
}
