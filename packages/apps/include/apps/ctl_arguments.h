#pragma once

#include "base/clock.h"
#include "base/result.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace persimmon::apps {

struct ctl_arguments
{
    std::string command;
    std::vector<std::string> operands; // positional arguments after the command
    std::vector<std::string> control; // operator API addresses of the voters, IP:port
    bool dryRun = false;
    std::optional<std::uint64_t> expectedVersion;
    std::string changeId;
    milliseconds timeout {10000};
    bool json = false;
    std::uint32_t rounds = 0; // iterations of watch, 0: until interrupted
};

// Parses persimmonctl's command line; the first argument is the program name. Without --control the
// address list from the environment is used. Returns nothing after printing the help or version
// text. Fails with UsageError.
result<std::optional<ctl_arguments>> readCtlArguments(std::span<const std::string> arguments,
                                                      const std::string &environment);

} // namespace persimmon::apps
