#include "apps/ctl_arguments.h"
#include "apps/ctl_commands.h"

#include <cstdlib>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace persimmon;
    const std::vector<std::string> argumentList(argv, argv + argc);
    const auto *environment = std::getenv("PERSIMMON_CONTROL");
    const auto arguments
            = apps::readCtlArguments(argumentList, environment == nullptr ? "" : environment);
    if (failed(arguments)) {
        const auto &reason = errorOf(arguments);
        std::cerr << "persimmonctl: " << reason.field << ": " << reason.detail << "\n";
        return describe(reason.code).exitCode;
    }
    if (!valueOf(arguments))
        return 0;
    const auto &values = *valueOf(arguments);
    const auto client = apps::operator_client::create(values.control);
    return apps::runCommand(values, *client, std::cout, std::cerr);
}
