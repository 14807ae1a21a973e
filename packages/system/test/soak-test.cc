// Soaks of the scheduler and gateway roles as real processes under faults.
#include "batch_system.h"

#include <random>

using namespace persimmon;
using namespace persimmon::system_test;

namespace {

// Returns the seed of a soak and its length in seconds, which the environment may set.
unsigned soakSeed()
{
    const char *seed = std::getenv("PERSIMMON_SOAK_SEED");
    return seed == nullptr ? 1U : static_cast<unsigned>(std::atoi(seed));
}

std::int64_t soakSeconds(std::int64_t standard)
{
    const char *length = std::getenv("PERSIMMON_SOAK_SECONDS");
    return length == nullptr ? standard : std::atoll(length);
}

// Random numbers of a soak.
class random_source
{
public:
    explicit random_source(unsigned seed)
        : random_(seed)
    {
    }

    std::int64_t draw(std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
    }

private:
    std::mt19937 random_;
};

// Jobs that a soak submits, and what became of their submissions.
class soaked_jobs
{
public:
    soaked_jobs(batch_system &system, platform::standin_fleet &fleet, random_source &random)
        : system_(system)
        , fleet_(fleet)
        , random_(random)
    {
    }

    void submitOne()
    {
        const auto id = "l" + std::to_string(++submitted_);
        const platform::standin_job job {1000 * random_.draw(1, 3), 100 * random_.draw(3, 15),
                                         random_.draw(1, 3), submitted_ % 2 == 0};
        const auto body = addJob(fleet_, id, job);
        const auto status = system_.sendToGateway("POST", "/q/" + id, body).status;
        if (status == 200)
            accepted_.push_back(id);
        else if (status == 503 || status == 429)
            refused_.push_back(id);
    }

    int count() const { return submitted_; }

    // Checks that all accepted jobs end as done, and that the refused ones are unknown.
    void check()
    {
        const bool done = system_.stepUntil(
                fleet_, [this] { return allDone(); }, 60000);
        for (const auto &violation : fleet_.violations)
            FAIL(violation.c_str());
        if (!done)
            FAIL(("not done: " + accepted_.back() + " " + system_.jobState(accepted_.back()))
                         .c_str());
        for (const auto &id : refused_) {
            const auto status = system_.sendToGateway("GET", "/q/" + id).status;
            if (status != 410)
                FAIL(("refused, but known: " + id + " " + std::to_string(status)).c_str());
        }
    }

private:
    bool allDone()
    {
        while (!accepted_.empty() && system_.jobState(accepted_.back()) == "done")
            accepted_.pop_back();
        return accepted_.empty();
    }

    batch_system &system_;
    platform::standin_fleet &fleet_;
    random_source &random_;
    std::vector<std::string> accepted_;
    std::vector<std::string> refused_;
    int submitted_ = 0;
};

// Faults of links, several at a time, and of one scheduler at a time.
class link_faults
{
public:
    link_faults(batch_system &system, random_source &random)
        : system_(system)
        , random_(random)
        , faultUntilMs_(system.links().size())
        , nextFaultMs_(nowMs() + 1000)
        , nextSignalMs_(nowMs() + 2000)
    {
    }

    void step()
    {
        endFaults();
        if (nowMs() >= nextFaultMs_)
            beginFault();
        if (nowMs() < nextSignalMs_)
            return;
        if (suspended_ < 0)
            suspend();
        else
            resume();
    }

    void end()
    {
        if (suspended_ >= 0)
            system_.signalScheduler(suspended_, SIGCONT);
        for (auto &link : system_.links())
            link->set(link_condition::Good);
    }

private:
    void endFaults()
    {
        for (std::size_t i = 0; i < faultUntilMs_.size(); ++i) {
            if (nowMs() >= faultUntilMs_[i])
                system_.links()[i]->set(link_condition::Good);
        }
    }

    void beginFault()
    {
        nextFaultMs_ = nowMs() + random_.draw(100, 900);
        const auto link = static_cast<std::size_t>(
                random_.draw(0, static_cast<std::int64_t>(faultUntilMs_.size()) - 1));
        const auto kind = random_.draw(0, 4);
        if (kind == 0)
            return system_.links()[link]->reset();
        system_.links()[link]->set(static_cast<link_condition>(kind));
        // Some faults outlast the lease of a worker.
        faultUntilMs_[link] = nowMs() + random_.draw(100, random_.draw(0, 3) == 0 ? 9000 : 3000);
    }

    void suspend()
    {
        suspended_ = static_cast<int>(random_.draw(0, schedulers - 1));
        system_.signalScheduler(suspended_, SIGSTOP);
        nextSignalMs_ = nowMs() + random_.draw(200, 2500);
    }

    void resume()
    {
        system_.signalScheduler(suspended_, SIGCONT);
        if (random_.draw(0, 2) == 0) {
            system_.killScheduler(suspended_);
            system_.startScheduler(suspended_, false);
        }
        suspended_ = -1;
        nextSignalMs_ = nowMs() + random_.draw(500, 3000);
    }

    batch_system &system_;
    random_source &random_;
    std::vector<std::int64_t> faultUntilMs_; // by link
    std::int64_t nextFaultMs_;
    std::int64_t nextSignalMs_;
    int suspended_ = -1; // scheduler
};

} // namespace

TEST_GROUP(BatchSystemSoak) {};

