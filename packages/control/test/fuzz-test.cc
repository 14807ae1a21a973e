#include "oracle.h"

#include <cstdlib>
#include <iostream>
#include <random>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::control;
using namespace persimmon::control::test;

namespace {

std::string environment(const char *name, const std::string &fallback)
{
    const char *value = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return value ? value : fallback;
}

// Actions of a fuzz run. A run is a generated list of them.
enum class fuzz_action : std::uint8_t {
    None,
    Submit,
    Cancel,
    LoseLeader,
    StopWorker,
    RestartWorker,
    LeaveWorker,
    ToggleTaskFailures,
    ToggleWorkerPartition,
    StopEntry,
    RestartEntry,
    PartitionEntry,
    HealEntries,
    ApplyTables,
    LoseReplies,
    ToggleHeldLog,
    Request,
    ChangeLoad,
};
constexpr int actionCount = 18;

class session
{
public:
    explicit session(std::uint32_t seed)
        : engine_(seed)
        , simulation_(
                  optionsOf(), [this](std::uint32_t below) { return random(below); }, oracle_)
    {
        oracle_.simulation = &simulation_;
        run(1500);
        perform(fuzz_action::ApplyTables);
        run(500);
    }

    void perform(fuzz_action kind)
    {
        static const std::map<fuzz_action, void (session::*)()> handlers {
                {fuzz_action::Submit, &session::submit},
                {fuzz_action::Cancel, &session::cancel},
                {fuzz_action::LoseLeader, &session::loseLeader},
                {fuzz_action::StopWorker, &session::stopWorker},
                {fuzz_action::RestartWorker, &session::restartWorker},
                {fuzz_action::LeaveWorker, &session::leaveWorker},
                {fuzz_action::ToggleTaskFailures, &session::toggleTaskFailures},
                {fuzz_action::ToggleWorkerPartition, &session::toggleWorkerPartition},
                {fuzz_action::StopEntry, &session::stopEntry},
                {fuzz_action::RestartEntry, &session::restartEntry},
                {fuzz_action::PartitionEntry, &session::partitionEntry},
                {fuzz_action::HealEntries, &session::healEntries},
                {fuzz_action::ApplyTables, &session::applyTables},
                {fuzz_action::LoseReplies, &session::loseReplies},
                {fuzz_action::ToggleHeldLog, &session::toggleHeldLog},
                {fuzz_action::Request, &session::requests},
                {fuzz_action::ChangeLoad, &session::changeLoad},
        };
        if (const auto found = handlers.find(kind); found != handlers.end())
            (this->*found->second)();
        run(random(1200));
    }

    // Repairs all faults and then checks that each job ends, that no intent of a replaced entry
    // stays open, and that the roll-out completes.
    void recover()
    {
        if (!simulation_.hasLeader())
            simulation_.startLeader();
        simulation_.log().held = false;
        simulation_.log().release();
        simulation_.log().loseReplies = 0;
        simulation_.disableFaults();
        for (auto &entry : simulation_.entries()) {
            entry.partitioned = false;
            if (!entry.up)
                simulation_.restartEntry(entry);
        }
        for (auto &worker : simulation_.workers()) {
            worker.failsTasks = worker.partitioned = false;
            if (!worker.up || worker.announced.state == upstream_state::Leaving)
                simulation_.restartWorker(worker);
        }
        run(6000); // until leases of earlier leaders and entries have expired
        for (int i = 0; i < 900 && !simulation_.data().openJobs.empty(); ++i)
            run(1000);
        for (const auto id : simulation_.data().openJobs) {
            const auto &entry = *simulation_.data().find(id);
            oracle_.violations.push_back("job " + std::to_string(toNumber(id)) + " stays "
                                         + std::string(toName(entry.state)) + " in attempt "
                                         + std::to_string(entry.attempt));
            for (const auto &record : entry.records)
                oracle_.violations.push_back(std::to_string(record.at.count()) + " "
                                             + std::string(toName(record.kind)) + " "
                                             + record.detail);
        }
        std::set<entry_incarnation> alive;
        for (const auto &entry : simulation_.entries())
            alive.emplace(entry.id, entry.incarnation);
        for (const auto &item : simulation_.data().openIntents)
            if (!alive.contains(item.first))
                oracle_.violations.push_back("intents of " + item.first.first + " stay open");
        if (!simulation_.leader().currentRollout(simulation_.now()).complete)
            oracle_.violations.emplace_back("rollout never completes");
    }

    const std::vector<std::string> &violations() const { return oracle_.violations; }
    std::size_t doneJobs() const { return simulation_.data().endedJobs.size(); }

private:
    simulation_options optionsOf()
    {
        simulation_options options;
        options.control.self = 1;
        options.workers = 3 + random(4);
        options.entries = 2 + random(2);
        options.lossPercent = random(3) * 10;
        options.maxDelay = 1 + random(120);
        options.runTime = 500 + random(16000); // may exceed the task lease
        return options;
    }

    std::uint32_t random(std::uint32_t below)
    {
        return below < 2 ? 0 : static_cast<std::uint32_t>(engine_() % below);
    }

    void run(std::uint32_t ms)
    {
        for (std::uint32_t i = 0; i < ms; i += 25) {
            simulation_.run(25);
            oracle_.check();
            if (nextLeaderAt_ != time_point {} && simulation_.now() >= nextLeaderAt_) {
                nextLeaderAt_ = {};
                simulation_.startLeader();
            }
        }
    }

    sim_worker &randomWorker()
    {
        auto &all = simulation_.workers();
        return all[random(static_cast<std::uint32_t>(all.size()))];
    }

    sim_entry &randomEntry()
    {
        auto &all = simulation_.entries();
        return all[random(static_cast<std::uint32_t>(all.size()))];
    }

