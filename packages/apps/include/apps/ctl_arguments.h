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
    std::vector<std::string> words; // operands after the command
    std::vector<std::string> control; // operators' addresses of the voters, IP:port
    bool dryRun = false;
    std::optional<std::uint64_t> expectedVersion;
    std::string changeId;
    milliseconds timeout {10000};
    bool json = false;
    std::uint32_t rounds = 0; // of watch, 0: until interrupted
};

// Reads persimmonctl's command line; the first argument is the program's name. The environment's
// address list is used without --control. Returns nothing after the help or version text was
// printed. Fails with UsageError.
result<std::optional<ctl_arguments>> readCtlArguments(std::span<const std::string> arguments,
                                                      const std::string &environment);

} // namespace persimmon::apps
