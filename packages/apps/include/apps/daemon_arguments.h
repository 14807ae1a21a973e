#pragma once

#include "base/result.h"
#include "base/settings.h"

#include <optional>
#include <span>
#include <string>

namespace persimmon::apps {

struct daemon_arguments
{
    instance_role role = instance_role::Control;
    std::string settingsFile;
    bool checkSettings = false;
    bool printReference = false;
    bool printCodes = false;
};

// Reads persimmond's command line; the first argument is the program's name. Returns nothing after
// the help or version text was printed. Fails with UsageError.
result<std::optional<daemon_arguments>> readDaemonArguments(std::span<const std::string> arguments);

} // namespace persimmon::apps
