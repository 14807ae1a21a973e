// Stand-in upstreams for the demo, the benchmarks and the tests with real processes.
#include "base/log.h"
#include "base/text.h"
#include "tools/fleet.h"
#include "tools/signals.h"

#include <tclap/CmdLine.h>

#include <iostream>

namespace {

using namespace persimmon;

tools::fleet_options parse(int argc, char **argv)
{
    tools::fleet_options options;
    TCLAP::CmdLine commandLine("Runs stand-in upstreams.");
    TCLAP::ValueArg<std::string> entries("", "entries", "addresses of the entries, IP:port,...",
                                         true, "", "list", commandLine);
    TCLAP::ValueArg<std::string> idPrefix("", "prefix", "prefix of the worker ids", false,
                                          options.idPrefix, "text", commandLine);
    TCLAP::ValueArg<unsigned> count("", "count", "number of workers", false, 1, "n", commandLine);
    TCLAP::ValueArg<unsigned> firstPort("", "port", "first port", false, options.firstPort, "port",
                                        commandLine);
    TCLAP::SwitchArg sharedListener("", "shared-listener", "one listener for all workers",
                                    commandLine);
    TCLAP::ValueArg<std::string> pool("", "pool", "pool to serve", false, options.pool, "name",
                                      commandLine);
    TCLAP::ValueArg<std::string> region("", "region", "region", false, options.region, "name",
                                        commandLine);
    TCLAP::ValueArg<std::string> zone("", "zone", "availability zone", false, options.zone, "name",
                                      commandLine);
    TCLAP::ValueArg<unsigned> slots("", "slots", "slots of each worker", false, options.slots, "n",
                                    commandLine);
    TCLAP::ValueArg<unsigned> accelerators("", "accelerators", "accelerators of each worker", false,
                                           8, "n", commandLine);
    TCLAP::ValueArg<unsigned> requestMs("", "request-ms", "processing time of a request, in ms",
                                        false, 0, "ms", commandLine);
    TCLAP::ValueArg<unsigned> answerBytes("", "answer-bytes",
                                          "length of the padding in each answer, in bytes", false,
                                          0, "n", commandLine);
    TCLAP::ValueArg<unsigned> runMs("", "run-ms", "run time of a task, in ms", false, 1000, "ms",
                                    commandLine);
    TCLAP::SwitchArg failTasks("", "fail-tasks", "every task fails", commandLine);
    commandLine.parse(argc, argv);
    options.entries = splitTexts(entries.getValue());
    options.idPrefix = idPrefix.getValue();
    options.count = count.getValue();
    options.firstPort = firstPort.getValue();
    options.sharedListener = sharedListener.getValue();
    options.pool = pool.getValue();
    options.region = region.getValue();
    options.zone = zone.getValue();
    options.slots = slots.getValue();
    options.capacity.accelerators = accelerators.getValue();
    options.requestTime = milliseconds {requestMs.getValue()};
    options.answerBytes = answerBytes.getValue();
    options.tasks.runTime = milliseconds {runMs.getValue()};
    options.tasks.failTasks = failTasks.getValue();
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    const auto options = parse(argc, argv);
    wire::event_loop loop;
    auto started = tools::fleet::start(loop, options);
    if (failed(started)) {
        std::cerr << errorOf(started).detail << '\n';
        return describe(errorOf(started).code).exitCode;
    }
    auto &workers = *valueOf(started);
    tools::onTermination([&] { loop.post([&] { workers.leave([&] { loop.stop(); }); }); });
    loop.run();
    // Skips static destructors: those of the HTTP library join its threads and wait for open
    // connections.
    std::quick_exit(0);
}
