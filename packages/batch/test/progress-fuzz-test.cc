// Runs jobs of all kinds on a fleet with random disturbances. Once these have ended, each job for
// which there is room must run or end.

// CppUTest redefines `new`, so its header comes after RapidCheck's.
#include "seeded_check.h"

#include "crash_fleet.h"

#include <array>
#include <optional>
#include <set>

using namespace persimmon;
using namespace persimmon::batch;

namespace {

constexpr std::int64_t checkStepMs = 500;

// After the last disturbance workers return, leases expire and quarantines end.
constexpr std::int64_t settleMs = 25'000;

// Work that lasts is restarted within 9 s of its last run, all other work within 3 s of its turn.
constexpr std::int64_t maxWaitMs = 9000;

// What the two racks with workers of two kinds go through, one action at a time.
class session
{
public:
    session()
        : fleet_({.workers = 8,
                  .workersInRack = 4,
                  .downMs = 3000,
                  .taskMs = 2000,
                  .crashAfterMs = 600,
                  .twoKinds = true})
    {
        fleet_.leader.tenants = {{"t", {"key"}, 32}};
        fleet_.leader.configure(0);
        fleet_.crashUnder([this](const task_id &task) { return deadly_.contains(task.job); });
        fleet_.failUnder(
                [this](const task_id &task, int place) { return failsOn(task.job, place); });
        fleet_.run(500);
    }

    void perform(int action)
    {
        static constexpr std::array<void (session::*)(), 20> actions {
                &session::submitSmall,       &session::submitWide,     &session::submitLabelled,
                &session::submitGang,        &session::submitRackGang, &session::submitWideGang,
                &session::submitUnplaceable, &session::submitLasting,  &session::submitLastingGang,
                &session::submitUrgent,      &session::submitDeadly,   &session::submitFailing,
                &session::crashOne,          &session::crashRack,      &session::cutOff,
                &session::failEverything,    &session::changeLeader,   &session::cancel,
                &session::evacuate,          &session::restore};
        (this->*actions.at(static_cast<std::size_t>(action) % actions.size()))();
        ++count_;
        fleet_.run(300 + action * 37 % 900);
    }

    int startsInEvacuatedZones() const { return fleet_.startsInEvacuatedZones(); }

    // Returns a job that has waited for too long beside enough room, or nothing.
    std::optional<std::string> findStuckJob()
    {
        deadly_.clear();
        failingPlace_ = -1;
        fleet_.run(settleMs);
        std::map<std::string, std::int64_t> waited;
        for (std::int64_t ms = 0; ms < 3 * maxWaitMs; ms += checkStepMs) {
            fleet_.run(checkStepMs);
            std::set<std::string> waiting;
            fleet_.leader.state.forEachOpenJob([&](const job_record &job) {
                if (!job.ended() && mustRun(job))
                    waiting.insert(job.id);
            });
            std::erase_if(waited, [&](const auto &item) { return !waiting.contains(item.first); });
            for (const auto &id : waiting) {
                waited[id] += checkStepMs;
                if (waited[id] > (isLasting(id) ? maxWaitMs : maxWaitMs / 3))
                    return id;
            }
        }
        return std::nullopt;
    }

private:
    static constexpr std::size_t places = 8;

    void submit(const std::string &queue, const step_spec &step)
    {
        const auto id = "j" + std::to_string(jobs_.size());
        jobs_.push_back(id);
        fleet_.leader.submit("/" + queue + "/" + id, step, "key");
    }

    static step_spec gang(std::uint32_t count, std::int64_t accelerators)
    {
        auto step = leader_fixture::tasks(count, accelerators);
        step.gang = true;
        return step;
    }

    void submitSmall() { submit("q2", leader_fixture::tasks(3, 1)); }
    void submitWide() { submit("q2", leader_fixture::tasks(6, 4)); }
    void submitLabelled()
    {
        auto step = leader_fixture::tasks(2, 2);
        step.requiredLabel = count_ % 2 == 0 ? "a" : "b";
        submit("q2", step);
    }
    void submitGang() { submit("q2", gang(3, 4)); }
    void submitRackGang()
    {
        auto step = gang(3, 8);
        step.sameRack = true;
        submit("q2", step);
    }
    void submitWideGang() { submit("q0", gang(4, 8)); }
    void submitUnplaceable()
    {
        auto step = gang(5, 8);
        step.requiredLabel = "b";
        submit(count_ % 2 == 0 ? "q0" : "q2", step);
    }
    void submitLasting()
    {
        auto step = leader_fixture::tasks(2, 0);
        step.longRunning = true;
        submit("q2", step);
    }
    void submitLastingGang()
    {
        auto step = gang(2, 2);
        step.longRunning = true;
        submit("q2", step);
    }
    void submitUrgent() { submit("q0", leader_fixture::pressingTasks(2, 8)); }
    void submitDeadly()
    {
        submit("q2", leader_fixture::tasks(1, count_ % 2 == 0 ? 8 : 1));
        deadly_.insert(jobs_.back());
    }

