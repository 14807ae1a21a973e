#pragma once

#include "leader_pair.h"
#include "stall_judge.h"

namespace persimmon::batch {

// A fleet that is mostly in use, under jobs of all kinds, disturbances and changes of the leader.
// Each action is a number, and each number is an action. All that happens is judged.
class stall_session
{
public:
    // Fills the fleet for 60 to 95 % with work that doesn't end. The fleet, the duration of a stop
    // and the period of heartbeats are chosen by a number, of which all below 135 differ.
    explicit stall_session(int fill)
        : fleet_({.workers = places,
                  .downMs = 2000,
                  .taskMs = 0,
                  .stopMs = 300 + fill / 15 % 3 * 550, // a stop takes less than missingRunLimit
                  .twoKinds = true})
        , leaders_(fleet_)
    {
        configure();
        fleet_.failUnder([this](const task_id &task, int place) {
            return hopeless_.contains(task.job) || failsAt(place);
        });
        leaders_.setHeartbeatPeriod(fill / 45 % 3 * 400);
        run(500);
        fillFleet(fill);
        run(1500);
    }

    // Does nothing any more once a job has stalled.
    void perform(int action)
    {
        if (stalled_)
            return;
        parameter_ = static_cast<std::uint32_t>(action) / actionCount;
        const auto chosen = static_cast<std::size_t>(action) % actionCount;
        (this->*actions().at(chosen))();
        run(100 + action * 37 % 600);
    }

    // Evacuates the zone of one rack and takes the others back, or all of them.
    void moveEvacuation(int action)
    {
        for (int rack = 0; rack < racks; ++rack) {
            const bool evacuated = action % (racks + 1) == rack;
            leaders_.orderZone(crash_fleet::zoneOf(rack), evacuated,
                               fleet_.expectOfZone(rack, evacuated));
        }
        disturb(0);
        run(100 + action * 37 % 3000);
    }

    void runCalmly(std::int64_t ms) { run(ms); }

    // Returns what has stalled, or nothing.
    const std::optional<std::string> &stalled() const { return stalled_; }

    crash_fleet &fleet() { return fleet_; }

private:
    using action_function = void (stall_session::*)();

    static constexpr int places = 12;
    static constexpr int racks = 3;
    static constexpr std::size_t actionCount = 32;
    static constexpr std::int64_t stepMs = 50;
    static constexpr std::uint32_t endlessMs = 100'000'000;

    static const std::array<action_function, actionCount> &actions()
    {
        using s = stall_session;
        static constexpr std::array<action_function, actionCount> all {
                &s::submitSmall,    &s::submitOne,      &s::submitWide,     &s::submitLabelled,
                &s::submitGang,     &s::submitRackGang, &s::submitRackGang, &s::submitUrgent,
                &s::submitUrgent,   &s::submitReserved, &s::submitHopeless, &s::submitHopeless,
                &s::submitTwoSteps, &s::submitSpread,   &s::submitLasting,  &s::submitLasting,
                &s::submitEndless,  &s::failLasting,    &s::failLasting,    &s::cancel,
                &s::cancel,         &s::stayCalm,       &s::stayCalm,       &s::stayCalm,
                &s::changeLeader,   &s::changeLeader,   &s::changeLeader,   &s::crashOne,
                &s::crashRack,      &s::cutOff,         &s::failEverything, &s::disturbCommits};
        return all;
    }

    void configure()
    {
        configuration value;
        value.version = 1;
        value.document = "{}";
        for (std::uint32_t priority = 0; priority < 3; ++priority) {
            for (std::uint32_t attempts = 1; attempts <= 3; ++attempts) {
                const auto name = "q" + std::to_string(priority) + std::to_string(attempts);
                value.queues.push_back({name, "host", "/" + name + "/", "pool", priority, attempts,
                                        3.0, 1000, true, 0});
            }
        }
        value.tenants = {{"a", {"key0"}, 24}, {"b", {"key1"}, 16}, {"c", {"key2"}, 0}};
        fleet_.leader.commit(set_configuration {value});
    }

    void run(std::int64_t ms)
    {
        for (; ms > 0 && !stalled_; ms -= stepMs) {
            fleet_.run(stepMs);
            if (!leaders_.hasLeader() || fleet_.leader.wallMs <= disturbedUntilMs_)
                judge_.recordDisturbance(fleet_);
            stalled_ = judge_.look(fleet_);
        }
    }

    void disturb(std::int64_t forMs)
    {
        disturbedUntilMs_ = std::max(disturbedUntilMs_, fleet_.leader.wallMs + forMs);
        judge_.recordDisturbance(fleet_);
    }

    // Work that doesn't end takes whole workers, halves of them and single accelerators.
    void fillFleet(int fill)
    {
        const auto whole = static_cast<std::uint32_t>(7 + fill % 5); // of 12 workers
        submit(2, {endless(whole, 8)});
        if (fill % 3 == 1)
            submit(2, {endless(1, 4)});
        if (fill % 3 == 2)
            submit(2, {endless(3, 1)});
    }

    std::string submit(std::uint32_t priority, std::vector<step_spec> steps)
    {
        const auto id = "j" + std::to_string(jobs_.size());
        const auto attempts = 1 + parameter_ % 3;
        const auto queue = "q" + std::to_string(priority) + std::to_string(attempts);
        jobs_.push_back("/" + queue + "/" + id);
        job_spec spec;
        spec.payload = "work";
        spec.steps = std::move(steps);
        leaders_.submit(jobs_.back(), spec, key());
        return id;
    }

    std::string key() const { return "key" + std::to_string(parameter_ % 4); }

