#include "oracle.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include <rapidcheck.h>

// Included last: CppUTest replaces operator new by a macro.
#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::placement;
using namespace persimmon::placement::test;

namespace {

// One random step. The operands are reduced modulo the number of candidates, so that every list of
// commands is valid and can be shrunk.
struct command
{
    int kind = 0;
    unsigned first = 0;
    unsigned second = 0;
};

std::ostream &operator<<(std::ostream &out, const command &item)
{
    return out << '{' << item.kind << ',' << item.first << ',' << item.second << '}';
}

std::string setting(const char *name, const char *fallback)
{
    const auto *value = std::getenv(name);
    return value == nullptr ? fallback : value;
}

// Sets the parameters of RapidCheck, which reads them from the environment once. The seed is fixed
// unless PERSIMMON_SEED is set.
void configure()
{
    const auto parameters = "seed=" + setting("PERSIMMON_SEED", "20261204")
            + " max_success=" + setting("PERSIMMON_RUNS", "60") + " max_size=120";
    setenv("RC_PARAMS", parameters.c_str(), 1);
}

std::string workerName(unsigned number)
{
    return "w" + std::to_string(number % 6);
}

// Two racks of two workers in one region, and one rack of two in another.
location placeOf(unsigned number)
{
    const auto rack = number % 6 / 2;
    return {rack == 2 ? "s" : "r", "a", "rack" + std::to_string(rack)};
}

job_spec makeSpec(unsigned first, unsigned second)
{
    job_spec spec;
    spec.workspace = first % 3 == 0 ? "x" : "y";
    spec.pool = "gpu";
    spec.priority = static_cast<priority_class>(first / 3 % 3);
    spec.repeatable = first / 9 % 4 != 0;
    spec.tasks = second % 4 + 1;
    spec.task.accelerators = second / 4 % 5;
    spec.task.cores = second / 20 % 4 == 0 ? 6 : std::max(1U, spec.task.accelerators * 2);
    spec.task.memoryMb = 1;
    return spec;
}

tables_changed makeTables(unsigned first, const std::string &strategy)
{
    tables_changed tables;
    tables.pools.push_back({.name = "gpu", .strategy = strategy});
    const std::vector<std::vector<shape>> choices {
            {}, {{1, 4}}, {{2, 4}}, {{1, 2}, {1, 2}}, {{1, 1}, {2, 2}}, {{1, 4}, {1, 2}}};
    for (const auto *name : {"x", "y"}) {
        workspace owner;
        owner.name = name;
        owner.quotaAccelerators = first % 5 == 4 ? 10 : 0;
        for (const auto &block : choices[first % choices.size()]) {
            owner.guarantees.push_back({"gpu", block, 1});
        }
        tables.workspaces.push_back(owner);
        first /= static_cast<unsigned>(choices.size());
    }
    return tables;
}

// Returns the job with the given rank among those that hold workers, or zero if there is none.
std::uint64_t pickRunning(const oracle &model, unsigned rank)
{
    std::vector<std::uint64_t> running;
    for (const auto &[id, item] : model.jobs) {
        if (!item.workers.empty()) {
            running.push_back(id);
        }
    }
    return running.empty() ? 0 : running[rank % running.size()];
}

void endAttempt(oracle &model, std::uint64_t id, bool fails)
{
    const auto item = model.jobs[id];
    auto how = fails ? attempt_end::TaskFailed : attempt_end::Completed;
    if (item.state == oracle::progress::Stopping) {
        how = attempt_end::Preempted;
    }
    model.send(attempt_ended {job_id {id}, item.attempt, how, item.workers.front()});
}

// Removes a worker and ends the attempts on it, as the control group reports it.
void loseWorker(oracle &model, const std::string &name)
{
    model.send(worker_left {name});
    const auto jobs = model.jobs;
    for (const auto &[id, item] : jobs) {
        if (std::ranges::find(item.workers, name) != item.workers.end()) {
            model.send(attempt_ended {job_id {id}, item.attempt, attempt_end::WorkerLost, name});
        }
    }
}

void changeTables(oracle &model, unsigned first, const std::string &strategy)
{
    const auto next = makeTables(first, strategy);
    if (!failed(model.validate(next))) {
        model.send(event(next));
    }
}

void apply(oracle &model, const command &item, const std::string &strategy)
{
    const auto running = pickRunning(model, item.first);
    const auto next = model.jobs.size() + 1;
    if (item.kind < 8) {
        model.send(job_submitted {job_id {next}, makeSpec(item.first, item.second)});
    } else if (item.kind < 13 && running != 0) {
        endAttempt(model, running, item.kind == 12);
    } else if (item.kind == 13) {
        model.send(worker_joined {workerName(item.first), "gpu", placeOf(item.first), {4, 8, 64}});
    } else if (item.kind == 14 && model.workers.contains(workerName(item.first))) {
        loseWorker(model, workerName(item.first));
    } else if (item.kind == 15 && !model.jobs.empty()) {
        const auto id = item.first % model.jobs.size() + 1;
        if (model.jobs[id].state != oracle::progress::Ended) {
            model.send(job_cancelled {job_id {id}});
        }
    } else if (item.kind == 16) {
        changeTables(model, item.first, strategy);
    } else if (item.kind == 17) {
        model.wait(milliseconds(item.first % 9000));
    } else if (item.kind == 18 && model.workers.contains(workerName(item.first))) {
        model.send(worker_leaving {workerName(item.first)});
    } else if (item.kind == 19 && running != 0) {
        // A late report of the previous attempt.
        const auto attempt = model.jobs[running].attempt - 1;
        model.send(attempt_ended {job_id {running}, attempt, attempt_end::Completed, ""});
    }
}

rc::Gen<command> anyCommand()
{
    return rc::gen::build<command>(rc::gen::set(&command::kind, rc::gen::inRange(0, 20)),
                                   rc::gen::set(&command::first, rc::gen::inRange(0U, 1000U)),
                                   rc::gen::set(&command::second, rc::gen::inRange(0U, 1000U)));
}

bool holdsFor(const std::string &strategy, bool reservations)
{
    configure();
    return rc::check("placement: " + strategy, [&] {
        const auto commands = *rc::gen::container<std::vector<command>>(anyCommand());
        scheduler_options options;
        options.strategy = strategy;
        options.reservationDelay = milliseconds(reservations ? 5000 : 1000000000);
        options.quarantineThreshold = 2;
        oracle model(options);
        for (unsigned worker = 0; worker < 6; ++worker) {
            model.send(worker_joined {workerName(worker), "gpu", placeOf(worker), {4, 8, 64}});
        }
        for (const auto &item : commands) {
            apply(model, item, strategy);
            model.wait(milliseconds(0));
            model.checkQuiet(reservations);
            if (!model.failures.empty()) {
                RC_FAIL(model.failures.front());
            }
        }
        model.drain();
        if (!model.failures.empty()) {
            RC_FAIL(model.failures.front());
        }
    });
}

} // namespace

TEST_GROUP(fuzz) {};

// Guards against oversubscribed workers, partial gangs, broken guarantees, capacity that stays idle
// although a waiting job fits, and lost jobs.
TEST(fuzz, buddyWithoutReservations)
{
    CHECK_TRUE(holdsFor("buddy", false));
}

TEST(fuzz, buddyWithReservations)
{
    CHECK_TRUE(holdsFor("buddy", true));
}

TEST(fuzz, bestFitAndFirstFit)
{
    CHECK_TRUE(holdsFor("best_fit", false));
    CHECK_TRUE(holdsFor("first_fit", true));
}
