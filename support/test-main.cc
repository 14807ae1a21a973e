#include <spdlog/spdlog.h>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakDetector.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char **argv)
{
    // Fuzz tests elect thousands of leaders; their log lines would hide the results.
    spdlog::set_level(spdlog::level::off);
    // RapidCheck keeps static state that the leak detector would report.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    // The detector knows of allocations that were made before; it would read them after tests have
    // freed them.
    MemoryLeakWarningPlugin::getGlobalDetector()->clearAllAccounting(mem_leak_period_all);
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
