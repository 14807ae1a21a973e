#include "apps/ctl_arguments.h"

#include "apps/option_words.h"
#include "apps/version.h"
#include "base/ini.h"
#include "command_line.h"

#include <algorithm>
#include <array>

namespace persimmon::apps {

namespace {

// A command, its number of operands and its usage text.
struct command_form
{
    std::string_view name;
    std::size_t operandCount;
    std::string_view usage;
};

constexpr std::array<command_form, 12> commandForms {{
        {"apply", 1, "apply FILE"},
        {"get", 0, "get"},
        {"history", 0, "history"},
        {"status", 0, "status"},
        {"explain", 1, "explain ID"},
        {"latency", 0, "latency"},
        {"drain", 1, "drain ENTRY or drain voter-NUMBER"},
        {"watch", 0, "watch"},
        {"voters", 2, "voters add|remove NUMBER"},
        {"evacuate", 1, "evacuate ZONE"},
        {"restore", 1, "restore ZONE"},
        {"zones", 0, "zones"},
}};

std::vector<std::string> splitAddresses(std::string_view list)
{
    std::vector<std::string> addresses;
    while (!list.empty()) {
        const auto comma = std::min(list.find(','), list.size());
        if (comma > 0)
            addresses.emplace_back(list.substr(0, comma));
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return addresses;
}

bool isHostAndPort(std::string_view address)
{
    const auto colon = address.rfind(':');
    return colon != std::string_view::npos && colon > 0
            && !failed(parseNumber(address.substr(colon + 1), 1, 65535));
}

status checkCommand(const ctl_arguments &values)
{
    const auto *form = std::ranges::find(commandForms, values.command, &command_form::name);
    if (form == commandForms.end())
        return usageError(
                "one of apply, get, history, status, explain, latency, drain, watch, voters, "
                "evacuate, restore, zones",
                "command");
    if (values.operands.size() != form->operandCount)
        return usageError("usage: persimmonctl " + std::string(form->usage), values.command);
    const bool changesVoters = values.command == "voters";
    if (changesVoters && values.operands[0] != "add" && values.operands[0] != "remove")
        return usageError("add or remove", "voters");
    if (changesVoters && failed(parseNumber(values.operands[1], 1, 1000)))
        return usageError("a number from 1 to 1000", "voters");
    return std::monostate {};
}

status checkAddresses(const ctl_arguments &values)
{
    if (values.control.empty())
        return usageError("HOST:PORT[,HOST:PORT...] or the variable PERSIMMON_CONTROL", "control");
    for (const auto &address : values.control) {
        if (!isHostAndPort(address))
            return usageError("HOST:PORT instead of " + address, "control");
    }
    return std::monostate {};
}

constexpr std::string_view programText
        = "Operates the control group: apply FILE, get, history, status, explain ID, latency, "
          "drain ENTRY, "
          "drain voter-NUMBER, watch, voters add NUMBER, voters remove NUMBER. Operates schedulers "
          "by "
          "their metrics addresses: explain ID, latency, evacuate ZONE, restore ZONE, zones";

// Command-line options; each registers itself with the TCLAP command line.
struct option_set
{
    using text = TCLAP::ValueArg<std::string>;
    using number = TCLAP::ValueArg<std::uint64_t>;

    explicit option_set(TCLAP::CmdLine &commandLine)
        : control("", "control", "operator API addresses of the voters", false, "",
                  "HOST:PORT[,HOST:PORT...]", commandLine)
        , dryRun("", "dry-run", "check the tables without applying them", commandLine)
        , expect("", "expect-version", "version that the tables replace", false, 0, "N",
                 commandLine)
        , changeId("", "change-id", "id that makes retries idempotent", false, "", "ID",
                   commandLine)
        , timeout("", "timeout-ms", "time limit of the command in milliseconds", false, 10000, "N",
                  commandLine)
        , output("", "output", "output format", false, "table", "table|json", commandLine)
        , rounds("", "rounds", "iterations of watch, 0: until interrupted", false, 0, "N",
                 commandLine)
        , positionals("command", "command with its operands", true, "COMMAND", commandLine)
    {
    }

    text control;
    TCLAP::SwitchArg dryRun;
    number expect;
    text changeId;
    number timeout;
    text output;
    number rounds;
    TCLAP::UnlabeledMultiArg<std::string> positionals;
};

ctl_arguments collect(option_set &options, const std::string &environment)
{
    ctl_arguments values;
    const auto &positionals = options.positionals.getValue();
    values.command = positionals.front();
    values.operands.assign(positionals.begin() + 1, positionals.end());
    values.control
            = splitAddresses(options.control.isSet() ? options.control.getValue() : environment);
    values.dryRun = options.dryRun.getValue();
    if (options.expect.isSet())
        values.expectedVersion = options.expect.getValue();
    values.changeId = options.changeId.getValue();
    values.timeout = milliseconds {options.timeout.getValue()};
    values.json = options.output.getValue() == "json";
    values.rounds = static_cast<std::uint32_t>(options.rounds.getValue());
    return values;
}

} // namespace

result<std::optional<ctl_arguments>> readCtlArguments(std::span<const std::string> arguments,
                                                      const std::string &environment)
{
    TCLAP::CmdLine commandLine(std::string(programText), ' ', std::string(programVersion));
    option_set options(commandLine);
    const auto parsed = parseWords(commandLine, splitOptionValues(arguments));
    if (failed(parsed))
        return errorOf(parsed);
    if (!valueOf(parsed))
        return std::nullopt;
    const auto &format = options.output.getValue();
    if (format != "table" && format != "json")
        return usageError("table or json", "output");
    if (options.timeout.getValue() < 1 || options.timeout.getValue() > 3600000)
        return usageError("a number from 1 to 3600000", "timeout-ms");
    auto values = collect(options, environment);
    if (auto checked = checkCommand(values); failed(checked))
        return errorOf(checked);
    if (auto checked = checkAddresses(values); failed(checked))
        return errorOf(checked);
    return values;
}

} // namespace persimmon::apps
