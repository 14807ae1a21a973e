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

std::string environment(const char *name, const std::string &otherwise)
{
    const char *value = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return value ? value : otherwise;
}

// Kinds of disturbance; a generated list of them is one run.
enum class disturbance : std::uint8_t {
    Nothing,
    Submit,
    Cancel,
    LoseLeader,
    StopWorker,
    RestartWorker,
    LeaveWorker,
    BreakWorker,
    CutWorker,
    StopEntry,
    RestartEntry,
    CutEntry,
    JoinEntry,
    ApplyTables,
    LoseReplies,
    HoldLog,
    Request,
    ChangeLoad,
};
constexpr int disturbances = 18;

class session
{
public:
    explicit session(std::uint32_t seed)
        : engine_(seed)
        , scene_(
                  optionsOf(), [this](std::uint32_t below) { return random(below); }, judge_)
    {
        judge_.scene = &scene_;
        run(1500);
        disturb(disturbance::ApplyTables);
        run(500);
    }

    void disturb(disturbance kind)
    {
        static const std::map<disturbance, void (session::*)()> handlers {
                {disturbance::Submit, &session::submit},
                {disturbance::Cancel, &session::cancel},
                {disturbance::LoseLeader, &session::loseLeader},
                {disturbance::StopWorker, &session::stopWorker},
                {disturbance::RestartWorker, &session::restartWorker},
                {disturbance::LeaveWorker, &session::leaveWorker},
                {disturbance::BreakWorker, &session::breakWorker},
                {disturbance::CutWorker, &session::cutWorker},
                {disturbance::StopEntry, &session::stopEntry},
                {disturbance::RestartEntry, &session::restartEntry},
                {disturbance::CutEntry, &session::cutEntry},
                {disturbance::JoinEntry, &session::joinEntry},
                {disturbance::ApplyTables, &session::applyTables},
                {disturbance::LoseReplies, &session::loseReplies},
                {disturbance::HoldLog, &session::holdLog},
                {disturbance::Request, &session::requests},
                {disturbance::ChangeLoad, &session::changeLoad},
        };
        if (const auto found = handlers.find(kind); found != handlers.end())
            (this->*found->second)();
        run(random(1200));
    }

    // Repairs everything; then each job must end.
    void settle()
    {
        if (!scene_.hasLeader())
            scene_.lead();
        scene_.log().held = false;
        scene_.log().release();
        scene_.log().loseReplies = 0;
        scene_.calm();
        for (auto &entry : scene_.entries()) {
            entry.cut = false;
            if (!entry.up)
                scene_.restartEntry(entry);
        }
        for (auto &worker : scene_.workers()) {
            worker.failsTasks = worker.cut = false;
            if (!worker.up || worker.about.state == upstream_state::Leaving)
                scene_.restartWorker(worker);
        }
        run(6000); // leases of earlier leaders and entries end
        for (int i = 0; i < 900 && !scene_.data().openJobs.empty(); ++i)
            run(1000);
        for (const auto id : scene_.data().openJobs) {
            const auto &entry = *scene_.data().find(id);
            judge_.violations.push_back("job " + std::to_string(toNumber(id)) + " stays "
                                        + std::string(toName(entry.state)) + " in attempt "
                                        + std::to_string(entry.attempt));
            for (const auto &record : entry.records)
                judge_.violations.push_back(std::to_string(record.at.count()) + " "
                                            + std::string(toName(record.kind)) + " "
                                            + record.detail);
        }
        std::set<entry_incarnation> alive;
        for (const auto &entry : scene_.entries())
            alive.emplace(entry.id, entry.incarnation);
        for (const auto &item : scene_.data().openIntents)
            if (!alive.contains(item.first))
                judge_.violations.push_back("intents of " + item.first.first + " stay open");
        if (!scene_.leader().currentRollout(scene_.now()).complete)
            judge_.violations.emplace_back("rollout never completes");
    }

    const std::vector<std::string> &violations() const { return judge_.violations; }
    std::size_t doneJobs() const { return scene_.data().endedJobs.size(); }

private:
    world_options optionsOf()
    {
        world_options options;
        options.control.self = 1;
        options.workers = 3 + random(4);
        options.entries = 2 + random(2);
        options.lossPercent = random(3) * 10;
        options.maxDelay = 1 + random(120);
        options.runTime = 500 + random(16000); // up to beyond the task lease
        return options;
    }

    std::uint32_t random(std::uint32_t below)
    {
        return below < 2 ? 0 : static_cast<std::uint32_t>(engine_() % below);
    }

    void run(std::uint32_t ms)
    {
        for (std::uint32_t i = 0; i < ms; i += 25) {
            scene_.run(25);
            judge_.check();
            if (leaderDue_ != time_point {} && scene_.now() >= leaderDue_) {
                leaderDue_ = {};
                scene_.lead();
            }
        }
    }

    sim_worker &anyWorker()
    {
        auto &all = scene_.workers();
        return all[random(static_cast<std::uint32_t>(all.size()))];
    }