// Guards against faults that only a long run shows: schedulers are killed, suspended and lose their
// data one after the other while jobs are submitted. PERSIMMON_SOAK_SECONDS sets the duration and
// PERSIMMON_SOAK_SEED the sequence of faults.
TEST(BatchSystemSoak, soakUnderFaults)
{
    std::mt19937 random(soakSeed());
    const auto end = nowMs() + 1000 * soakSeconds(15);
    batch_system system;
    platform::standin_fleet fleet(4);
    CHECK_TRUE(system.configure());
    std::vector<std::string> accepted;
    int next = 0;
    int victim = -1;
    int fault = 0;
    std::int64_t nextFault = nowMs() + 2000;
    std::int64_t nextJob = nowMs();
    while (nowMs() < end) {
        if (nowMs() >= nextJob) {
            nextJob = nowMs() + 250;
            const auto id = "s" + std::to_string(++next);
            const std::int64_t kind = next;
            const platform::standin_job job {1000 * (1 + kind % 3), 300 + kind % 7 * 200,
                                             1 + kind % 3, next % 2 == 0};
            if (system.sendToGateway("POST", "/q/" + id, addJob(fleet, id, job)).status == 200)
                accepted.push_back(id);
        }
        if (nowMs() >= nextFault && victim < 0) {
            victim = static_cast<int>(random() % schedulers);
            fault = static_cast<int>(random() % 3);
            if (fault == 0)
                system.signalScheduler(victim, SIGSTOP);
            else
                system.killScheduler(victim);
            if (fault == 2)
                system.removeSchedulerData(victim);
            nextFault = nowMs() + 1500;
        } else if (nowMs() >= nextFault) {
            if (fault == 0)
                system.signalScheduler(victim, SIGCONT);
            else
                system.startScheduler(victim, false);
            victim = -1;
            nextFault = nowMs() + 4000;
        }
        system.step(fleet);
    }
    if (victim >= 0 && fault == 0)
        system.signalScheduler(victim, SIGCONT);
    else if (victim >= 0)
        system.startScheduler(victim, false);
    const bool done = system.stepUntil(
            fleet,
            [&] {
                while (!accepted.empty() && system.jobState(accepted.back()) == "done")
                    accepted.pop_back();
                return accepted.empty();
            },
            60000);
    for (const auto &violation : fleet.violations)
        FAIL(violation.c_str());
    if (!done)
        FAIL(("not done: " + accepted.back() + " " + system.jobState(accepted.back())).c_str());
    CHECK_TRUE(next > 10);
}

// Guards against faults that only links show: connections that are slow, reset, silent or cut one
// way, several at a time, while a scheduler is suspended or killed. PERSIMMON_SOAK_SECONDS and
// PERSIMMON_SOAK_SEED as above.
TEST(BatchSystemSoak, soakThroughFaultyLinks)
{
    random_source random(soakSeed());
    const auto end = nowMs() + 1000 * soakSeconds(10);
    batch_system system;
    platform::standin_fleet fleet(4);
    CHECK_TRUE(system.configure());
    system.useLinks();
    soaked_jobs jobs(system, fleet, random);
    link_faults faults(system, random);
    for (auto nextJobMs = nowMs(); nowMs() < end;) {
        if (nowMs() >= nextJobMs) {
            nextJobMs = nowMs() + 300;
            jobs.submitOne();
        }
        faults.step();
        system.step(fleet);
    }
    faults.end();
    jobs.check();
    CHECK_TRUE(jobs.count() > 5);
}

// Guards against a core that is lost as a whole and comes back too late for urgent work, or without
// what it has accepted. PERSIMMON_RECOVERY_ROUNDS sets the number of losses; each is printed.
TEST(BatchSystemSoak, recoversAfterTheLossOfAllSchedulers)
{
    constexpr std::int64_t urgentStartMs = 5500; // target of the users
    const char *rounds = std::getenv("PERSIMMON_RECOVERY_ROUNDS");
    random_source random(soakSeed());
    batch_system system;
    platform::standin_fleet fleet(4);
    CHECK_TRUE(system.configure());
    soaked_jobs jobs(system, fleet, random);
    for (int round = 0; round < (rounds == nullptr ? 2 : std::atoi(rounds)); ++round) {
        jobs.submitOne();
        const auto steady = nowMs() + 500;
        CHECK_TRUE(system.stepUntil(fleet, [&] { return nowMs() >= steady; }));
        for (int i = 0; i < schedulers; ++i)
            system.killScheduler(i);
        for (int i = 0; i < schedulers; ++i)
            system.startScheduler(i, false);
        const auto backMs = nowMs();
        const auto id = "r" + std::to_string(round);
        const auto body = addJob(fleet, id, {1000, 500, 1, false});
        CHECK_TRUE(system.stepUntil(
                fleet, [&] { return system.sendToGateway("POST", "/q/" + id, body).status == 200; },
                urgentStartMs));
        const auto acceptedMs = nowMs();
        CHECK_TRUE(system.stepUntil(
                fleet, [&] { return fleet.hasStarted(id + ".0.0.0"); }, urgentStartMs));
        CHECK_TRUE(nowMs() - backMs <= urgentStartMs);
        printf("accepted after %lld ms, started after %lld ms\n",
               static_cast<long long>(acceptedMs - backMs),
               static_cast<long long>(nowMs() - backMs));
    }
    jobs.check();
}
