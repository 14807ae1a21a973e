#include "world.h"

#include <cstdlib>
#include <fstream>

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::control;
using namespace persimmon::control::test;

namespace {

// Records the events that are visible to callers, workers and operators. Times are in ms.
class transcript : public cluster_simulation::observer
{
public:
    explicit transcript(const simulation_options &options)
        : simulation(
                options, [](std::uint32_t) { return 0U; }, *this)
    {
        run(1500);
    }

    void write(const std::string &line)
    {
        text += std::to_string(simulation.wall().count()) + " " + line + "\n";
    }

    void run(std::uint32_t ms)
    {
        for (std::uint32_t i = 0; i < ms; i += 5) {
            simulation.run(5);
            showJobs();
            showIntents();
        }
    }

    void prepared(const sim_worker &worker, const task_ref &task) override
    {
        showTask(worker, task, "prepared");
    }
    void started(const sim_worker &worker, const task_ref &task) override
    {
        showTask(worker, task, "runs");
    }

    void applied(const sim_entry &entry, const sync_response &response) override
    {
        if (response.fullView)
            write(entry.id + ": whole view of term " + std::to_string(response.viewEpoch));
        if (response.hasTables)
            write(entry.id + ": tables " + std::to_string(response.newTables.version));
        for (const auto &value : response.upstreams)
            if (!response.fullView)
                write(entry.id + ": " + value.id + " incarnation "
                      + std::to_string(value.incarnation) + " " + std::string(toName(value.state)));
    }

    void apply(std::uint64_t version, const std::string &changeId, std::uint32_t weight)
    {
        auto next = sampleTables();
        next.workspaces.front().weight = weight;
        simulation.leader().applyTables(
                simulation.now(), next, version, changeId, false, [=, this](const auto &outcome) {
                    const auto prefix
                            = "apply " + changeId + " on version " + std::to_string(version) + ": ";
                    if (failed(outcome))
                        return write(prefix + std::string(describe(errorOf(outcome).code).name)
                                     + " " + errorOf(outcome).detail);
                    std::string changes;
                    for (const auto &change : valueOf(outcome).changes)
                        changes += std::string(" ") + change.sign + change.row;
                    write(prefix + "version " + std::to_string(valueOf(outcome).version) + changes);
                });
    }

    void submit(const std::string &key, std::uint32_t tasks)
    {
        simulation.leader().submitJob(
                simulation.now(), key, sampleJob(tasks), [=, this](const auto &outcome) {
                    write("submit " + key + ": "
                          + (failed(outcome)
                                     ? std::string(describe(errorOf(outcome).code).name)
                                     : "job " + std::to_string(toNumber(valueOf(outcome)))));
                });
    }

    void intent(const std::string &entry, const std::string &key)
    {
        simulation.leader().recordIntent(
                simulation.now(), {{"moreton", key}, 1, entry, 1}, [=, this](const auto &outcome) {
                    static const std::array<std::string, 4> names {"dispatch", "stored",
                                                                   "in progress", "unknown"};
                    write(entry + " asks for " + key + ": "
                          + (failed(outcome) ? std::string(describe(errorOf(outcome).code).name)
                                             : names.at(static_cast<std::size_t>(
                                                     valueOf(outcome).decision))));
                });
    }

    void showRollout()
    {
        const auto shown = simulation.leader().currentRollout(simulation.now());
        write("rollout of version " + std::to_string(shown.version)
              + (shown.complete ? " is complete on " : " is not complete; known entries: ")
              + std::to_string(shown.entries.size()));
    }

    std::string text;
    cluster_simulation simulation;

private:
    void showTask(const sim_worker &worker, const task_ref &task, const std::string &what)
    {
        write(worker.announced.id + ": " + what + " " + std::to_string(toNumber(task.job)) + "."
              + std::to_string(task.attempt) + "." + std::to_string(task.index));
    }

    void showJobs()
    {
        for (const auto &[id, entry] : simulation.data().jobs) {
            auto line = "job " + std::to_string(toNumber(id)) + ": "
                    + std::string(toName(entry.state)) + " attempt "
                    + std::to_string(entry.attempt);
            for (const auto &value : entry.results)
                line += " " + value;
            if (lastJobLines_[id] != line)
                write(line);
            lastJobLines_[id] = line;
        }
    }

