#pragma once

#include "apps/voter.h"

#include <span>
#include <string>

// JSON texts of the operators' API.
namespace persimmon::apps {

std::string voterJson(const voter &source);
std::string statusJson(const voter &source);
std::string tablesJson(const tables &values);
std::string historyJson(std::span<const control::history_item> items);
std::string explainJson(const job_view &job);
std::string applyJson(const control::apply_outcome &outcome, bool dryRun);

// Body of a refusal that lists all mistakes of a tables file.
std::string mistakesJson(std::span<const ini_mistake> mistakes);

// Body of a refusal because of the version, with the current version.
std::string conflictJson(const error &reason, std::uint64_t currentVersion);

} // namespace persimmon::apps
