#include "fixture.h"

#include <set>

using namespace persimmon;
using namespace persimmon::batch;

// A fleet of 1,100 workers in six zones, eight workers a rack, each with one task that takes the
// whole worker. Part of it falls silent for some seconds and comes back.
TEST_GROUP(Loss)
{
    static constexpr int workerCount = 1100;
    static constexpr int zoneSize = 183;
    leader_fixture leader;
    int endCommits = 0;

    static std::string nameOf(int worker)
    {
        return "w" + std::to_string(worker);
    }

    worker_report reportOf(int worker)
    {
        auto report = leader.report(nameOf(worker));
        report.rack = "rack-" + std::to_string(worker / 8);
        report.zone = "zone-" + std::to_string(worker / zoneSize);
        report.address = "10.0.0.1:" + std::to_string(worker);
        return report;
    }

    // Sends the heartbeats of all workers from `first` on, with the runs that they were ordered.
    void reportFrom(int first, std::set<task_id> &stopped)
    {
        for (int i = first; i < workerCount; ++i) {
            auto report = reportOf(i);
            for (const auto &[task, run] : leader.state.runsOn(report.id))
                report.running.push_back({task, run.run, "", ++percent % 100, 0});
            for (const auto &order : leader.sendHeartbeat(report).stops)
                stopped.insert(order.task);
        }
    }

    void startOnAll()
    {
        leader.configure(1);
        std::set<task_id> stopped;
        reportFrom(0, stopped);
        leader.submit("/q1/a", leader_fixture::tasks(workerCount, 8));
        leader.advance(100);
        reportFrom(0, stopped);
        CHECK_EQUAL(workerCount, leader.state.findJob("a")->occurrences[0][0].activeCount);
    }

    // Lets the first workers be silent and returns the number of tasks that were run again.
    std::size_t restartedAfterSilence(int silent, std::int64_t ms)
    {
        startOnAll();
        std::set<task_id> stopped;
        for (; ms > 0; ms -= 500) {
            leader.advance(500);
            reportFrom(silent, stopped);
        }
        leader.advance(100);
        CHECK_EQUAL(0, stopped.size());
        std::size_t restarted = 0;
        for (const auto &task : leader.state.findJob("a")->occurrences[0][0].tasks)
            restarted += !task.active || task.run > 1 ? 1 : 0;
        return restarted;
    }

    std::uint32_t percent = 0; // changes with each report, so that no run counts as stalled
};

// Guards against running the work of silent workers again while their leases last.
TEST(Loss, keepsTheRunsOfARackThatIsSilentForASecond)
{
    CHECK_EQUAL(0, restartedAfterSilence(8, 1000));
}

// Guards against the same for a rack that is silent for longer than a heartbeat may be overdue.
TEST(Loss, keepsTheRunsOfARackThatIsSilentForThreeSeconds)
{
    CHECK_EQUAL(0, restartedAfterSilence(8, 3000));
}

// Guards against the same for a zone.
TEST(Loss, keepsTheRunsOfAZoneThatIsSilentForThreeSeconds)
{
    CHECK_EQUAL(0, restartedAfterSilence(zoneSize, 3000));
}

// Guards against ends that are refused because their worker was silent.
TEST(Loss, takesTheEndsOfWorkersThatComeBack)
{
    CHECK_EQUAL(0, restartedAfterSilence(zoneSize, 3000));
    for (int i = 0; i < zoneSize; ++i) {
        auto report = reportOf(i);
        std::uint64_t number = 0;
        for (const auto &[task, run] : leader.state.runsOn(report.id))
            report.ended.push_back({++number, task, run.run, end_kind::Done, ""});
        CHECK_EQUAL(1, leader.sendHeartbeat(report).ackedUpTo.value_or(0));
    }
    CHECK_EQUAL(zoneSize, leader.state.findJob("a")->occurrences[0][0].doneCount);
}

// Guards against tasks that are lost with their workers, or restarted elsewhere than asked: exactly
// the tasks of the lost zone end, and its workers are told to stop them if they come back.
TEST(Loss, givesUpExactlyTheRunsOfALostZone)
{
    CHECK_EQUAL(zoneSize, restartedAfterSilence(zoneSize, 6000));
    auto late = reportOf(0);
    for (std::uint32_t i = 0; i < workerCount; ++i) {
        const auto &task = leader.state.findJob("a")->taskOf({"a", 0, 0, i});
        if (task.worker == late.id && !task.active)
            late.running.push_back({{"a", 0, 0, i}, task.run, "", 50, 0});
    }
    CHECK_EQUAL(1, late.running.size());
    CHECK_EQUAL(1, leader.sendHeartbeat(late).stops.size());
}

// Guards against a commit for each lost worker: a lost zone costs one.
TEST(Loss, endsTheRunsOfALostZoneInOneCommit)
{
    startOnAll();
    std::set<task_id> stopped;
    for (int ms = 0; ms < 5000; ms += 500) {
        leader.advance(500);
        reportFrom(zoneSize, stopped);
    }
    leader.holdCommits = true;
    leader.advance(500);
    for (const auto &[value, done] : leader.heldCommits)
        endCommits += std::holds_alternative<end_runs>(value) ? 1 : 0;
    CHECK_EQUAL(1, endCommits);
    leader.releaseHeld();
}