    sim_entry &anyEntry()
    {
        auto &all = scene_.entries();
        return all[random(static_cast<std::uint32_t>(all.size()))];
    }

    void submit()
    {
        auto spec = sampleJob(1 + random(3));
        spec.repeatable = random(2) == 0;
        spec.priority = random(4) == 0 ? priority_class::Urgent : priority_class::Standard;
        const auto key = random(4) == 0 ? "" : "k" + std::to_string(random(1000));
        scene_.leader().submitJob(scene_.now(), key, spec, [](const auto &) {});
    }

    void cancel()
    {
        const auto &jobs = scene_.data().jobs;
        if (jobs.empty())
            return;
        const auto position = random(static_cast<std::uint32_t>(jobs.size()));
        scene_.leader().cancelJob(scene_.now(), std::next(jobs.begin(), position)->first,
                                  [](const auto &) {});
    }

    void loseLeader()
    {
        scene_.loseLeader();
        if (leaderDue_ == time_point {})
            leaderDue_ = scene_.now() + milliseconds {300 + random(4) * 700};
    }

    void stopWorker() { anyWorker().up = false; }
    void restartWorker() { scene_.restartWorker(anyWorker()); }
    void leaveWorker() { anyWorker().about.state = upstream_state::Leaving; }

    void cutWorker()
    {
        auto &worker = anyWorker();
        worker.cut = !worker.cut;
    }

    void breakWorker()
    {
        auto &worker = anyWorker();
        worker.failsTasks = !worker.failsTasks;
    }

    void stopEntry() { anyEntry().up = false; }
    void restartEntry() { scene_.restartEntry(anyEntry()); }
    void cutEntry() { anyEntry().cut = true; }

    void joinEntry()
    {
        for (auto &entry : scene_.entries()) {
            entry.cut = false;
            if (!entry.up)
                scene_.restartEntry(entry);
        }
    }

    void applyTables()
    {
        auto next = sampleTables();
        next.workspaces.front().weight = 1 + random(100);
        const auto version = scene_.data().current.version - (random(4) == 0 ? 1 : 0);
        const auto id = "c" + std::to_string(random(40));
        const bool repeated = scene_.data().findChange(id);
        scene_.leader().applyTables(
                scene_.now(), next, version, id, false, [this, repeated](const auto &outcome) {
                    if (!failed(outcome) && !repeated)
                        judge_.accepted.emplace(valueOf(outcome).version, scene_.now());
                });
    }

    void loseReplies() { scene_.log().loseReplies += 1 + static_cast<int>(random(3)); }
    void holdLog() { scene_.log().held = !scene_.log().held; }
    void changeLoad() { anyEntry().load = random(200); }

    void requests()
    {
        for (int i = 0; i < 4; ++i)
            request();
    }

    // An entry asks to dispatch a request that is not repeatable.
    void request()
    {
        auto &entry = anyEntry();
        if (!entry.up || scene_.now() >= entry.leaseUntil)
            return;
        const auto key = "r" + std::to_string(random(6));
        const intent_request asked {{"moreton", key}, 1, entry.id, entry.incarnation};
        const bool answered = random(5) != 0;
        scene_.leader().recordIntent(scene_.now(), asked, [=, this](const auto &outcome) {
            if (answered && !failed(outcome))
                dispatch(asked, valueOf(outcome));
        });
    }

    void dispatch(const intent_request &asked, const intent_reply &answer)
    {
        if (answer.decision == intent_decision::Stored
            && answer.stored.body != bodies_[asked.key.key])
            judge_.violations.push_back("request " + asked.key.key + " has another answer");
        const bool held = answer.decision == intent_decision::Dispatch
                || (answer.decision == intent_decision::InProgress && answer.attempt != 0);
        if (!held || !dispatched_.insert(answer.attempt).second)
            return;
        outcome_record record {asked.key, answer.attempt, request_outcome::NotRun, {}};
        if (random(4) != 0) {
            ++judge_.ran[asked.key.key];
            record.outcome = request_outcome::Ran;
            record.stored.body = bodies_[asked.key.key] = std::to_string(answer.attempt);
        }
        if (random(4) != 0)
            scene_.leader().recordOutcome(scene_.now(), record, [](const auto &) {});
    }

    std::mt19937 engine_;
    oracle judge_;
    world scene_;
    time_point leaderDue_ {};
    std::set<std::uint64_t> dispatched_;
    std::map<std::string, std::string> bodies_;
};

bool checkSessions(const std::string &name, const std::string &runs)
{
    const auto seed = environment("PERSIMMON_SEED", "20261204");
    const auto parameters = "seed=" + seed + " max_success=" + environment("PERSIMMON_RUNS", runs);
    setenv("RC_PARAMS", parameters.c_str(), 1); // NOLINT(concurrency-mt-unsafe)
    const bool passed = rc::check(name, [] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        // The full size from the first run on; small sizes draw only the first kinds.
        const auto kinds = *rc::gen::resize(
                rc::kNominalSize,
                rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, disturbances)));
        session run(seed);
        for (const auto kind : kinds)
            run.disturb(static_cast<disturbance>(kind));
        run.settle();
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
