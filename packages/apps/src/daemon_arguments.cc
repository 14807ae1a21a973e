#include "apps/daemon_arguments.h"

#include "apps/option_words.h"
#include "apps/version.h"
#include "command_line.h"

#include <algorithm>
#include <array>
#include <utility>

namespace persimmon::apps {

namespace {

constexpr std::array<std::pair<std::string_view, daemon_role>, 4> roles {{
        {"control", daemon_role::Control},
        {"entry", daemon_role::Entry},
        {"scheduler", daemon_role::Scheduler},
        {"gateway", daemon_role::Gateway},
}};

const std::pair<std::string_view, daemon_role> *findRole(std::string_view name)
{
    const auto *found = std::ranges::find(roles, name, &decltype(roles)::value_type::first);
    return found == roles.end() ? nullptr : found;
}

status checkCombination(const daemon_arguments &values, const std::string &role)
{
    if (values.printReference || values.printCodes)
        return std::monostate {};
    if (findRole(role) == nullptr)
        return usageError("one of control, entry, scheduler, gateway", "role");
    if (values.settingsFile.empty())
        return usageError("a file name", "settings");
    return std::monostate {};
}

// Treats "--check-settings FILE" as "--check-settings --settings FILE". An optional unlabeled
// argument would not work: TCLAP allows only one to be created per process.
std::vector<std::string> addSettingsOption(std::vector<std::string> argumentList)
{
    const auto check = std::ranges::find(argumentList, "--check-settings");
    if (check != argumentList.end() && check + 1 != argumentList.end()
        && !(check + 1)->starts_with('-'))
        argumentList.insert(check + 1, "--settings");
    return argumentList;
}

} // namespace

result<std::optional<daemon_arguments>> readDaemonArguments(std::span<const std::string> arguments)
{
    TCLAP::CmdLine commandLine("Scheduler and request proxy", ' ', std::string(programVersion));
    TCLAP::ValueArg<std::string> role("", "role", "role of this process", false, "",
                                      "control|entry|scheduler|gateway", commandLine);
    TCLAP::ValueArg<std::string> file("", "settings", "settings file", false, "", "FILE",
                                      commandLine);
    TCLAP::SwitchArg check("", "check-settings", "list all mistakes of the settings and exit",
                           commandLine);
    TCLAP::SwitchArg reference("", "print-settings-reference",
                               "print the table of all settings and exit", commandLine);
    TCLAP::SwitchArg codes("", "print-result-codes", "print the table of all result codes and exit",
                           commandLine);
    const auto parsed = parseWords(commandLine, addSettingsOption(splitOptionValues(arguments)));
    if (failed(parsed))
        return errorOf(parsed);
    if (!valueOf(parsed))
        return std::nullopt;
    daemon_arguments values;
    if (const auto *knownRole = findRole(role.getValue()); knownRole != nullptr)
        values.role = knownRole->second;
    values.settingsFile = file.getValue();
    values.checkSettings = check.getValue();
    values.printReference = reference.getValue();
    values.printCodes = codes.getValue();
    if (auto combination = checkCombination(values, role.getValue()); failed(combination))
        return errorOf(combination);
    return values;
}

} // namespace persimmon::apps
