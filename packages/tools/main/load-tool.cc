// Load tool: closed-loop callers over HTTP; prints one JSON object with counts and latencies.
#include "base/text.h"
#include "tools/load.h"

#include <tclap/CmdLine.h>

#include <iostream>

namespace {

using namespace persimmon;

tools::load_options parse(int argc, char **argv)
{
    tools::load_options options;
    TCLAP::CmdLine line("Sends requests and reports outcomes and latencies as JSON.");
    TCLAP::ValueArg<std::string> targets("", "targets", "IP:port,...", true, "", "list", line);
    TCLAP::ValueArg<std::string> path("", "path", "request path", false, "/", "path", line);
    TCLAP::ValueArg<std::string> method("", "method", "GET or POST", false, "POST", "name", line);
    TCLAP::ValueArg<unsigned> clients("", "clients", "concurrent callers", false, 1, "n", line);
    TCLAP::ValueArg<unsigned> seconds("", "seconds", "duration", false, 5, "s", line);
    TCLAP::ValueArg<unsigned> bytes("", "bytes", "body size", false, 64, "n", line);
    TCLAP::ValueArg<std::string> keys("", "key-prefix", "prefix of idempotency keys", false, "load",
                                      "text", line);
    TCLAP::ValueArg<unsigned> pause("", "pause-ms", "pause of a caller between requests", false, 0,
                                    "ms", line);
    TCLAP::SwitchArg resend(
            "", "resend", "resend with the same key after transport errors and retryable refusals",
            line);
    TCLAP::SwitchArg balance("", "follow-readiness", "send only to targets that are ready", line);
    line.parse(argc, argv);
    options.targets = splitTexts(targets.getValue());
    options.path = path.getValue();
    options.method = method.getValue();
    options.clients = clients.getValue();
    options.duration = std::chrono::seconds {seconds.getValue()};
    options.bodyBytes = bytes.getValue();
    options.keyPrefix = keys.getValue();
    options.pause = milliseconds {pause.getValue()};
    options.followReadiness = balance.getValue();
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
