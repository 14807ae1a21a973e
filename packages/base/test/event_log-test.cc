#include "base/event_log.h"

#include "base/client_counts.h"

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace persimmon;

namespace {

// Redirects standard output to a file for the lifetime of the object.
class captured_output
{
public:
    captured_output()
        : file_("/tmp/persimmon-event-log-" + std::to_string(getpid()))
        , saved_(dup(STDOUT_FILENO))
    {
        std::fflush(stdout);
        if (std::freopen(file_.c_str(), "w", stdout) == nullptr)
            FAIL("can't redirect standard output to a file");
    }

    ~captured_output()
    {
        std::fflush(stdout);
        dup2(saved_, STDOUT_FILENO);
        close(saved_);
        std::remove(file_.c_str());
    }

    captured_output(const captured_output &) = delete;
    captured_output &operator=(const captured_output &) = delete;

    std::string text() const
    {
        std::fflush(stdout);
        std::ostringstream read;
        read << std::ifstream(file_).rdbuf();
        return read.str();
    }

private:
    std::string file_;
    int saved_;
};

std::size_t count(const std::string &text, const std::string &part)
{
    std::size_t found = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++found;
    return found;
}

} // namespace

TEST_GROUP(EventLog) {};

// Guards against lines that can't be parsed because a value is empty or contains spaces, quotes or
// line breaks.
TEST(EventLog, quotesValues)
{
    const captured_output output;
    startEventLog("node-1", 10);
    logEvent("a.b", {{"plain", 7}, {"text", "two words"}, {"empty", ""}, {"quote", "a\"b\nc"}});
    stopEventLog();
    CHECK_EQUAL(1,
                count(output.text(),
                      "node=node-1 event=a.b plain=7 text=\"two words\" empty=\"\" "
                      "quote=\"a\\\"b c\"\n"));
}

// Guards against a log volume that grows with the load, and against a limit that only a restart
// can change.
TEST(EventLog, limitsLinesOfEachEvent)
{
    const captured_output output;
    startEventLog("node-1", 3);
    for (int i = 0; i < 50; ++i)
        logEvent("many", {{"i", i}});
    logEvent("other", {});
    const auto limited = 6U; // twice the limit: a new second may begin during the loop
    setEventLimit(100);
    for (int i = 0; i < 50; ++i)
        logEvent("raised", {{"i", i}});
    stopEventLog();
    const auto text = output.text();
    CHECK_TRUE(count(text, "event=many ") >= 3 && count(text, "event=many ") <= limited);
    CHECK_EQUAL(1, count(text, "event=other"));
    CHECK_EQUAL(50, count(text, "event=raised "));
}

// Guards against a log that hostile clients fill.
TEST(EventLog, logsRefusedClientsOnceForACauseAndAnAddress)
{
    captured_output output;
    startEventLog("n1", 1000);
    for (int i = 0; i < 100; ++i) {
        countClient(client_cause::Body, "10.0.0.3");
        countClient(client_cause::Idle, "10.0.0.3");
    }
    countClient(client_cause::Body, "10.0.0.4");
    stopEventLog();
    const auto text = output.text();
    LONGS_EQUAL(2, count(text, "event=client.refused"));
    LONGS_EQUAL(1, count(text, "event=client.refused why=body from=10.0.0.4 clients=1"));
}

// Guards against suppressed lines that the log doesn't count.
TEST(EventLog, reportsSuppressedLines)
{
    const captured_output output;
    startEventLog("node-1", 1);
    for (int i = 0; i < 5; ++i)
        logEvent("many", {{"i", i}});
    usleep(1'100'000);
    logEvent("many", {{"i", 5}});
    stopEventLog();
    CHECK_EQUAL(1, count(output.text(), "event=log.suppressed of=many lines="));
}

// Guards against suppressed lines that are never counted because their event doesn't recur.
TEST(EventLog, reportsSuppressedLinesOfEventsThatDoNotRecur)
{
    const captured_output output;
    startEventLog("node-1", 1);
    for (int i = 0; i < 5; ++i)
        logEvent("many", {{"i", i}});
    usleep(1'100'000);
    logEvent("other", {});
    for (int i = 0; i < 5; ++i)
        logEvent("last", {{"i", i}});
    stopEventLog();
    const auto text = output.text();
    CHECK_EQUAL(1, count(text, "event=log.suppressed of=many lines="));
    CHECK_EQUAL(1, count(text, "event=log.suppressed of=last lines="));
}