    // The only job with room on one kind, all of whose tasks fail on some workers.
    void submitFailing()
    {
        submitLabelled();
        failing_.insert(jobs_.back());
    }
    void crashOne() { fleet_.crashRange(static_cast<int>(count_ % places), 1); }
    void crashRack() { fleet_.crashRange(count_ % 2 == 0 ? 0 : 4, 4); }
    void cutOff()
    {
        if (!jobs_.empty())
            fleet_.cutOffWorkerOf({jobs_[count_ % jobs_.size()], 0, 0, 0}, 7000);
    }
    void failEverything() { failingPlace_ = static_cast<int>(count_ % places); }
    void changeLeader() { fleet_.changeLeader(); }
    void cancel()
    {
        if (!jobs_.empty())
            fleet_.leader.commit(
                    cancel_job {jobs_[count_ * 7 % jobs_.size()], fleet_.leader.wallMs});
    }

    void evacuate() { orderZone(true); }
    void restore() { orderZone(false); }
    void orderZone(bool evacuated)
    {
        const auto rack = static_cast<int>(count_ % 2);
        auto &queues = fleet_.leader.queues;
        const auto order = evacuated ? &service::evacuateZone : &service::restoreZone;
        (queues.*order)(fleet_.leader.wallMs, crash_fleet::zoneOf(rack),
                        fleet_.expectOfZone(rack, evacuated));
    }

    bool failsOn(const std::string &job, int place) const
    {
        return place == failingPlace_ || (failing_.contains(job) && place < 6);
    }

    bool isLasting(const std::string &id) const
    {
        return fleet_.leader.state.findJob(id)->spec.steps[0].longRunning;
    }

    // Returns whether a job has work without a run although there is room for it twice over. For
    // work that doesn't last, nothing of the job runs and under half of the fleet is in use.
    bool mustRun(const job_record &job) const
    {
        const auto &spec = job.spec.steps[0];
        const auto &step = job.occurrences[0][0];
        const auto missing = step.tasks.size() - step.doneCount - step.activeCount;
        if (missing == 0 || (!spec.longRunning && step.activeCount > 0))
            return false;
        const auto rooms = fleet_.rooms();
        if (!spec.longRunning && !isMostlyIdle(rooms))
            return false;
        std::map<std::string, std::int64_t> fitting;
        for (const auto &room : rooms) {
            const bool eligible = spec.requiredLabel.empty()
                    || std::ranges::find(room.labels, spec.requiredLabel) != room.labels.end();
            if (eligible)
                fitting[spec.sameRack ? room.rack : ""]
                        += timesFitting(room.available, spec.charged());
        }
        const auto wanted = static_cast<std::int64_t>(spec.gang ? 2 * spec.count : 2);
        return std::ranges::any_of(fitting,
                                   [wanted](const auto &item) { return item.second >= wanted; });
    }

    static bool isMostlyIdle(const std::vector<crash_fleet::room> &rooms)
    {
        amount capacity;
        amount available;
        for (const auto &room : rooms) {
            capacity += room.capacity;
            available += room.available;
        }
        return available.cpu * 2 > capacity.cpu
                && available.accelerators * 2 > capacity.accelerators;
    }

    crash_fleet fleet_;
    std::vector<std::string> jobs_;
    std::set<std::string> deadly_;
    std::set<std::string> failing_;
    int failingPlace_ = -1; // of a worker that fails all tasks
    std::size_t count_ = 0;
};

std::optional<std::string> stuckJobAfter(const std::vector<int> &actions)
{
    session run;
    for (const auto action : actions)
        run.perform(action);
    auto stuck = run.findStuckJob();
    if (run.startsInEvacuatedZones() > 0)
        return "a start in an evacuated zone";
    return stuck;
}

} // namespace

TEST_GROUP(ProgressFuzz) {};

// Guards against any preference in placement that keeps work waiting for good, and against starts
// in evacuated zones; work goes on beside these.
TEST(ProgressFuzz, workStartsOnceDisturbancesHaveEnded)
{
    CHECK_TRUE(test::checkSeeded("work starts in the end", 300, [] {
        const auto actions = *rc::gen::resize(
                rc::kNominalSize,
                rc::gen::container<std::vector<int>>(25, rc::gen::inRange(0, 1000)));
        const auto stuck = stuckJobAfter(actions);
        if (stuck)
            RC_LOG() << *stuck << " waits\n";
        RC_ASSERT(!stuck);
    }));
}
