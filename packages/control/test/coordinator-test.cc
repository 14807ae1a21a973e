#include "world.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::control;
using namespace persimmon::control::test;

TEST_GROUP(coordinator)
{
    cluster_simulation::observer noCallbacks;
    simulation_options options;
    std::unique_ptr<cluster_simulation> simulation;

    void setup() override
    {
        options.control.self = 1;
        start();
    }

    void start()
    {
        simulation = std::make_unique<cluster_simulation>(
                options, [](std::uint32_t) { return 0U; }, noCallbacks);
        simulation->run(1500);
        apply(0, "first");
        simulation->run(200);
    }

    void apply(std::uint64_t version, const std::string &id)
    {
        simulation->leader().applyTables(simulation->now(), sampleTables(), version, id, false,
                                         [](const auto &) {});
    }

    job_id submit(const job_spec &spec, const std::string &key = "k")
    {
        job_id id {};
        simulation->leader().submitJob(simulation->now(), key, spec, [&](const auto &outcome) {
            CHECK_FALSE(failed(outcome));
            id = valueOf(outcome);
        });
        return id;
    }

    const job_entry &job(job_id id)
    {
        return *simulation->data().find(id);
    }
};

TEST(coordinator, runsGangToCompletion)
{
    const auto id = submit(sampleJob(3));
    simulation->run(8000);
    CHECK_TRUE(job(id).state == job_state::Done);
    LONGS_EQUAL(1, job(id).attempt);
    STRCMP_EQUAL("1/2", job(id).results[2].c_str());
    simulation->run(3000);
    for (const auto &worker : simulation->workers())
        CHECK_TRUE(worker.tasks.empty());
}

// Guards against mixed results of two attempts, and against a job that ends at the first failure
// of a task.
TEST(coordinator, retriesAfterAFailedTask)
{
    simulation->workers()[0].failsTasks = true;
    const auto id = submit(sampleJob(1));
    simulation->run(6000);
    simulation->workers()[0].failsTasks = false;
    simulation->run(20000);
    CHECK_TRUE(job(id).state == job_state::Done);
    CHECK_TRUE(job(id).attempt > 1);
    CHECK_TRUE(job(id).results[0] == std::to_string(job(id).attempt) + "/0");
}

// Guards against urgent jobs that wait until others finish, and against a lost preempted job.
TEST(coordinator, preemptsForUrgentWork)
{
    const auto first = submit(sampleJob(4), "first");
    simulation->run(2600);
    CHECK_TRUE(job(first).state == job_state::Running);
    auto spec = sampleJob(4);
    spec.priority = priority_class::Urgent;
    const auto urgent = submit(spec, "urgent");
    const auto submittedAt = simulation->now();
    while (job(urgent).state != job_state::Running
           && simulation->now() < submittedAt + milliseconds {5500})
        simulation->run(5);
    CHECK_TRUE(job(urgent).state == job_state::Running);
    simulation->run(20000);
    CHECK_TRUE(job(first).state == job_state::Done);
    const auto kinds = job(first).records;
    CHECK_TRUE(std::ranges::any_of(kinds, [&](const auto &record) {
        return record.kind == decision_kind::Preempted && record.other == urgent;
    }));
}

// Guards against tasks that remain on workers after many jobs are cancelled at once.
TEST(coordinator, cancelsWaitingAndRunningJobs)
{
    std::vector<job_id> ids(20);
    for (auto &id : ids)
        id = submit(sampleJob(3), "k" + std::to_string(&id - ids.data()));
    simulation->run(2500);
    for (const auto id : ids)
        simulation->leader().cancelJob(simulation->now(), id, [](const auto &) {});
    simulation->run(3000);
    for (const auto id : ids)
        CHECK_TRUE(job(id).state == job_state::Cancelled);
    for (const auto &worker : simulation->workers())
        CHECK_TRUE(worker.tasks.empty());
}

// Guards against a dry run that changes the tables, and against accepting guarantees that can't be
// bound.
TEST(coordinator, checksTablesBeforeTheyAreAccepted)
{
    auto next = sampleTables();
    next.workspaces[0].guarantees = {{"gpu", {8, 8}, 1}};
    auto code = result_code::Ok;
    const auto note = [&](const auto &outcome) {
        code = failed(outcome) ? errorOf(outcome).code : result_code::Ok;
    };
    auto &leader = simulation->leader();
    leader.applyTables(simulation->now(), next, 1, "too-large", false, note);
    CHECK_TRUE(code == result_code::GuaranteeUnbindable);
    next.workspaces[0].guarantees[0].block.workers = 2;
    leader.applyTables(simulation->now(), next, 1, "dry", true, note);
    CHECK_TRUE(code == result_code::Ok);
    LONGS_EQUAL(1, simulation->data().current.version);
    next.routes[0].pool = "nowhere";
    leader.applyTables(simulation->now(), next, 1, "broken", false, note);
    CHECK_TRUE(code == result_code::InvalidTable);
}

