#pragma once

#include "apps/voter.h"

#include <span>
#include <string>

// JSON bodies of the operator API.
namespace persimmon::apps {

std::string voterJson(const voter &source);
std::string statusJson(const voter &source);
std::string tablesJson(const tables &values);
std::string historyJson(std::span<const control::history_item> items);
std::string explainJson(const job_view &job);
std::string applyJson(const control::apply_outcome &outcome, bool dryRun);

// Returns the error body that lists all mistakes in a tables file.
std::string mistakesJson(std::span<const ini_mistake> mistakes);

// Returns the error body for a version conflict, with the current version.
std::string conflictJson(const error &reason, std::uint64_t currentVersion);

} // namespace persimmon::apps
