// Soaks of the scheduler and gateway roles as real processes under faults.
#include "soak_faults.h"

using namespace persimmon;
using namespace persimmon::system_test;

namespace {

// Faults come for a while, then none do for so long that the bounds of calm times can be checked.
constexpr std::int64_t maxStormMs = 5000;
constexpr std::int64_t calmMs = 10000;

// Outer limit of the work itself: jobs of half the fleet for 5 s queue up, of which two run at
// once. What stands still beside room is found by the check of stalls after 3 s.
constexpr std::int64_t drainMs = 60000;

// Returns the seed of a soak and its length in seconds, which the environment may set.
unsigned soakSeed(unsigned standard)
{
    const char *seed = std::getenv("PERSIMMON_SOAK_SEED");
    return seed == nullptr ? standard : static_cast<unsigned>(std::atoi(seed));
}

std::int64_t soakSeconds(std::int64_t standard)
{
    const char *length = std::getenv("PERSIMMON_SOAK_SECONDS");
    return length == nullptr ? standard : std::atoll(length);
}

// Processes and stand-in workers that are given jobs, with faults in some stretches of time.
class soak
{
public:
    struct options
    {
        unsigned seed = 1;
        int schedulers = 3;
        int workers = 8;
        int racks = 2;
        std::int64_t jobPeriodMs = 200; // at least, and up to twice as long by the seed
    };

    explicit soak(const options &options)
        : options_(options)
        , random(soakSeed(options.seed))
        , system(options.schedulers)
        , fleet(options.workers)
        , jobs(system, fleet, random)
    {
        for (std::size_t i = 0; i < fleet.workers.size(); ++i) {
            fleet.workers[i].gpu = 4;
            fleet.workers[i].rack
                    = "r" + std::to_string(i % static_cast<std::size_t>(options.racks));
        }
        options_.jobPeriodMs = random.draw(options.jobPeriodMs, 2 * options.jobPeriodMs);
        CHECK_TRUE(jobs.configure());
    }

    // Submits jobs under faults, waits for the end of all jobs, and fails if a rule was broken.
    void run(std::int64_t seconds)
    {
        const auto end = nowMs() + 1000 * seconds;
        while (nowMs() < end) {
            submit();
            stepFaults();
            step();
        }
        settle();
        drain();
    }

    // Waits for the end of all jobs, and fails if a rule was broken.
    void drain()
    {
        const auto begin = nowMs();
        while (!jobs.allEnded() && nowMs() < begin + drainMs)
            step();
        printDrain(nowMs() - begin);
        const auto findings = jobs.findings();
        if (!findings.empty())
            FAIL(findings.c_str());
        CHECK_TRUE(jobs.accepted() > 0);
    }

    void step()
    {
        for (const auto &source : faults) {
            if (source->wasActive())
                jobs.check().disturb(nowMs());
        }
        const auto begin = nowMs();
        jobs.step();
        system.step(fleet);
        longestStepMs_ = std::max(longestStepMs_, nowMs() - begin);
    }

private:
    void printDrain(std::int64_t ms) const
    {
        int begun = 0;
        int absences = 0;
        for (const auto &source : faults) {
            begun += source->begun();
            absences += source->absences();
        }
        printf("seed %u: %d jobs accepted, %d faults, %d absences in calm times, drained in %lld "
               "ms, "
               "longest stall %lld ms, longest step %lld ms\n",
               soakSeed(options_.seed), jobs.accepted(), begun, absences,
               static_cast<long long>(ms), static_cast<long long>(jobs.check().longestStallMs()),
               static_cast<long long>(longestStepMs_));
    }

    void submit()
    {
        if (nowMs() < nextJobMs_)
            return;
        nextJobMs_ = nowMs() + options_.jobPeriodMs;
        jobs.submitOne();
    }

    void stepFaults()
    {
        if (nowMs() >= stormEndMs_ + calmMs)
            stormEndMs_ = nowMs() + random.draw(maxStormMs / 2, maxStormMs);
        if (nowMs() < stormEndMs_)
            for (const auto &source : faults)
                source->step();
        else
            settle();
    }

    void settle()
    {
        for (const auto &source : faults)
            source->settle();
    }

    options options_;
    std::int64_t nextJobMs_ = 0;
    std::int64_t stormEndMs_ = -calmMs;
    std::int64_t longestStepMs_ = 0;

public:
    random_source random;
    batch_system system;
    platform::standin_fleet fleet;
    soaked_jobs jobs;
    std::vector<std::unique_ptr<fault_source>> faults;
};

} // namespace

