#include "apps/ctl_arguments.h"
#include "apps/daemon_arguments.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::apps;

namespace {

using argument_list = std::vector<std::string>;

result_code ctlFailure(argument_list commandLine, const std::string &environment = "127.0.0.1:7101")
{
    commandLine.insert(commandLine.begin(), "persimmonctl");
    const auto outcome = readCtlArguments(commandLine, environment);
    return failed(outcome) ? errorOf(outcome).code : result_code::Ok;
}

result_code daemonFailure(argument_list commandLine)
{
    commandLine.insert(commandLine.begin(), "persimmond");
    const auto outcome = readDaemonArguments(commandLine);
    return failed(outcome) ? errorOf(outcome).code : result_code::Ok;
}

} // namespace

TEST_GROUP(ctl_arguments) {};

TEST(ctl_arguments, readsAllOptionsOfApply)
{
    const auto outcome = readCtlArguments(
            argument_list {"persimmonctl", "--control", "127.0.0.1:1,127.0.0.1:2", "apply", "t.ini",
                           "--dry-run", "--expect-version", "0", "--change-id", "c1",
                           "--timeout-ms", "50", "--output", "json"},
            "127.0.0.1:9");
    CHECK_FALSE(failed(outcome));
    const auto &values = *valueOf(outcome);
    STRCMP_EQUAL("apply", values.command.c_str());
    STRCMP_EQUAL("t.ini", values.operands.at(0).c_str());
    LONGS_EQUAL(2, values.control.size());
    CHECK_TRUE(values.dryRun && values.json);
    CHECK_TRUE(values.expectedVersion == std::uint64_t {0});
    STRCMP_EQUAL("c1", values.changeId.c_str());
    LONGS_EQUAL(50, values.timeout.count());
}

// Guards against treating an expected version of 0 as an absent one, which would apply the tables
// to the current version instead.
TEST(ctl_arguments, distinguishesMissingVersionFromZero)
{
    const auto outcome = readCtlArguments(argument_list {"persimmonctl", "apply", "t.ini"}, "h:1");
    CHECK_FALSE(valueOf(outcome)->expectedVersion.has_value());
}

// Guards against sending commands with missing or surplus operands to the leader.
TEST(ctl_arguments, rejectsInvalidUsage)
{
    const auto usage = result_code::UsageError;
    CHECK_TRUE(usage == ctlFailure({}));
    CHECK_TRUE(usage == ctlFailure({"launch"}));
    CHECK_TRUE(usage == ctlFailure({"apply"}));
    CHECK_TRUE(usage == ctlFailure({"get", "more"}));
    CHECK_TRUE(usage == ctlFailure({"voters", "swap", "1"}));
    CHECK_TRUE(usage == ctlFailure({"voters", "add", "zero"}));
    CHECK_TRUE(usage == ctlFailure({"get", "--output", "xml"}));
    CHECK_TRUE(usage == ctlFailure({"get", "--timeout-ms", "0"}));
    CHECK_TRUE(usage == ctlFailure({"get", "--unknown"}));
    CHECK_TRUE(usage == ctlFailure({"get"}, ""));
    CHECK_TRUE(usage == ctlFailure({"get"}, "127.0.0.1"));
    CHECK_TRUE(result_code::Ok == ctlFailure({"voters", "add", "4"}));
}

TEST_GROUP(daemon_arguments) {};

TEST(daemon_arguments, acceptsBothFormsOfTheSettingsFile)
{
    const auto named = readDaemonArguments(argument_list {
            "persimmond", "--role=entry", "--settings", "a.ini", "--check-settings"});
    CHECK_FALSE(failed(named));
    CHECK_TRUE(valueOf(named)->role == daemon_role::Entry);
    STRCMP_EQUAL("a.ini", valueOf(named)->settingsFile.c_str());
    const auto unnamed = readDaemonArguments(
            argument_list {"persimmond", "--role=control", "--check-settings", "b.ini"});
    CHECK_FALSE(failed(unnamed));
    CHECK_TRUE(valueOf(unnamed)->checkSettings);
    STRCMP_EQUAL("b.ini", valueOf(unnamed)->settingsFile.c_str());
}

// Guards against a daemon that starts with a default role or without settings.
TEST(daemon_arguments, rejectsInvalidUsage)
{
    const auto usage = result_code::UsageError;
    CHECK_TRUE(usage == daemonFailure({"--settings", "a.ini"}));
    CHECK_TRUE(usage == daemonFailure({"--role=proxy", "--settings", "a.ini"}));
    CHECK_TRUE(usage == daemonFailure({"--role=entry"}));
    CHECK_TRUE(usage == daemonFailure({"--role=entry", "--settings", "a.ini", "b.ini"}));
    CHECK_TRUE(
            usage
            == daemonFailure({"--role=entry", "--settings", "a.ini", "--check-settings", "b.ini"}));
    CHECK_TRUE(result_code::Ok == daemonFailure({"--print-settings-reference"}));
}