// Guards against idle entries that hold slots needed by a busy entry, and against lent slots that
// are not returned.
TEST(coordinator, lendsSlotsByDemand)
{
    simulation->run(1000);
    auto &busy = simulation->entries()[0];
    auto &other = simulation->entries()[1];
    LONGS_EQUAL(4, busy.shares["w1"]);
    busy.load = 100;
    simulation->run(2000);
    CHECK_TRUE(busy.shares["w1"] >= 7);
    other.load = 100;
    simulation->run(2000);
    LONGS_EQUAL(4, busy.shares["w1"]);
    LONGS_EQUAL(4, other.shares["w1"]);
}

// Guards against a drain request that is lost or drains other entries too.
TEST(coordinator, drainsOneEntry)
{
    CHECK_TRUE(failed(simulation->leader().drainEntry("entry-9")));
    CHECK_FALSE(failed(simulation->leader().drainEntry("entry-2")));
    simulation->run(100);
    CHECK_TRUE(simulation->entries()[1].drained);
    CHECK_FALSE(simulation->entries()[0].drained);
}

// Guards against an acknowledged departure that is lost when the leader crashes.
TEST(coordinator, showsDeparturesOnlyAfterTheCommit)
{
    simulation->run(1000);
    simulation->log().held = true;
    auto announced = simulation->workers()[0].announced;
    announced.state = upstream_state::Leaving;
    sync_request request;
    request.entryId = "entry-9";
    request.entryIncarnation = 1;
    request.announcements = {announced};
    const auto callSync = [&] {
        auto state = upstream_state::Gone;
        simulation->leader().sync(simulation->now(), request, [&](const sync_response &response) {
            for (const auto &value : response.upstreams)
                if (value.id == announced.id)
                    state = value.state;
        });
        return state;
    };
    CHECK_TRUE(callSync() == upstream_state::Serving);
    simulation->log().release();
    CHECK_TRUE(callSync() == upstream_state::Leaving);
    // The mark is final. A late announcement of the same incarnation has no effect.
    request.announcements[0].state = upstream_state::Serving;
    CHECK_TRUE(callSync() == upstream_state::Leaving);
}

// Guards against an entry that serves old tables indefinitely because it can't apply new ones.
TEST(coordinator, expiresLeaseOfEntryThatDoesNotApplyTables)
{
    sync_request request;
    request.entryId = "entry-9";
    request.entryIncarnation = 1;
    milliseconds lease {0};
    const auto callSync = [&] {
        simulation->leader().sync(simulation->now(), request,
                                  [&](const sync_response &response) { lease = response.lease; });
    };
    callSync();
    LONGS_EQUAL(2000, lease.count());
    simulation->run(1500);
    callSync();
    LONGS_EQUAL(2000, lease.count());
    simulation->run(600);
    callSync();
    LONGS_EQUAL(0, lease.count());
    request.appliedVersion = 1;
    callSync();
    simulation->run(600);
    LONGS_EQUAL(2000, lease.count());
}

// Guards against slots that are used twice after a leader change, because the new leader has no
// record of the shares that the earlier leader granted.
TEST(coordinator, revokesSharesOfEarlierLeader)
{
    auto state = ledger::create();
    single_voter_log log(*state);
    state->apply(++log.index, encode(command {{}, apply_tables {sampleTables(), 0, ""}}));
    auto leader = coordinator::create(options.control, *state, log,
                                      [](const auto &) { return std::make_unique<first_fit>(); });
    time_point now {};
    leader->becomeLeader(now, wall_ms {0}, 2);
    sync_request first;
    first.entryId = "first";
    first.entryIncarnation = first.viewEpoch = 1;
    first.announcements = {simulation->workers()[0].announced};
    sync_request second = first;
    second.entryId = "second";
    second.viewEpoch = 0;
    // Slots in force by entry. A response without shares leaves them unchanged.
    std::map<std::string, int> slots {{"first", -1}, {"second", -1}};
    const auto call = [&](sync_request &request) {
        leader->sync(now, request, [&](const sync_response &response) {
            request.viewEpoch = response.viewEpoch;
            request.viewSequence = response.viewSequence;
            for (const auto &share : response.shares)
                slots[request.entryId] = static_cast<int>(share.slots);
        });
        return slots.at(request.entryId);
    };
    while (now < time_point {milliseconds {2000}}) {
        leader->tick(now, wall_ms {0});
        LONGS_EQUAL(-1, call(first));
        LONGS_EQUAL(-1, call(second));
        now += milliseconds {500};
    }
    leader->tick(now, wall_ms {0});
    LONGS_EQUAL(0, call(second));
    LONGS_EQUAL(0, call(first));
    LONGS_EQUAL(0, call(second));
    LONGS_EQUAL(4, call(first));
    LONGS_EQUAL(4, call(second));
}