TEST_GROUP(BatchSystemSoak) {};

// Guards against faults that only a long run shows: schedulers are killed, suspended, ended and
// lose their data, and workers crash, while jobs are submitted. PERSIMMON_SOAK_SECONDS sets the
// duration and PERSIMMON_SOAK_SEED the sequence of faults.
TEST(BatchSystemSoak, soakUnderFaults)
{
    soak item({});
    item.faults.push_back(std::make_unique<scheduler_faults>(item.system, item.random));
    item.faults.push_back(std::make_unique<worker_faults>(item.fleet, item.random));
    item.run(soakSeconds(14));
}

// Guards against faults that only links show: connections that are slow, reset, silent or cut one
// way, several at a time, while a scheduler is suspended or killed. PERSIMMON_SOAK_SECONDS and
// PERSIMMON_SOAK_SEED as above.
// The standard seed has failed before.
TEST(BatchSystemSoak, soakThroughFaultyLinks)
{
    soak item({.seed = 102});
    item.faults.push_back(std::make_unique<link_faults>(item.system, item.random));
    item.faults.push_back(std::make_unique<scheduler_faults>(item.system, item.random));
    item.run(soakSeconds(14));
}

// Guards against what only a larger system shows: five schedulers, of which two fail at a time, and
// 40 workers in racks that crash meanwhile. PERSIMMON_SOAK_SECONDS and PERSIMMON_SOAK_SEED as
// above.
// The standard seed has failed before.
TEST(BatchSystemSoak, soakOfALargerSystem)
{
    soak item({.seed = 104, .schedulers = 5, .workers = 40, .racks = 5, .jobPeriodMs = 60});
    item.faults.push_back(std::make_unique<link_faults>(item.system, item.random));
    item.faults.push_back(std::make_unique<scheduler_faults>(item.system, item.random));
    item.faults.push_back(std::make_unique<worker_faults>(item.fleet, item.random));
    item.run(soakSeconds(14));
}

// Guards against clients outside the limits that keep a system from its work, or that a restart or
// the loss of a leader lets through. PERSIMMON_SOAK_SECONDS and PERSIMMON_SOAK_SEED as above.
TEST(BatchSystemSoak, soakBesideHostileClients)
{
    soak item({.seed = 105});
    item.faults.push_back(std::make_unique<client_faults>(item.system, item.random));
    item.faults.push_back(std::make_unique<scheduler_faults>(item.system, item.random));
    item.run(soakSeconds(10));
}

// Guards against a core that is lost as a whole and comes back too late for urgent work, or without
// what it has accepted. PERSIMMON_RECOVERY_ROUNDS sets the number of losses; each is printed.
TEST(BatchSystemSoak, recoversAfterTheLossOfAllSchedulers)
{
    constexpr std::int64_t urgentStartMs = 5500; // target of the users
    const char *rounds = std::getenv("PERSIMMON_RECOVERY_ROUNDS");
    soak item({.workers = 4, .racks = 1});
    auto &system = item.system;
    auto &fleet = item.fleet;
    const auto stepUntil = [&item](const std::function<bool()> &condition, std::int64_t limitMs) {
        const auto end = nowMs() + limitMs;
        while (!condition() && nowMs() <= end)
            item.step();
        return condition();
    };
    for (int round = 0; round < (rounds == nullptr ? 2 : std::atoi(rounds)); ++round) {
        item.jobs.submitOne();
        const auto steady = nowMs() + 500;
        CHECK_TRUE(stepUntil([&] { return nowMs() >= steady; }, 1000));
        for (int i = 0; i < schedulers; ++i)
            system.killScheduler(i);
        for (int i = 0; i < schedulers; ++i)
            system.startScheduler(i, false);
        item.jobs.check().disturb(nowMs());
        const auto backMs = nowMs();
        const auto id = "r" + std::to_string(round);
        const auto body = addJob(fleet, id, {1000, 500, 1, false});
        bool accepted = false;
        CHECK_TRUE(stepUntil(
                [&] {
                    accepted = accepted
                            || system.sendToGateway("POST", "/q1/" + id, body).status == 200;
                    return accepted;
                },
                urgentStartMs));
        const auto acceptedMs = nowMs();
        CHECK_TRUE(stepUntil([&] { return fleet.hasStarted(id + ".0.0.0"); }, urgentStartMs));
        CHECK_TRUE(nowMs() - backMs <= urgentStartMs);
        printf("accepted after %lld ms, started after %lld ms\n",
               static_cast<long long>(acceptedMs - backMs),
               static_cast<long long>(nowMs() - backMs));
    }
    item.drain();
}
