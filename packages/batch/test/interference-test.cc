// Checks which kinds of task the model believes to slow each other down.

// CppUTest redefines `new`, so its header comes after RapidCheck's.
#include "seeded_check.h"

#include "batch/interference.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>

using namespace persimmon;
using namespace persimmon::batch;

namespace {

constexpr std::int64_t heartbeatMs = 250;

// Workers that run tasks of three kinds. Each has a speed of its own.
class fleet
{
public:
    static constexpr int workers = 6;
    static constexpr int kinds = 3;

    explicit fleet(std::uint32_t seed)
        : state_(seed)
    {
        for (int i = 0; i < kinds; ++i)
            kinds_.push_back(*model.indexOf(now, {"q" + std::to_string(i), 0}, false));
    }

    // Lets tasks of all kinds come and go.
    void run(std::int64_t ms)
    {
        for (std::int64_t passed = 0; passed < ms; passed += heartbeatMs) {
            now += milliseconds {heartbeatMs};
            timeMs_ += heartbeatMs;
            for (int i = 0; i < workers; ++i)
                step(i);
            model.expire(now);
        }
    }

    bool believes(int slowed, int neighbour) const
    {
        return model.avoidedBy(kinds_[static_cast<std::size_t>(slowed)])
                .test(kinds_[static_cast<std::size_t>(neighbour)]);
    }

    interference_model model;
    time_point now {std::chrono::seconds {100}};
    // Factor by which a kind is slower beside another, in order.
    std::array<std::array<double, kinds>, kinds> slowdown {{{1, 1, 1}, {1, 1, 1}, {1, 1, 1}}};
    std::array<double, kinds> lengthMs {4000, 4000, 4000};
    std::array<double, workers> speed {1, 1, 1, 1, 1, 1};
    double declineOverRun = 0; // part of its speed that a run loses until its end
    bool turnsSlow = false; // workers lose half of their speed at random times
    bool stops = false; // runs on the first worker make no progress

private:
    struct task
    {
        bool running = false;
        double percent = 0;
        double length = 1; // of this one, relative to its kind
        run_history history;
    };

    // A linear congruential generator: the same numbers on each platform.
    double random()
    {
        state_ = state_ * 6364136223846793005ULL + 1442695040888963407ULL;
        return static_cast<double>(state_ >> 33) / static_cast<double>(1ULL << 31);
    }

    void advance(int worker, int kind, task &item)
    {
        auto rate = speed[worker] * (1 - declineOverRun * item.percent / 100);
        if (slow_[worker])
            rate /= 2;
        if (stops && worker == 0)
            rate = 0;
        for (int other = 0; other < kinds; ++other) {
            if (other != kind && tasks_[worker][other].running)
                rate /= slowdown[kind][other];
        }
        item.percent += 100 * heartbeatMs * rate / (lengthMs[kind] * item.length);
    }

    void step(int worker)
    {
        if (turnsSlow && random() < 0.03)
            slow_[worker] = !slow_[worker];
        auto &tasks = tasks_[worker];
        for (int kind = 0; kind < kinds; ++kind) {
            if (tasks[kind].running)
                advance(worker, kind, tasks[kind]);
        }
        std::vector<observed_run> rows;
        for (int kind = 0; kind < kinds; ++kind) {
            auto &item = tasks[kind];
            const bool ended = item.running && item.percent >= 100;
            if (item.running)
                rows.push_back({&item.history, kinds_[static_cast<std::size_t>(kind)], false, true,
                                ended, static_cast<std::uint32_t>(std::min(99.0, item.percent)),
                                0});
            item.running = item.running && !ended;
        }
        model.observe(now, {"w" + std::to_string(worker), timeMs_, true, rows});
        for (auto &item : tasks) {
            if (!item.running && random() < 0.1)
                item = {true, 0, 0.3 + 1.5 * random(), {}};
        }
    }

    std::uint64_t state_;
    std::int64_t timeMs_ = 0;
    std::vector<kind_index> kinds_;
    std::array<std::array<task, kinds>, workers> tasks_;
    std::array<bool, workers> slow_ {};
};

constexpr std::int64_t minuteMs = 60'000;

} // namespace

TEST_GROUP(Interference) {};

