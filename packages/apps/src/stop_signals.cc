#include "apps/stop_signals.h"

#include <kj/async-unix.h>

#include <csignal>

namespace persimmon::apps {

namespace {

kj::Promise<void> watch(wire::event_loop &loop, int number, std::function<void()> callback)
{
    auto arrived = loop.io().unixEventPort.onSignal(number);
    return arrived.then([&loop, number, callback = std::move(callback)](siginfo_t) {
        callback();
        return watch(loop, number, callback);
    });
}

} // namespace

void captureStopSignals()
{
    kj::UnixEventPort::captureSignal(SIGTERM);
    kj::UnixEventPort::captureSignal(SIGINT);
    // Writing to a closed connection is reported by the call itself.
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler)
}

void onStopSignal(wire::event_loop &loop, std::function<void()> callback)
{
    loop.detach(watch(loop, SIGTERM, callback));
    loop.detach(watch(loop, SIGINT, std::move(callback)));
}

} // namespace persimmon::apps
