#include "world.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::control;
using namespace persimmon::control::test;

TEST_GROUP(coordinator)
{
    world::observer nobody;
    world_options options;
    std::unique_ptr<world> scene;

    void setup() override
    {
        options.control.self = 1;
        start();
    }

    void start()
    {
        scene = std::make_unique<world>(
                options, [](std::uint32_t) { return 0U; }, nobody);
        scene->run(1500);
        apply(0, "first");
        scene->run(200);
    }

    void apply(std::uint64_t version, const std::string &id)
    {
        scene->leader().applyTables(scene->now(), sampleTables(), version, id, false,
                                    [](const auto &) {});
    }

    job_id submit(const job_spec &spec, const std::string &key = "k")
    {
        job_id id {};
        scene->leader().submitJob(scene->now(), key, spec, [&](const auto &outcome) {
            CHECK_FALSE(failed(outcome));
            id = valueOf(outcome);
        });
        return id;
    }

    const job_entry &job(job_id id)
    {
        return *scene->data().find(id);
    }
};

TEST(coordinator, runsAGangToItsResults)
{
    const auto id = submit(sampleJob(3));
    scene->run(8000);
    CHECK_TRUE(job(id).state == job_state::Done);
    LONGS_EQUAL(1, job(id).attempt);
    STRCMP_EQUAL("1/2", job(id).results[2].c_str());
    scene->run(3000);
    for (const auto &worker : scene->workers())
        CHECK_TRUE(worker.tasks.empty());
}