    void submit()
    {
        auto spec = sampleJob(1 + random(3));
        spec.repeatable = random(2) == 0;
        spec.priority = random(4) == 0 ? priority_class::Urgent : priority_class::Standard;
        const auto key = random(4) == 0 ? "" : "k" + std::to_string(random(1000));
        simulation_.leader().submitJob(simulation_.now(), key, spec, [](const auto &) {});
    }

    void cancel()
    {
        const auto &jobs = simulation_.data().jobs;
        if (jobs.empty())
            return;
        const auto position = random(static_cast<std::uint32_t>(jobs.size()));
        simulation_.leader().cancelJob(simulation_.now(), std::next(jobs.begin(), position)->first,
                                       [](const auto &) {});
    }

    void loseLeader()
    {
        simulation_.loseLeader();
        if (nextLeaderAt_ == time_point {})
            nextLeaderAt_ = simulation_.now() + milliseconds {300 + random(4) * 700};
    }

    void stopWorker() { randomWorker().up = false; }
    void restartWorker() { simulation_.restartWorker(randomWorker()); }
    void leaveWorker() { randomWorker().announced.state = upstream_state::Leaving; }

    void toggleWorkerPartition()
    {
        auto &worker = randomWorker();
        worker.partitioned = !worker.partitioned;
    }

    void toggleTaskFailures()
    {
        auto &worker = randomWorker();
        worker.failsTasks = !worker.failsTasks;
    }

    void stopEntry() { randomEntry().up = false; }
    void restartEntry() { simulation_.restartEntry(randomEntry()); }
    void partitionEntry() { randomEntry().partitioned = true; }

    void healEntries()
    {
        for (auto &entry : simulation_.entries()) {
            entry.partitioned = false;
            if (!entry.up)
                simulation_.restartEntry(entry);
        }
    }

    void applyTables()
    {
        auto next = sampleTables();
        next.workspaces.front().weight = 1 + random(100);
        const auto version = simulation_.data().current.version - (random(4) == 0 ? 1 : 0);
        const auto id = "c" + std::to_string(random(40));
        const bool repeated = simulation_.data().findChange(id);
        simulation_.leader().applyTables(
                simulation_.now(), next, version, id, false, [this, repeated](const auto &outcome) {
                    if (!failed(outcome) && !repeated)
                        oracle_.acceptedVersions.emplace(valueOf(outcome).version,
                                                         simulation_.now());
                });
    }

    void loseReplies() { simulation_.log().loseReplies += 1 + static_cast<int>(random(3)); }
    void toggleHeldLog() { simulation_.log().held = !simulation_.log().held; }
    void changeLoad() { randomEntry().load = random(200); }

    void requests()
    {
        for (int i = 0; i < 4; ++i)
            request();
    }

    // Lets an entry record the intent of a non-repeatable request.
    void request()
    {
        auto &entry = randomEntry();
        if (!entry.up || simulation_.now() >= entry.leaseUntil)
            return;
        const auto key = "r" + std::to_string(random(6));
        const intent_request intent {{"moreton", key}, 1, entry.id, entry.incarnation};
        const bool replyReceived = random(5) != 0;
        simulation_.leader().recordIntent(simulation_.now(), intent,
                                          [=, this](const auto &outcome) {
                                              if (replyReceived && !failed(outcome))
                                                  dispatch(intent, valueOf(outcome));
                                          });
    }

    void dispatch(const intent_request &intent, const intent_reply &answer)
    {
        if (answer.decision == intent_decision::Stored
            && answer.stored.body != answerBodies_[intent.key.key])
            oracle_.violations.push_back("request " + intent.key.key + " has another answer");
        const bool ownsDispatch = answer.decision == intent_decision::Dispatch
                || (answer.decision == intent_decision::InProgress && answer.attempt != 0);
        if (!ownsDispatch || !dispatched_.insert(answer.attempt).second)
            return;
        outcome_record record {intent.key, answer.attempt, request_outcome::NotRun, {}};
        if (random(4) != 0) {
            ++oracle_.runsByKey[intent.key.key];
            record.outcome = request_outcome::Ran;
            record.stored.body = answerBodies_[intent.key.key] = std::to_string(answer.attempt);
        }
        if (random(4) != 0)
            simulation_.leader().recordOutcome(simulation_.now(), record, [](const auto &) {});
    }

    std::mt19937 engine_;
    oracle oracle_;
    cluster_simulation simulation_;
    time_point nextLeaderAt_ {};
    std::set<std::uint64_t> dispatched_;
    std::map<std::string, std::string> answerBodies_;
};

bool checkSessions(const std::string &name, const std::string &runs)
{
    const auto seed = environment("PERSIMMON_SEED", "20261204");
    const auto parameters = "seed=" + seed + " max_success=" + environment("PERSIMMON_RUNS", runs);
    setenv("RC_PARAMS", parameters.c_str(), 1); // NOLINT(concurrency-mt-unsafe)
    const bool passed = rc::check(name, [] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        // Uses the full size from the first run on, because small sizes draw only the first
        // actions.
        const auto actions = *rc::gen::resize(
                rc::kNominalSize,
                rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, actionCount)));
        session run(seed);
        for (const auto kind : actions)
            run.perform(static_cast<fuzz_action>(kind));
        run.recover();
        for (const auto &violation : run.violations())
            RC_LOG() << violation << "\n";
        RC_ASSERT(run.violations().empty());
    });
    if (!passed)
        std::cerr << "seed " << seed << "\n";
    return passed;
}

} // namespace

TEST_GROUP(fuzz) {};

TEST(fuzz, keepsTheInvariantsUnderFailures)
{
    CHECK_TRUE(checkSessions("invariants hold under failures", "300"));
}