// Guards against a pair that is never found, and against blaming a third kind that runs beside
// both. Lengths vary by a factor of six.
TEST(Interference, findsThePairThatDisturbsEachOther)
{
    fleet tasks(1);
    tasks.slowdown[0][1] = 1.6;
    tasks.slowdown[1][0] = 1.6;
    tasks.run(5 * minuteMs);
    CHECK_TRUE(tasks.believes(0, 1));
    CHECK_FALSE(tasks.believes(0, 2));
    CHECK_FALSE(tasks.believes(1, 2));
    const auto changes = tasks.model.takeChanges();
    CHECK_EQUAL(2, changes.size());
    CHECK_TRUE(changes.front().found);
    CHECK_TRUE(changes.front().evidence.workers >= 3);
}

// Guards against belief in an estimate that is far from the true slow-down.
TEST(Interference, estimatesTheSlowdown)
{
    fleet tasks(2);
    tasks.slowdown[0][1] = 1.6;
    tasks.run(10 * minuteMs);
    CHECK_TRUE(tasks.believes(0, 1));
    DOUBLES_EQUAL(std::log(1.6), tasks.model.costBeside(0, 1), 0.1);
}

// Guards against belief after a few comparisons.
TEST(Interference, believesNothingBeforeEnoughEvidence)
{
    fleet tasks(3);
    tasks.slowdown[0][1] = 3;
    tasks.run(2000);
    CHECK_FALSE(tasks.model.believesAny());
}

// Guards against a suspicion that lasts once tasks no longer disturb each other.
TEST(Interference, endsWhenTheDisturbanceEnds)
{
    fleet tasks(4);
    tasks.slowdown[0][1] = 1.6;
    tasks.run(5 * minuteMs);
    CHECK_TRUE(tasks.believes(0, 1));
    tasks.slowdown[0][1] = 1;
    tasks.run(10 * minuteMs);
    CHECK_FALSE(tasks.believes(0, 1));
    CHECK_FALSE(tasks.model.takeChanges().back().found);
}

// Guards against a suspicion that lasts because the two kinds are kept apart and never compared
// again.
TEST(Interference, endsWithoutNewEvidence)
{
    fleet tasks(5);
    tasks.slowdown[0][1] = 1.6;
    tasks.run(5 * minuteMs);
    CHECK_TRUE(tasks.model.believesAny());
    tasks.model.expire(tasks.now + std::chrono::minutes {60});
    CHECK_FALSE(tasks.model.believesAny());
}

// Guards against taking slow workers, and workers that turn slow, for neighbours.
TEST(Interference, isNotMisledBySlowWorkers)
{
    fleet tasks(6);
    tasks.speed = {0.5, 0.5, 1, 1, 0.3, 1};
    tasks.turnsSlow = true;
    tasks.run(60 * minuteMs);
    CHECK_FALSE(tasks.model.believesAny());
}

