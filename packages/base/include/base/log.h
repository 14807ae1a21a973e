#pragma once

#include <spdlog/spdlog.h>

#include <memory>
#include <string_view>

namespace persimmon {

// Returns a logger whose lines start with the fixed prefix of one part, such as "entry: ".
// Loggers write to standard error as "TIME LEVEL PART: MESSAGE" and can be used from any thread.
std::shared_ptr<spdlog::logger> logFor(std::string_view part);

// Sets the level of all loggers by name: trace, debug, info, warn, error or off.
// Unknown names are ignored; the settings check refuses them earlier.
void setLogLevel(std::string_view name);

} // namespace persimmon
