#pragma once

#include "base/result.h"

#include <cstdint>
#include <span>
#include <string>

// Formats the JSON responses of the operator API for persimmonctl.
namespace persimmon::apps {

// Rollout state of one version of the tables, read from a status response.
struct rollout_view
{
    bool complete = false; // this or a later version is in force on every entry with a lease
    std::size_t serving = 0; // entries that hold a lease
    std::string table;
    std::string entriesJson;
};

// Reads the rollout state of a version from a status response. Fails with Internal.
result<rollout_view> readRollout(const std::string &statusJson, std::uint64_t version);

// The texts end with a line feed. Each fails with Internal if the response has an unexpected
// format.
result<std::string> statusText(const std::string &statusJson);
result<std::string> historyText(const std::string &historyJson);
result<std::string> explainText(const std::string &explainJson);
result<std::string> zonesText(const std::string &zonesJson);

// Formats the state reported by each voter as a table; an unreachable voter is shown with its
// error.
struct voter_row
{
    std::string address;
    std::string json; // empty: no response
    std::string failure;
};
std::string votersText(std::span<const voter_row> rows);

// Formats a status response as one line of watch.
result<std::string> watchText(const std::string &statusJson);

// Reads the version and the changed rows, such as "+route boards", from the response to an apply
// request. Fails with Internal.
struct change_view
{
    std::uint64_t version = 0;
    std::string rows;
};
result<change_view> readChange(const std::string &applyJson);

// Result of an apply command as JSON.
struct apply_report
{
    std::string answerJson; // response to PUT /v1/tables
    std::string changeId;
    bool complete = false;
    std::string entriesJson;
    std::int64_t tookMs = 0; // from the first request to the end of the rollout
};
std::string applyReportJson(const apply_report &report);

} // namespace persimmon::apps
