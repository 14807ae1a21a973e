#pragma once

#include "base/result.h"

#include <cstdint>
#include <span>
#include <string>

// Texts that persimmonctl makes of the JSON answers of the operators' API.
namespace persimmon::apps {

// Where a version of the tables is in force, as read from a status answer.
struct rollout_view
{
    bool complete = false; // this or a later version is in force on every entry with a lease
    std::size_t serving = 0; // entries that hold a lease
    std::string table;
    std::string entriesJson;
};

// Reads the rollout of a version out of a status answer. Fails with Internal.
result<rollout_view> readRollout(const std::string &statusJson, std::uint64_t version);

// The texts end with a line feed. All fail with Internal for an answer of another form.
result<std::string> statusText(const std::string &statusJson);
result<std::string> historyText(const std::string &historyJson);
result<std::string> explainText(const std::string &explainJson);

// Table of the voters' own answers; a voter without an answer is shown with its error.
struct voter_row
{
    std::string address;
    std::string json; // empty: no answer
    std::string failure;
};
std::string votersText(std::span<const voter_row> rows);

// One line of watch for a status answer.
result<std::string> watchText(const std::string &statusJson);

// Reads "version" of an answer to a change and its rows such as "+route boards". Fails with
// Internal.
struct change_view
{
    std::uint64_t version = 0;
    std::string rows;
};
result<change_view> readChange(const std::string &applyJson);

// Result of an apply command as JSON.
struct apply_report
{
    std::string answerJson; // of PUT /v1/tables
    std::string changeId;
    bool complete = false;
    std::string entriesJson;
    std::int64_t tookMs = 0; // from the first call to the end of the rollout
};
std::string applyReportJson(const apply_report &report);

} // namespace persimmon::apps
