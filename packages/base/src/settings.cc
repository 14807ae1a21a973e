#include "base/settings.h"

#include "base/field_setter.h"
#include "base/text.h"

#include <algorithm>
#include <array>
#include <optional>

namespace persimmon {

namespace {

enum class required_by : std::uint8_t { None, Both, Control, Entry };

struct field
{
    settings_key description;
    required_by requiredBy;
    field_setter<settings> set;
};

field_setter<settings> locationSetter(std::string location::*member)
{
    return [member](settings &target, const std::string &value) -> std::optional<std::string> {
        if (value.empty())
            return "a non-empty text";
        target.place.*member = value;
        return std::nullopt;
    };
}

bool isAddress(std::string_view value)
{
    const auto colon = value.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return false;
    const auto host = value.substr(0, colon);
    const auto isIpCharacter = [](char c) { return (c >= '0' && c <= '9') || c == '.'; };
    return std::ranges::all_of(host, isIpCharacter)
            && !failed(parseNumber(value.substr(colon + 1), 1, 65535));
}

field_setter<settings> addressSetter(std::string settings::*member)
{
    return textSetter(member, isAddress, "IP:port");
}

// Parses a percentage and stores it as a fraction.
field_setter<settings> percentSetter(double settings::*member)
{
    return [member](settings &target, const std::string &value) -> std::optional<std::string> {
        const auto parsed = parseNumber(value, 0, 100);
        if (failed(parsed))
            return errorOf(parsed).detail;
        target.*member = static_cast<double>(valueOf(parsed)) / 100;
        return std::nullopt;
    };
}

field_setter<settings> choiceSetter(std::string settings::*member, std::vector<std::string> choices)
{
    std::string allowed = "one of";
    for (const auto &name : choices)
        allowed += " " + name;
    const auto isChoice = [choices = std::move(choices)](std::string_view value) {
        return std::ranges::find(choices, value) != choices.end();
    };
    return textSetter(member, isChoice, allowed);
}

constexpr std::size_t maxVoters = 7;
constexpr std::string_view votersAllowed = "1 to 7 of ID@RPC_IP:port/HTTP_IP:port, comma separated";

std::optional<voter_address> parseVoter(std::string_view item)
{
    const auto at = item.find('@');
    const auto slash = item.find('/');
    if (at == std::string_view::npos || slash == std::string_view::npos || slash < at)
        return std::nullopt;
    const auto id = parseNumber(item.substr(0, at), 1, 1000);
    const auto rpc = item.substr(at + 1, slash - at - 1);
    const auto http = item.substr(slash + 1);
    if (failed(id) || !isAddress(rpc) || !isAddress(http))
        return std::nullopt;
    return voter_address {static_cast<std::uint32_t>(valueOf(id)), std::string(rpc),
                          std::string(http)};
}

std::optional<std::string> setVoters(settings &target, const std::string &value)
{
    std::vector<voter_address> voters;
    for (const auto item : splitList(value)) {
        const auto voter = parseVoter(item);
        if (!voter || std::ranges::find(voters, voter->id, &voter_address::id) != voters.end())
            return std::string(votersAllowed);
        voters.push_back(*voter);
    }
    if (voters.size() > maxVoters)
        return std::string(votersAllowed);
    target.voters = std::move(voters);
    return std::nullopt;
}

const std::vector<field> &fields()
{
    using s = settings;
    using enum required_by;
    static const std::vector<field> table {
            {{"instance", "id", "text", "", "unique name of the process"},
             Both,
             textSetter(&s::instanceId)},
            {{"instance", "region", "text", "", "region of the instance"},
             Both,
             locationSetter(&location::region)},
            {{"instance", "zone", "text", "", "availability zone of the instance"},
             Both,
             locationSetter(&location::zone)},
            {{"instance", "rack", "text", "-", "rack of the instance"},
             None,
             locationSetter(&location::rack)},
            {{"instance", "log_level", "trace, debug, info, warn, error, off", "info",
              "level of log lines"},
             None,
             choiceSetter(&s::logLevel, {"trace", "debug", "info", "warn", "error", "off"})},
            {{"http", "listen", "IP:port", "",
              "address for callers, upstreams, operators and metrics"},
             Both,
             addressSetter(&s::httpListen)},
            {{"http", "threads", "2 to 16", "4", "threads of the HTTP library"},
             None,
             numberSetter(&s::httpThreads, 2, 16)},
            {{"http", "max_header_bytes", "1024 to 65536", "16384",
              "limit of all header fields of a request"},
             None,
             numberSetter(&s::maxHeaderBytes, 1024, 65536)},
            {{"http", "max_body_bytes", "1024 to 16777216", "1048576",
              "limit of a request or answer body"},
             None,
             numberSetter(&s::maxBodyBytes, 1024, 16777216)},
            {{"http", "timeout_ms", "100 to 600000", "30000",
              "time limit for receiving one request, and for sending one answer"},
             None,
             numberSetter(&s::httpTimeout, 100, 600000)},
            {{"http", "idle_timeout_ms", "100 to 3600000", "120000",
              "time after which a connection without a request is closed"},
             None,
             numberSetter(&s::httpIdleTimeout, 100, 3600000)},
            {{"http", "max_connections", "0 to 100000", "0",
              "connections of clients; 0: three quarters of the descriptors of the process"},
             None,
             numberSetter(&s::maxConnections, 0, 100000)},
            {{"http", "max_held_bytes", "1048576 to 4294967296", "33554432",
              "memory for unfinished requests and answers, all connections together"},
             None,
             numberSetter(&s::maxHeldBytes, 1048576, 4294967296)},
            {{"control", "voters", votersAllowed, "", "all voters of the control group"},
             Both,
             setVoters},
            {{"control", "voter_id", "1 to 1000", "", "number of this voter"},
             Control,
             numberSetter(&s::voterId, 1, 1000)},
            {{"control", "rpc_listen", "IP:port", "",
              "address for calls between the system's processes"},
             Control,
             addressSetter(&s::rpcListen)},
            {{"control", "data_folder", "path", "", "folder of the replicated log and snapshots"},
             Control,
             textSetter(&s::dataFolder)},
            {{"control", "election_timeout_ms", "50 to 10000", "300",
              "silence after which a voter starts an election"},
             None,
             numberSetter(&s::electionTimeout, 50, 10000)},
            {{"control", "heartbeat_ms", "10 to 2000", "60", "period of the leader's heartbeats"},
             None,
             numberSetter(&s::heartbeat, 10, 2000)},
            {{"control", "snapshot_entries", "100 to 1000000", "10000",
              "log entries between snapshots"},
             None,
             numberSetter(&s::snapshotEntries, 100, 1000000)},
            {{"control", "checkpoint_deadline_ms", "100 to 600000", "2000",
              "time a preempted task has for its checkpoint"},
             None,
             numberSetter(&s::checkpointDeadline, 100, 600000)},
            {{"sync", "wait_ms", "50 to 1500", "500", "longest wait of one sync call"},
             None,
             numberSetter(&s::syncWait, 50, 1500)},
            {{"sync", "configuration_lease_ms", "500 to 2500", "2000",
              "time an entry serves without contact to control"},
             None,
             numberSetter(&s::configurationLease, 500, 2500)},
            {{"upstreams", "announce_period_ms", "100 to 10000", "1000", "period of announcements"},
             None,
             numberSetter(&s::announcePeriod, 100, 10000)},
            {{"upstreams", "lease_ms", "300 to 60000", "3000",
              "time an upstream counts as present after an announcement"},
             None,
             numberSetter(&s::upstreamLease, 300, 60000)},
            {{"upstreams", "task_lease_ms", "1000 to 600000", "10000",
              "time a task runs without a renewed lease"},
             None,
             numberSetter(&s::taskLease, 1000, 600000)},
            {{"entry", "drain_delay_ms", "0 to 60000", "1000",
              "wait between readiness off and closing the listener"},
             None,
             numberSetter(&s::drainDelay, 0, 60000)},
            {{"entry", "queue_length", "1 to 100000", "256", "queued requests of one workspace"},
             None,
             numberSetter(&s::queueLength, 1, 100000)},
            {{"entry", "retry_percent", "0 to 100", "10", "retries as a share of requests"},
             None,
             numberSetter(&s::retryPercent, 0, 100)},
            {{"entry", "slot_sharing", "fixed, lending", "lending",
              "how entries share the slots of an upstream"},
             None,
             choiceSetter(&s::slotSharing, {"fixed", "lending"})},
            {{"placement", "strategy", "first_fit, best_fit, buddy", "buddy",
              "strategy that places gangs"},
             None,
             choiceSetter(&s::placementStrategy, {"first_fit", "best_fit", "buddy"})},
            {{"placement", "completion_weight", "0 to 100", "50",
              "weight of completion time, percent"},
             None,
             percentSetter(&s::completionWeight)},
            {{"placement", "fragmentation_weight", "0 to 100", "50",
              "weight of fragmentation, percent"},
             None,
             percentSetter(&s::fragmentationWeight)},
    };
    return table;
}

const field *findField(std::string_view section, std::string_view key)
{
    const auto matches = [&](const field &item) {
        return item.description.section == section && item.description.key == key;
    };
    const auto found = std::ranges::find_if(fields(), matches);
    return found == fields().end() ? nullptr : &*found;
}

bool isKnownSection(std::string_view section)
{
    const auto matches = [&](const field &item) { return item.description.section == section; };
    return std::ranges::any_of(fields(), matches);
}

bool isRequired(required_by requiredBy, instance_role role)
{
    return requiredBy == required_by::Both
            || (requiredBy == required_by::Control && role == instance_role::Control)
            || (requiredBy == required_by::Entry && role == instance_role::Entry);
}

void readSection(const ini_section &section, parsed_settings &outcome)
{
    if (!isKnownSection(section.name)) {
        outcome.errors.push_back({section.name, "", "",
                                  "instance, http, control, sync, upstreams, entry or placement",
                                  result_code::UnknownField});
        return;
    }
    for (const auto &[key, value] : section.entries) {
        const auto *known = findField(section.name, key);
        if (known == nullptr) {
            outcome.errors.push_back({section.name, key, value, "a key of the settings reference",
                                      result_code::UnknownField});
            continue;
        }
        if (const auto allowed = known->set(outcome.values, value))
            outcome.errors.push_back(
                    {section.name, key, value, *allowed, result_code::InvalidValue});
    }
}

void reportMissingKeys(const ini_document &document, instance_role role, parsed_settings &outcome)
{
    for (const auto &item : fields()) {
        if (!isRequired(item.requiredBy, role))
            continue;
        const auto &[section, key, allowed, defaultValue, text] = item.description;
        const auto *present = document.find(section);
        if (present == nullptr || present->find(key) == nullptr)
            outcome.errors.push_back({std::string(section), std::string(key), "",
                                      std::string(allowed), result_code::MissingField});
    }
}

// Checks constraints between keys, which ranges of single keys can't express.
void checkConstraints(instance_role role, parsed_settings &outcome)
{
    const auto &values = outcome.values;
    if (values.heartbeat * 3 > values.electionTimeout)
        outcome.errors.push_back(
                {"control", "heartbeat_ms", std::to_string(values.heartbeat.count()),
                 "at most a third of election_timeout_ms", result_code::InvalidValue});
    if (values.syncWait * 2 > values.configurationLease)
        outcome.errors.push_back({"sync", "wait_ms", std::to_string(values.syncWait.count()),
                                  "at most half of configuration_lease_ms",
                                  result_code::InvalidValue});
    if (values.announcePeriod * 2 > values.upstreamLease)
        outcome.errors.push_back({"upstreams", "announce_period_ms",
                                  std::to_string(values.announcePeriod.count()),
                                  "at most half of lease_ms", result_code::InvalidValue});
    const auto known = std::ranges::find(values.voters, values.voterId, &voter_address::id);
    if (role == instance_role::Control && values.voterId != 0 && known == values.voters.end())
        outcome.errors.push_back({"control", "voter_id", std::to_string(values.voterId),
                                  "a number listed in voters", result_code::InvalidValue});
}

} // namespace

std::vector<settings_key> settingsReference()
{
    std::vector<settings_key> reference;
    for (const auto &item : fields())
        reference.push_back(item.description);
    return reference;
}

parsed_settings parseSettings(std::string_view text, instance_role role)
{
    const auto document = parseIni(text);
    parsed_settings outcome;
    outcome.errors = document.errors;
    for (const auto &section : document.sections)
        readSection(section, outcome);
    reportMissingKeys(document, role, outcome);
    checkConstraints(role, outcome);
    return outcome;
}

} // namespace persimmon
