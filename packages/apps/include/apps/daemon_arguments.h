#pragma once

#include "base/result.h"
#include "base/settings.h"

#include <optional>
#include <span>
#include <string>

namespace persimmon::apps {

// Role of a persimmond process. Scheduler and gateway serve the platform protocol.
enum class daemon_role : std::uint8_t { Control, Entry, Scheduler, Gateway };

struct daemon_arguments
{
    daemon_role role = daemon_role::Control;
    std::string settingsFile;
    bool checkSettings = false;
    bool printReference = false;
    bool printCodes = false;
};

// Parses persimmond's command line; the first argument is the program name. Returns nothing after
// printing the help or version text. Fails with UsageError.
result<std::optional<daemon_arguments>> readDaemonArguments(std::span<const std::string> arguments);

} // namespace persimmon::apps
