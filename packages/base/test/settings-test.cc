#include "base/settings.h"
#include "base/tables.h"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace persimmon;

namespace {

const std::string validEntrySettings = R"([instance]
id = entry-1
region = brisbane-north
zone = a
[http]
listen = 127.0.0.1:8080
[control]
voters = 1@127.0.0.1:7001/127.0.0.1:7101, 2@127.0.0.1:7002/127.0.0.1:7102
)";

bool hasMistake(const std::vector<ini_mistake> &mistakes, std::string_view key, result_code code)
{
    const auto matches
            = [&](const ini_mistake &item) { return item.key == key && item.code == code; };
    return std::ranges::any_of(mistakes, matches);
}

} // namespace

TEST_GROUP(settings) {};

TEST(settings, acceptsMinimalEntrySettings)
{
    const auto outcome = parseSettings(validEntrySettings, instance_role::Entry);
    CHECK_TRUE(outcome.mistakes.empty());
    LONGS_EQUAL(2, outcome.values.voters.size());
    STRCMP_EQUAL("127.0.0.1:7102", outcome.values.voters[1].http.c_str());
}

// Guards against a check that stops at the first error.
TEST(settings, reportsEveryMistake)
{
    const auto outcome = parseSettings(validEntrySettings
                                               + "[entry]\nqueue_length = 0\nretry_percent = x\n"
                                                 "unknown_key = 1\nqueue_length = 5\n[nowhere]\n",
                                       instance_role::Control);
    CHECK_TRUE(hasMistake(outcome.mistakes, "queue_length", result_code::InvalidValue));
    CHECK_TRUE(hasMistake(outcome.mistakes, "retry_percent", result_code::InvalidValue));
    CHECK_TRUE(hasMistake(outcome.mistakes, "unknown_key", result_code::UnknownField));
    CHECK_TRUE(hasMistake(outcome.mistakes, "voter_id", result_code::MissingField));
    CHECK_TRUE(hasMistake(outcome.mistakes, "data_folder", result_code::MissingField));
    const auto isSection = [](const ini_mistake &item) { return item.section == "nowhere"; };
    CHECK_TRUE(std::ranges::any_of(outcome.mistakes, isSection));
    const auto duplicates = std::ranges::count(outcome.mistakes, "queue_length", &ini_mistake::key);
    LONGS_EQUAL(2, duplicates);
}

// Guards against timing settings that let leases expire between two renewals.
TEST(settings, rejectsPeriodsLongerThanTheirLeases)
{
    const auto outcome = parseSettings(validEntrySettings
                                               + "[sync]\nwait_ms = 1500\n[upstreams]\n"
                                                 "announce_period_ms = 3000\n",
                                       instance_role::Entry);
    CHECK_TRUE(hasMistake(outcome.mistakes, "wait_ms", result_code::InvalidValue));
    CHECK_TRUE(hasMistake(outcome.mistakes, "announce_period_ms", result_code::InvalidValue));
}

TEST_GROUP(tables) {};

TEST(tables, parsesFormattedTables)
{
    const std::string text = "[route boards]\nworkspace = moreton\npath = /boards/\npool = gpu\n"
                             "repeatable = false\n[pool gpu]\nslots = 4\n"
                             "[workspace moreton]\nweight = 3\nguarantee = gpu:2*1x8, gpu:1*8x8\n";
    const auto first = parseTables(text);
    CHECK_TRUE(first.mistakes.empty());
    const auto second = parseTables(formatTables(first.values));
    CHECK_TRUE(first.values == second.values);
    LONGS_EQUAL(2, first.values.workspaces[0].guarantees.size());
}

// Guards against routes to pools and workspaces that don't exist.
TEST(tables, rejectsRoutesToUnknownPools)
{
    const auto outcome = parseTables("[route a]\nworkspace = w\npath = /\npool = p\n");
    CHECK_TRUE(hasMistake(outcome.mistakes, "pool", result_code::InvalidValue));
    CHECK_TRUE(hasMistake(outcome.mistakes, "workspace", result_code::InvalidValue));
}
