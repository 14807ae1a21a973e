// Lets a leader learn from heartbeats which tasks slow each other down.
#include "fixture.h"

#include <algorithm>
#include <map>
#include <set>

using namespace persimmon;
using namespace persimmon::batch;

namespace {

constexpr std::int64_t heartbeatMs = 250;

// Workers that execute what the leader orders. Tasks of the queue q1 are slower beside those of q2.
class small_fleet
{
public:
    small_fleet(int workers, double slowdown)
        : slowdown_(slowdown)
        , workers_(static_cast<std::size_t>(workers))
    {
        leader.configure(1);
        beat();
    }

    // Keeps about as many tasks of both queues in the system as fill a part of the fleet.
    void run(std::int64_t ms)
    {
        for (std::int64_t passed = 0; passed < ms; passed += heartbeatMs) {
            ++beats_;
            if (beats_ % 6 == 0)
                submit("q1");
            if (beats_ % 7 == 0)
                submit("q2");
            leader.advance(heartbeatMs);
            beat();
        }
    }

    // Part of the reports of tasks of q1 that are beside a task of q2 since the last call.
    double takeShare()
    {
        const auto share = together_ / std::max(1.0, reports_);
        together_ = 0;
        reports_ = 0;
        return share;
    }

    leader_fixture leader;

private:
    struct active_run
    {
        std::uint32_t number = 0;
        double percent = 0;
    };

    struct machine
    {
        std::map<task_id, active_run> runs;
        std::uint64_t ends = 0;
    };

    void submit(const std::string &queue)
    {
        auto step = leader_fixture::tasks(2, 2);
        step.estimateMs = 9000; // wrong
        leader.submit("/" + queue + "/j" + std::to_string(++jobs_), step);
    }

    bool isFrom(const task_id &task, std::string_view queue) const
    {
        return leader.state.findJob(task.job)->source.name == queue;
    }

    void beat()
    {
        for (std::size_t i = 0; i < workers_.size(); ++i)
            beat(workers_[i], "w" + std::to_string(i + 1));
    }

    void beat(machine &item, const std::string &name)
    {
        auto report = leader.report(name);
        const bool disturbed = std::ranges::any_of(
                item.runs, [this](const auto &entry) { return isFrom(entry.first, "q2"); });
        for (auto &[task, state] : item.runs) {
            const bool first = isFrom(task, "q1");
            reports_ += first ? 1 : 0;
            together_ += first && disturbed ? 1 : 0;
            state.percent += 8.0 / (first && disturbed ? slowdown_ : 1);
            if (state.percent >= 100)
                report.ended.push_back({++item.ends, task, state.number, end_kind::Done, ""});
            else
                report.running.push_back(
                        {task, state.number, "", static_cast<std::uint32_t>(state.percent), 0});
        }
        for (const auto &end : report.ended)
            item.runs.erase(end.task);
        const auto orders = leader.sendHeartbeat(report);
        for (const auto &order : orders.starts)
            item.runs[order.task] = {order.run, 0};
    }

    double slowdown_;
    std::vector<machine> workers_;
    int beats_ = 0;
    int jobs_ = 0;
    double reports_ = 0;
    double together_ = 0;
};

constexpr std::int64_t minuteMs = 60'000;

} // namespace

TEST_GROUP(InterferenceController) {};

// Guards against a leader that doesn't learn from heartbeats, or learns and places as before
// although there is room elsewhere.
TEST(InterferenceController, learnsAndKeepsApart)
{
    small_fleet fleet(6, 2);
    fleet.run(minuteMs / 4);
    const auto before = fleet.takeShare();
    fleet.run(4 * minuteMs);
    CHECK_TRUE(fleet.leader.workers.interferenceCounts().believed > 0);
    fleet.takeShare();
    fleet.run(minuteMs);
    const auto after = fleet.takeShare();
    CHECK_TRUE(before > 0.2);
    CHECK_TRUE(after < before / 2);
}

// Guards against a change of placement without a disturbance.
TEST(InterferenceController, believesNothingWithoutADisturbance)
{
    small_fleet fleet(6, 1);
    fleet.run(10 * minuteMs);
    CHECK_TRUE(fleet.leader.workers.interferenceCounts().pairs > 0);
    CHECK_EQUAL(0, fleet.leader.workers.interferenceCounts().believed);
}

// Guards against beliefs that outlive the term in which they were learned.
TEST(InterferenceController, forgetsWithTheTerm)
{
    small_fleet fleet(6, 2);
    fleet.run(4 * minuteMs);
    CHECK_TRUE(fleet.leader.workers.interferenceCounts().believed > 0);
    fleet.leader.workers.beginTerm(2, fleet.leader.now);
    CHECK_EQUAL(0, fleet.leader.workers.interferenceCounts().pairs);
}
