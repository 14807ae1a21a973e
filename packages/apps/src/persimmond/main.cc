#include "apps/control_program.h"
#include "apps/daemon_arguments.h"
#include "apps/settings_check.h"
#include "apps/stop_signals.h"
#include "base/allocator.h"
#include "base/log.h"
#include "entry/entry.h"
#include "platform/programs.h"

#include <iostream>
#include <utility>

namespace {

using namespace persimmon;

int exitCodeOf(result_code code)
{
    return describe(code).exitCode;
}

// Runs a role until it has shut down after a stop signal or a drain request.
template <typename Role>
int serve(wire::event_loop &loop, Role &role)
{
    bool stopping = false;
    const auto stop = [&loop, &role, &stopping] {
        if (!std::exchange(stopping, true))
            role.beginShutdown([&loop] { loop.stop(); });
    };
    apps::onStopSignal(loop, stop);
    role.onDrain(stop);
    loop.run();
    return 0;
}

int reportStartFailure(std::string_view part, const error &reason)
{
    logFor(part)->error("can't start: {} (code {} {})", reason.detail,
                        static_cast<int>(reason.code), describe(reason.code).name);
    return exitCodeOf(reason.code);
}

int runControl(wire::event_loop &loop, const settings &values)
{
    auto started = apps::control_program::start(loop, values);
    if (failed(started))
        return reportStartFailure("control", errorOf(started));
    auto &program = *valueOf(started);
    int exitCode = 0;
    program.onStorageFailure([&](const error &reason) {
        if (exitCode != 0)
            return;
        logFor("control")->error("storage failed, exiting: {} (code {} {})", reason.detail,
                                 static_cast<int>(reason.code), describe(reason.code).name);
        exitCode = exitCodeOf(reason.code);
        program.beginShutdown([&loop] { loop.stop(); });
    });
    const int served = serve(loop, program);
    return exitCode != 0 ? exitCode : served;
}

int runEntry(wire::event_loop &loop, const settings &values)
{
    auto started = entry::entry_server::start(loop, values);
    if (failed(started))
        return reportStartFailure("entry", errorOf(started));
    return serve(loop, *valueOf(started));
}

int runPlatform(const apps::daemon_arguments &arguments)
{
    const bool scheduler = arguments.role == apps::daemon_role::Scheduler;
    const auto role = scheduler ? platform::platform_role::Control : platform::platform_role::Edge;
    const auto values = platform::loadPlatformSettings(arguments.settingsFile, role);
    if (failed(values))
        return exitCodeOf(errorOf(values).code);
    if (arguments.checkSettings) {
        std::cout << arguments.settingsFile << ": the settings are valid\n";
        return 0;
    }
    const auto serveRole = scheduler ? platform::runControl : platform::runEdge;
    return serveRole(valueOf(values), arguments.settingsFile);
}

int run(const apps::daemon_arguments &arguments)
{
    if (arguments.printReference || arguments.printCodes) {
        std::cout << (arguments.printReference ? apps::settingsReferencePage()
                                               : apps::resultCodesPage());
        return 0;
    }
    if (arguments.role == apps::daemon_role::Scheduler
        || arguments.role == apps::daemon_role::Gateway)
        return runPlatform(arguments);
    const auto role = arguments.role == apps::daemon_role::Entry ? instance_role::Entry
                                                                 : instance_role::Control;
    auto &output = arguments.checkSettings ? std::cout : std::cerr;
    const auto loaded = apps::loadSettings(arguments.settingsFile, role, output);
    if (failed(loaded))
        return exitCodeOf(errorOf(loaded).code);
    if (arguments.checkSettings) {
        std::cout << arguments.settingsFile << ": the settings are valid\n";
        return 0;
    }
    setLogLevel(valueOf(loaded).logLevel);
    apps::captureStopSignals();
    wire::event_loop loop;
    if (role == instance_role::Entry)
        return runEntry(loop, valueOf(loaded));
    return runControl(loop, valueOf(loaded));
}

} // namespace

int main(int argc, char **argv)
{
    returnFreedMemory();
    const std::vector<std::string> argumentList(argv, argv + argc);
    const auto arguments = apps::readDaemonArguments(argumentList);
    if (failed(arguments)) {
        const auto &reason = errorOf(arguments);
        std::cerr << "persimmond: " << reason.field << ": " << reason.detail << "\n";
        return exitCodeOf(reason.code);
    }
    return valueOf(arguments) ? run(*valueOf(arguments)) : 0;
}
