// Stand-in upstreams for the demo, the benches and the process-level tests.
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
    TCLAP::CmdLine line("Runs stand-in upstreams.");
    TCLAP::ValueArg<std::string> entries("", "entries", "entries, IP:port,...", true, "", "list",
                                         line);
    TCLAP::ValueArg<std::string> prefix("", "prefix", "prefix of the worker ids", false,
                                        options.idPrefix, "text", line);
    TCLAP::ValueArg<unsigned> count("", "count", "number of workers", false, 1, "n", line);
    TCLAP::ValueArg<unsigned> port("", "port", "first port", false, options.firstPort, "port",
                                   line);
    TCLAP::SwitchArg shared("", "shared-listener", "one listener for all workers", line);
    TCLAP::ValueArg<std::string> pool("", "pool", "pool to serve", false, options.pool, "name",
                                      line);
    TCLAP::ValueArg<std::string> region("", "region", "region", false, options.region, "name",
                                        line);
    TCLAP::ValueArg<std::string> zone("", "zone", "availability zone", false, options.zone, "name",
                                      line);
    TCLAP::ValueArg<unsigned> slots("", "slots", "slots of each worker", false, options.slots, "n",
                                    line);
    TCLAP::ValueArg<unsigned> accelerators("", "accelerators", "accelerators of each worker", false,
                                           8, "n", line);
    TCLAP::ValueArg<unsigned> requestMs("", "request-ms", "time of a request", false, 0, "ms",
                                        line);
    TCLAP::ValueArg<unsigned> answerBytes("", "answer-bytes", "padding of an answer", false, 0, "n",
                                          line);
    TCLAP::ValueArg<unsigned> runMs("", "run-ms", "run time of a task", false, 1000, "ms", line);
    TCLAP::SwitchArg failTasks("", "fail-tasks", "every task fails", line);
    line.parse(argc, argv);
    options.entries = splitTexts(entries.getValue());
    options.idPrefix = prefix.getValue();
    options.count = count.getValue();
    options.firstPort = port.getValue();
    options.sharedListener = shared.getValue();
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
    // The HTTP library joins its threads in static destructors that wait for open connections.
    std::quick_exit(0);
}