    void showIntents()
    {
        for (const auto &[key, entry] : simulation.data().intents) {
            const auto line = "intent " + key.key + ": "
                    + (entry.open ? "open" : std::string(toName(entry.outcome)));
            if (lastIntentLines_[key.key] != line)
                write(line);
            lastIntentLines_[key.key] = line;
        }
    }

    std::map<job_id, std::string> lastJobLines_;
    std::map<std::string, std::string> lastIntentLines_;
};

simulation_options smallSimulation()
{
    simulation_options options;
    options.control.self = 1;
    options.runTime = 4000;
    return options;
}

// Compares a transcript with its golden file. PERSIMMON_UPDATE_GOLDEN=1 rewrites the file.
void compare(const std::string &name, const std::string &text)
{
    const auto path = "test/golden/" + name + ".txt";
    if (std::getenv("PERSIMMON_UPDATE_GOLDEN")) // NOLINT(concurrency-mt-unsafe)
        std::ofstream(path) << text;
    std::ifstream file(path);
    const std::string expected {std::istreambuf_iterator<char>(file), {}};
    STRCMP_EQUAL(expected.c_str(), text.c_str());
}

} // namespace

TEST_GROUP(golden) {};

// Guards against a lost update, a different answer to a repeated change id, and a version that
// reverts.
TEST(golden, operatorsRace)
{
    transcript session(smallSimulation());
    session.apply(0, "first", 1);
    session.run(1000);
    session.apply(1, "left", 2);
    session.apply(1, "right", 3);
    session.run(1000);
    session.showRollout();
    session.apply(1, "left", 2);
    session.apply(2, "right", 3);
    session.simulation.entries()[1].partitioned = true;
    session.apply(2, "third", 4);
    session.run(1000);
    session.showRollout();
    session.run(2000);
    session.showRollout();
    compare("operators-race", session.text);
}

// Guards against faults after a leader change: jobs that restart, intents that are reopened, and a
// roll-out that is reported complete too early.
TEST(golden, leaderLost)
{
    transcript session(smallSimulation());
    session.apply(0, "first", 1);
    session.run(500);
    session.submit("long", 2);
    session.intent("entry-1", "call");
    session.run(1500);
    session.simulation.loseLeader();
    session.write("leader lost");
    session.run(800);
    session.simulation.startLeader();
    session.write("new leader");
    session.submit("long", 2);
    session.intent("entry-2", "call");
    session.apply(1, "second", 2);
    session.run(1500);
    session.showRollout();
    session.run(1000);
    session.showRollout();
    session.run(4000);
    compare("leader-lost", session.text);
}

// Guards against new tasks on leaving workers, tasks of an old incarnation, and intents that stay
// open after their entry has restarted.
TEST(golden, rollingRestart)
{
    transcript session(smallSimulation());
    session.apply(0, "first", 1);
    session.run(500);
    session.intent("entry-1", "call");
    for (auto &worker : session.simulation.workers()) {
        session.write(worker.announced.id + " leaves");
        worker.announced.state = upstream_state::Leaving;
        session.run(1200);
        session.submit("for " + worker.announced.id, 1);
        session.run(1500);
        session.simulation.restartWorker(worker);
    }
    session.write("entry-1 restarts");
    session.simulation.restartEntry(session.simulation.entries()[0]);
    session.run(500);
    session.intent("entry-2", "call");
    session.run(3000);
    compare("rolling-restart", session.text);
}

// Guards against tasks of two attempts that run at the same time, and against a gang that continues
// without a lost member.
TEST(golden, gangWithLostWorker)
{
    transcript session(smallSimulation());
    session.apply(0, "first", 1);
    session.run(500);
    session.submit("gang", 3);
    session.run(1500);
    session.write("w2 dies");
    session.simulation.workers()[1].up = false;
    session.run(20000);
    session.write("w2 restarts");
    session.simulation.restartWorker(session.simulation.workers()[1]);
    session.run(6000);
    compare("gang-through-a-workers-death", session.text);
}
