#pragma once

#include "base/clock.h"
#include "base/ini.h"
#include "base/model.h"

#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

enum class instance_role : std::uint8_t { Control, Entry };

// Address of one control voter.
struct voter_address
{
    std::uint32_t id = 0;
    std::string rpc; // IP:port for calls between the system's processes
    std::string http; // IP:port for operators

    friend bool operator==(const voter_address &, const voter_address &) = default;
};

// Settings of one process, read from an INI file. Durations are in milliseconds, sizes in bytes.
struct settings
{
    std::string instanceId;
    location place;
    std::string logLevel = "info";

    std::string httpListen;
    std::uint32_t httpThreads = 4;
    std::uint64_t maxHeaderBytes = 16384;
    std::uint64_t maxBodyBytes = 1048576;
    milliseconds httpTimeout {30000};
    milliseconds httpIdleTimeout {120000};
    std::uint32_t maxConnections = 0; // 0: three quarters of the descriptors of the process
    std::uint64_t maxHeldBytes = std::uint64_t {32} << 20U;

    std::vector<voter_address> voters;

    std::uint32_t voterId = 0;
    std::string rpcListen;
    std::string dataFolder;
    milliseconds electionTimeout {300};
    milliseconds heartbeat {60};
    std::uint64_t snapshotEntries = 10000;

    milliseconds syncWait {500};
    milliseconds configurationLease {2000};
    milliseconds announcePeriod {1000};
    milliseconds upstreamLease {3000};
    milliseconds taskLease {10000};
    milliseconds drainDelay {1000};
    std::uint32_t queueLength = 256;
    std::uint32_t retryPercent = 10;
    std::string slotSharing = "lending";

    std::string placementStrategy = "buddy";
    double completionWeight = 0.5;
    double fragmentationWeight = 0.5;
    milliseconds checkpointDeadline {2000};
};

// Parsed settings with all errors found. The values are valid only if there are no errors.
struct parsed_settings
{
    settings values;
    std::vector<ini_error> errors;
};

// Describes one settings key for the reference in docs/settings.md.
struct settings_key
{
    std::string_view section;
    std::string_view key;
    std::string_view allowed;
    std::string_view defaultValue; // empty: required
    std::string_view text;
};

// Returns all keys of the settings file in the order of the reference.
std::vector<settings_key> settingsReference();

// Parses settings for a role. Reports every error: unknown section or key, duplicate, wrong type,
// out of range, missing.
parsed_settings parseSettings(std::string_view text, instance_role role);

} // namespace persimmon
