#pragma once

#include <spdlog/spdlog.h>

#include <memory>
#include <string_view>

namespace persimmon {

// Returns the logger of a component, such as "entry". Creates it on the first call.
// Loggers write to standard error as "TIME LEVEL COMPONENT: MESSAGE" and can be used from any
// thread.
std::shared_ptr<spdlog::logger> logFor(std::string_view component);

// Sets the level of all loggers by name: trace, debug, info, warn, error or off.
// Unknown names turn logging off; the settings check rejects them earlier.
void setLogLevel(std::string_view name);

} // namespace persimmon