// Guards against taking a kind that is slow by itself, or runs that slow down towards their ends,
// for disturbed ones.
TEST(Interference, isNotMisledBySlowKinds)
{
    fleet tasks(7);
    tasks.lengthMs = {1500, 12'000, 4000};
    tasks.declineOverRun = 0.5;
    tasks.run(60 * minuteMs);
    CHECK_FALSE(tasks.model.believesAny());
}

// Guards against taking a worker on which nothing advances for a disturbance.
TEST(Interference, isNotMisledByFailingWorkers)
{
    fleet tasks(8);
    tasks.stops = true;
    tasks.run(20 * minuteMs);
    CHECK_FALSE(tasks.model.believesAny());
}

// Guards against tail latencies that count for nothing. The neighbour comes and goes every four
// seconds.
TEST(Interference, comparesTailLatencies)
{
    interference_model model;
    time_point now {std::chrono::seconds {100}};
    const auto serving = *model.indexOf(now, {"serve", 0}, true);
    const auto filler = *model.indexOf(now, {"fill", 0}, false);
    std::array<run_history, 3> histories;
    std::array<run_history, 3> fillers;
    for (std::int64_t ms = 0; ms < 4 * minuteMs; ms += heartbeatMs) {
        now += milliseconds {heartbeatMs};
        const bool beside = ms / 4000 % 2 == 1;
        for (std::size_t i = 0; i < histories.size(); ++i) {
            std::vector<observed_run> rows;
            rows.push_back({&histories.at(i), serving, true, true, false, 0, beside ? 60 : 30});
            if (beside)
                rows.push_back({&fillers.at(i), filler, false, true, false, 0, 0});
            model.observe(now, {"w" + std::to_string(i), ms, true, rows});
        }
    }
    CHECK_TRUE(model.avoidedBy(serving).test(filler));
    CHECK_TRUE(model.costBeside(serving, filler) > 2 * std::log(2));
}

// Guards against comparisons with the time in which the scheduler itself slowed a run down.
TEST(Interference, ignoresRunsThatArePaced)
{
    interference_model model;
    time_point now {std::chrono::seconds {100}};
    const auto slowed = *model.indexOf(now, {"a", 0}, false);
    const auto other = *model.indexOf(now, {"b", 0}, false);
    std::array<run_history, 3> histories;
    std::array<run_history, 3> others;
    std::array<double, 3> percent {};
    for (std::int64_t ms = 0; ms < 4 * minuteMs; ms += heartbeatMs) {
        now += milliseconds {heartbeatMs};
        const bool beside = ms / 2000 % 2 == 1;
        for (std::size_t i = 0; i < histories.size(); ++i) {
            percent.at(i) += beside ? 1 : 3;
            if (percent.at(i) > 100) {
                percent.at(i) = 0;
                histories.at(i) = {};
            }
            std::vector<observed_run> rows;
            rows.push_back({&histories.at(i), slowed, false, !beside, false,
                            static_cast<std::uint32_t>(percent.at(i)), 0});
            if (beside)
                rows.push_back({&others.at(i), other, false, true, false, 0, 0});
            model.observe(now, {"w" + std::to_string(i), ms, true, rows});
        }
    }
    CHECK_FALSE(model.believesAny());
}

// Guards against memory that grows with the number of kinds, and against kinds that keep their
// place when they are no longer used.
TEST(Interference, boundsItsMemory)
{
    interference_model model;
    time_point now {std::chrono::seconds {100}};
    for (int i = 0; i < 1000; ++i)
        model.indexOf(now, {"q" + std::to_string(i), 0}, false);
    CHECK_EQUAL(maxTaskKinds, model.counts().kinds);
    CHECK_FALSE(model.indexOf(now, {"new", 0}, false).has_value());
    now += std::chrono::minutes {11};
    CHECK_TRUE(model.indexOf(now, {"new", 0}, false).has_value());
    CHECK_EQUAL(maxTaskKinds, model.counts().kinds);
}

// Guards against more pairs than the limit when all kinds are seen beside each other.
TEST(Interference, boundsThePairs)
{
    interference_model model;
    time_point now {std::chrono::seconds {100}};
    for (std::size_t i = 0; i < maxTaskKinds; ++i)
        model.indexOf(now, {"q" + std::to_string(i), 0}, false);
    std::int64_t ms = 0;
    for (std::size_t first = 0; first < maxTaskKinds; ++first) {
        for (std::size_t second = 0; second < maxTaskKinds; second += 2) {
            run_history history;
            run_history neighbour;
            for (std::uint32_t percent = 0; percent < 90; percent += 6) {
                now += milliseconds {heartbeatMs};
                ms += heartbeatMs;
                std::vector<observed_run> rows;
                rows.push_back(
                        {&history, static_cast<kind_index>(first), false, true, false, percent, 0});
                if (percent >= 30 && percent < 60)
                    rows.push_back({&neighbour, static_cast<kind_index>(second), false, true, false,
                                    0, 0});
                model.observe(now, {"w", ms, true, rows});
            }
        }
    }
    CHECK_EQUAL(512, model.counts().pairs);
}

// Guards against belief without cause, whatever the lengths and speeds, and against a disturbance
// that is found only for some of them.
TEST(Interference, findsDisturbancesAndNothingElse)
{
    CHECK_TRUE(test::checkSeeded("findsDisturbancesAndNothingElse", 20, [] {
        fleet tasks(*rc::gen::arbitrary<std::uint32_t>());
        const bool disturbed = *rc::gen::arbitrary<bool>();
        if (disturbed)
            tasks.slowdown[0][1] = 1.5 + *rc::gen::inRange(0, 10) / 10.0;
        for (auto &speed : tasks.speed)
            speed = *rc::gen::inRange(4, 12) / 10.0;
        for (auto &length : tasks.lengthMs)
            length = *rc::gen::inRange(2000, 10'000);
        tasks.declineOverRun = *rc::gen::inRange(0, 4) / 10.0;
        tasks.run(15 * minuteMs);
        RC_ASSERT(tasks.believes(0, 1) == disturbed);
        RC_ASSERT(!tasks.believes(0, 2));
        RC_ASSERT(!tasks.believes(1, 2));
    }));
}
