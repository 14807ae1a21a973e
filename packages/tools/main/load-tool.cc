// Load generator: runs closed-loop HTTP clients and prints counts and latencies as one JSON object.
#include "base/text.h"
#include "tools/load.h"

#include <tclap/CmdLine.h>

#include <iostream>

namespace {

using namespace persimmon;

tools::load_options parse(int argc, char **argv)
{
    tools::load_options options;
    TCLAP::CmdLine commandLine("Sends requests and reports outcomes and latencies as JSON.");
    TCLAP::ValueArg<std::string> targets("", "targets", "addresses of the targets, IP:port,...",
                                         true, "", "list", commandLine);
    TCLAP::ValueArg<std::string> path("", "path", "request path", false, "/", "path", commandLine);
    TCLAP::ValueArg<std::string> method("", "method", "GET or POST", false, "POST", "name",
                                        commandLine);
    TCLAP::ValueArg<unsigned> clients("", "clients", "number of concurrent clients", false, 1, "n",
                                      commandLine);
    TCLAP::ValueArg<unsigned> seconds("", "seconds", "duration in seconds", false, 5, "s",
                                      commandLine);
    TCLAP::ValueArg<unsigned> bodyBytes("", "bytes", "body size in bytes", false, 64, "n",
                                        commandLine);
    TCLAP::ValueArg<std::string> keyPrefix("", "key-prefix", "prefix of idempotency keys", false,
                                           "load", "text", commandLine);
    TCLAP::ValueArg<unsigned> pause("", "pause-ms", "pause of a client between requests, in ms",
                                    false, 0, "ms", commandLine);
    TCLAP::SwitchArg resend(
            "", "resend", "resend with the same key after transport errors and retryable refusals",
            commandLine);
    TCLAP::SwitchArg followReadiness("", "follow-readiness", "send only to targets that are ready",
                                     commandLine);
    TCLAP::ValueArg<std::string> body("", "body", "body to send instead of padding", false, "",
                                      "text", commandLine);
    TCLAP::ValueArg<unsigned> requestsPerClient(
            "", "requests", "requests of each client; 0: no limit", false, 0, "n", commandLine);
    commandLine.parse(argc, argv);
    options.body = body.getValue();
    options.requestsPerClient = requestsPerClient.getValue();
    options.targets = splitTexts(targets.getValue());
    options.path = path.getValue();
    options.method = method.getValue();
    options.clients = clients.getValue();
    options.duration = std::chrono::seconds {seconds.getValue()};
    options.bodyBytes = bodyBytes.getValue();
    options.keyPrefix = keyPrefix.getValue();
    options.pause = milliseconds {pause.getValue()};
    options.followReadiness = followReadiness.getValue();
    options.resend = resend.getValue();
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    const auto report = tools::runLoad(parse(argc, argv));
    std::cout << tools::toJson(report) << std::endl;
    std::quick_exit(report.foreignAnswers == 0 ? 0 : 1);
}
