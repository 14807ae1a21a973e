#include "apps/settings_check.h"
#include "apps/text_table.h"

#include <algorithm>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::apps;

namespace {

std::vector<std::string> tableRows(const std::string &page)
{
    std::vector<std::string> rows;
    std::istringstream lines(page);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("| ") && !line.starts_with("| ---"))
            rows.push_back(line);
    }
    return rows;
}

std::string missingFrom(const std::vector<std::string> &rows, const std::vector<std::string> &other)
{
    for (const auto &row : rows) {
        if (std::ranges::find(other, row) == other.end())
            return row;
    }
    return {};
}

std::string pageText(const std::string &name)
{
    const auto text = readFile("../../docs/" + name);
    return failed(text) ? errorOf(text).detail : valueOf(text);
}

} // namespace

TEST_GROUP(pages) {};

// Guards against undocumented result codes and documented ones that do not exist.
TEST(pages, resultCodesAreDocumentedInBothDirections)
{
    const auto documented = tableRows(pageText("result-codes.md"));
    const auto defined = tableRows(resultCodesPage());
    STRCMP_EQUAL("", missingFrom(defined, documented).c_str());
    STRCMP_EQUAL("", missingFrom(documented, defined).c_str());
    LONGS_EQUAL(resultCodes().size() + 1, documented.size());
}

// Guards against an outdated settings page. Regenerate it with
// persimmond --print-settings-reference >docs/settings.md.
TEST(pages, settingsPageIsCurrent)
{
    STRCMP_EQUAL(settingsReferencePage().c_str(), pageText("settings.md").c_str());
}

TEST_GROUP(settings_check) {};

// Guards against mistakes that are not reported or are reported without their location.
TEST(settings_check, printsOneLineForEachMistake)
{
    std::ostringstream output;
    const auto loaded = loadSettings("test/data/mistakes.ini", instance_role::Control, output);
    CHECK_TRUE(failed(loaded));
    LONGS_EQUAL(23, describe(errorOf(loaded).code).exitCode);
    const auto text = output.str();
    LONGS_EQUAL(3, std::ranges::count(text, '\n'));
    const auto line = "test/data/mistakes.ini: [http] threads = 99: allowed: a number from 2 to 16 "
                      "(code 1003 invalid_value)\n";
    CHECK_TRUE(text.find(line) != std::string::npos);
    CHECK_TRUE(text.find("[control] hearbeat_ms = 60") != std::string::npos);
    CHECK_TRUE(text.find("[instance] zone: allowed: text (code 1004") != std::string::npos);
}

// Guards against sample settings that the daemon rejects.
TEST(settings_check, acceptsTheSampleFiles)
{
    std::ostringstream output;
    for (const auto *name : {"control-1", "control-2", "control-3"})
        CHECK_FALSE(failed(loadSettings(std::string("test/data/") + name + ".ini",
                                        instance_role::Control, output)));
    for (const auto *name : {"entry-1", "entry-2"})
        CHECK_FALSE(failed(loadSettings(std::string("test/data/") + name + ".ini",
                                        instance_role::Entry, output)));
    STRCMP_EQUAL("", output.str().c_str());
}

TEST(settings_check, reportsAMissingFile)
{
    std::ostringstream output;
    const auto loaded = loadSettings("test/data/none.ini", instance_role::Entry, output);
    CHECK_TRUE(errorOf(loaded).code == result_code::StorageFailed);
}

TEST_GROUP(text_table) {};

TEST(text_table, alignsColumnsWithoutTrailingSpaces)
{
    text_table table({"NAME", "VERSION"});
    table.add({"Bogotá", "7"});
    table.add({"Medellín norte"});
    STRCMP_EQUAL("NAME            VERSION\n"
                 "Bogotá          7\n"
                 "Medellín norte\n",
                 table.toString().c_str());
}

// Guards against names with line feeds that inject rows.
TEST(text_table, replacesControlCharacters)
{
    text_table table({"A"});
    table.add({"x\ny"});
    STRCMP_EQUAL("A\nx y\n", table.toString().c_str());
}