    static step_spec tasks(std::uint32_t count, std::int64_t accelerators, std::uint32_t ms)
    {
        auto step = leader_fixture::tasks(count, accelerators);
        step.estimateMs = ms;
        return step;
    }

    static step_spec endless(std::uint32_t count, std::int64_t accelerators)
    {
        auto step = tasks(count, accelerators, endlessMs);
        step.need.cpu = accelerators * 1000;
        return step;
    }

    std::uint32_t duration() const { return 300 + parameter_ * 701 % 3000; }

    step_spec gang(std::uint32_t count, std::int64_t accelerators) const
    {
        auto step = tasks(count, accelerators, duration());
        step.gang = true;
        return step;
    }

    void submitSmall() { submit(1 + parameter_ % 2, {tasks(3, 1, duration())}); }
    void submitOne() { submit(2, {tasks(1, 1 + parameter_ % 8, duration())}); }
    void submitWide() { submit(2, {tasks(6, 4, duration())}); }
    void submitLabelled()
    {
        auto step = tasks(2, 2, duration());
        step.requiredLabel = parameter_ % 2 == 0 ? "a" : "b";
        submit(2, {step});
    }
    void submitGang() { submit(2, {gang(2 + parameter_ % 3, 1 + parameter_ % 8)}); }
    void submitRackGang()
    {
        auto step = gang(2 + parameter_ % 5, parameter_ % 2 == 0 ? 8 : 2);
        step.sameRack = true;
        submit(parameter_ % 3, {step});
    }
    void submitUrgent()
    {
        for (std::uint32_t i = 0; i <= parameter_ % 3; ++i)
            submit(0, {leader_fixture::pressingTasks(2, 8)});
    }
    void submitReserved() { submit(0, {tasks(2, 8, duration())}); }
    void submitHopeless() { hopeless_.insert(submit(2, {tasks(1, 1 + parameter_ % 2 * 7, 200)})); }
    void submitTwoSteps()
    {
        auto second = tasks(2, 2, duration());
        second.dependsOn = {0};
        submit(1, {tasks(1, 1, 400), second});
    }
    void submitSpread()
    {
        auto step = tasks(3, 1, duration());
        step.maxPerWorker = 1;
        submit(2, {step});
    }
    void submitLasting()
    {
        auto step = parameter_ % 3 == 0 ? gang(2, 2) : tasks(2, parameter_ % 2, 1000);
        step.longRunning = true;
        lasting_.push_back(submit(2, {step}));
    }
    void submitEndless() { submit(1 + parameter_ % 2, {endless(1 + parameter_ % 2, 8)}); }
    void failLasting()
    {
        if (!lasting_.empty())
            fleet_.failRunOf({lasting_[parameter_ % lasting_.size()], 0, 0, 0});
    }
    void cancel()
    {
        if (!jobs_.empty())
            leaders_.cancel(jobs_[parameter_ * 7 % jobs_.size()], key());
    }
    void stayCalm() { run(6000 + parameter_ * 331 % 4000); }

    // Before the change, answers are lost or commits take long, so that there are starts whose
    // orders were never sent, or never answered.
    void changeLeader()
    {
        disturb(0);
        if (parameter_ % 4 == 1)
            leaders_.loseAnswers(300);
        if (parameter_ % 4 == 2)
            leaders_.setCommitTime(400);
        if (parameter_ % 4 != 0)
            run(250);
        const auto gapMs = 300 + parameter_ * 101 % 900;
        const auto aheadMs = static_cast<std::int64_t>(parameter_ % 5) * 2000 - 4000;
        leaders_.change({gapMs, aheadMs, parameter_ % 2 == 0});
        leaders_.setCommitTime(0);
        disturb(gapMs);
    }
    void crashOne()
    {
        fleet_.crashRange(static_cast<int>(parameter_ % places), 1);
        disturb(2050);
    }
    void crashRack()
    {
        fleet_.crashRange(static_cast<int>(parameter_ % 3) * 4, 4);
        disturb(2050);
    }
    void cutOff()
    {
        const auto forMs = 1000 + parameter_ * 701 % 6500;
        if (!jobs_.empty())
            fleet_.cutOffWorkerOf({idOf(jobs_[parameter_ % jobs_.size()]), 0, 0, 0}, forMs);
        disturb(forMs);
    }
    void failEverything()
    {
        failingPlace_ = static_cast<int>(parameter_ % places);
        disturb(3000);
    }
    void disturbCommits()
    {
        if (parameter_ % 3 == 0)
            return leaders_.setCommitTime(parameter_ % 2 == 0 ? 100 : 0);
        leaders_.failCommits(1 + static_cast<int>(parameter_ % 2), parameter_ % 3 == 1);
        disturb(200);
        if (parameter_ % 3 == 2)
            leaders_.stepClock(parameter_ % 2 == 0 ? 3000 : -3000);
    }

    static std::string idOf(const std::string &path) { return path.substr(path.rfind('/') + 1); }

    // A worker that fails everything does so for as long as it disturbs.
    bool failsAt(int place) const
    {
        return place == failingPlace_ && fleet_.leader.wallMs < disturbedUntilMs_;
    }

    crash_fleet fleet_;
    leader_pair leaders_;
    stall_judge judge_;
    std::vector<std::string> jobs_; // paths
    std::vector<std::string> lasting_; // ids
    std::set<std::string> hopeless_; // ids of jobs that always fail
    int failingPlace_ = -1; // of a worker that fails all tasks
    std::int64_t disturbedUntilMs_ = 0;
    std::uint32_t parameter_ = 0; // of the current action
    std::optional<std::string> stalled_;
};

} // namespace persimmon::batch
