#include "fixture.h"

#include "batch/stall_watch.h"

using namespace persimmon;
using namespace persimmon::batch;

TEST_GROUP(StallWatch)
{
    leader_fixture leader;
    stall_watch stalls;
    std::optional<time_point> heard; // of each run

    void update()
    {
        stalls.update(
                leader.state, [this](const assignment &) { return heard; }, leader.now,
                leader.wallMs);
    }

    void submit(const std::string &id, std::uint32_t count = 1)
    {
        leader.submit("/q2/" + id, leader_fixture::tasks(count, 1));
    }

    void start(const std::string &id, std::uint32_t index = 0)
    {
        leader.commit(start_runs {{{{id, 0, 0, index}, 1, "w1", 1}}, leader.wallMs});
    }

    std::int64_t stalledMs(const std::string &id) const
    {
        return std::chrono::duration_cast<milliseconds>(stalls.stalledFor(id, leader.now)).count();
    }

    void setup() override
    {
        leader.configure(1);
    }
};

// Guards against a job that waits for its first run and is named nowhere.
TEST(StallWatch, findsAJobThatWaits)
{
    submit("a");
    update();
    leader.now += milliseconds {1900};
    update();
    CHECK_EQUAL(1900, stalledMs("a"));
    CHECK_TRUE(stalls.takeDueReports(leader.now).empty());
    leader.now += milliseconds {200};
    const auto due = stalls.takeDueReports(leader.now);
    CHECK_EQUAL(1, due.size());
    STRCMP_EQUAL("a", due.front().task.job.c_str());
    CHECK_FALSE(due.front().unheard.has_value());
    CHECK_TRUE(stalls.takeDueReports(leader.now).empty());
    leader.now += milliseconds {2000};
    CHECK_EQUAL(1, stalls.takeDueReports(leader.now).size());
}

// Guards against a job that counts as stalled while one of its runs works.
TEST(StallWatch, aListedRunEndsTheStall)
{
    submit("a", 2);
    update();
    start("a");
    leader.now += milliseconds {500};
    update();
    CHECK_EQUAL(500, stalledMs("a"));
    heard = leader.now;
    update();
    CHECK_EQUAL(0, stalledMs("a"));
    CHECK_EQUAL(0, stalls.size());
}

// Guards against a stall that begins only when the ledger gives the lost run up, seconds after it
// has ended.
TEST(StallWatch, aLostRunCountsFromWhenItWasLastHeard)
{
    submit("a");
    start("a");
    heard = leader.now;
    leader.now += milliseconds {3000};
    update();
    CHECK_EQUAL(3000, stalledMs("a"));
    const auto due = stalls.takeDueReports(leader.now);
    CHECK_EQUAL(1, due.size());
    CHECK_TRUE(due.front().unheard.has_value());
    leader.commit(end_runs {{{{"a", 0, 0, 0}, 1, end_kind::Lapsed, ""}}, leader.wallMs});
    leader.now += milliseconds {500};
    update();
    CHECK_EQUAL(3500, stalledMs("a"));
}

// Guards against a run that is taken for lost although it was only stopped or not started, and
// against a lost one that isn't noticed.
TEST(StallWatch, onlyALostRunIsALoss)
{
    submit("a");
    start("a");
    update();
    CHECK_TRUE(stalls.isCalm(leader.now));
    heard = leader.now;
    leader.now += milliseconds {3000};
    update();
    CHECK_FALSE(stalls.isCalm(leader.now));
}

// Guards against jobs that count as stalled before the time that they name.
TEST(StallWatch, aLaterOccurrenceIsNotStalled)
{
    job_spec spec;
    spec.steps = {leader_fixture::tasks(1, 1)};
    spec.firstDueMs = leader.wallMs + 5000;
    leader.commit(accept_job {"a", "", leader.state.currentConfiguration().queues.front(), spec,
                              leader.wallMs});
    update();
    CHECK_EQUAL(0, stalls.size());
    leader.wallMs += 5000;
    update();
    CHECK_EQUAL(1, stalls.size());
}

// Guards against a log that is flooded by thousands of waiting jobs, and against jobs that never
// get their turn in it.
TEST(StallWatch, allStallsAreReportedAFewAtATime)
{
    for (int i = 0; i < 7; ++i)
        submit("j" + std::to_string(i));
    update();
    leader.now += milliseconds {2000};
    std::set<std::string> reported;
    for (int i = 0; i < 3; ++i) {
        const auto due = stalls.takeDueReports(leader.now);
        CHECK_TRUE(due.size() <= 3);
        for (const auto &item : due)
            reported.insert(item.task.job);
    }
    CHECK_EQUAL(7, reported.size());
}
