#include "apps/batch_metrics.h"
#include "apps/latency_view.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::apps;
using std::chrono::milliseconds;

TEST_GROUP(latency)
{
    batch_metrics metrics;

    void observe(batch::latency_stage stage, int count, milliseconds duration)
    {
        for (int i = 0; i < count; ++i)
            metrics.observeStage(stage, duration);
    }
};

// Guards against metrics that the command doesn't understand, and against wrong quantiles.
TEST(latency, sumsUpTheExportedHistograms)
{
    observe(batch::latency_stage::Order, 90, milliseconds {30});
    observe(batch::latency_stage::Order, 9, milliseconds {300});
    observe(batch::latency_stage::Order, 1, milliseconds {60000});
    observe(batch::latency_stage::Pass, 1, milliseconds {4});
    const auto rows = readLatencies(metrics.serialize({}));
    LONGS_EQUAL(2, rows.size());
    STRCMP_EQUAL("order", rows.front().stage.c_str());
    LONGS_EQUAL(100, rows.front().count);
    DOUBLES_EQUAL(0.05, rows.front().p50, 1e-9);
    DOUBLES_EQUAL(0.4, rows.front().p95, 1e-9);
    DOUBLES_EQUAL(0.4, rows.front().p99, 1e-9);
    const auto text = latencyText("core-1", rows);
    CHECK_TRUE(text.find("50 ms") != std::string::npos);
    CHECK_TRUE(text.find("400 ms") != std::string::npos);
}

// Guards against a command that ends because of a line that it can't read.
TEST(latency, skipsUnreadableLines)
{
    CHECK_TRUE(readLatencies("persimmon_stage_seconds_bucket{stage=\"x\",le=\"?\"} 1\n"
                             "persimmon_stage_seconds_bucket{stage=\"x\n"
                             "persimmon_stage_seconds_bucket{")
                       .empty());
    STRCMP_EQUAL("n: no samples\n", latencyText("n", {}).c_str());
}
