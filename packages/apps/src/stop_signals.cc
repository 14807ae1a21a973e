#include "apps/stop_signals.h"

#include <kj/async-unix.h>

#include <csignal>

namespace persimmon::apps {

namespace {

kj::Promise<void> watchSignal(wire::event_loop &loop, int signalNumber,
                              std::function<void()> callback)
{
    auto received = loop.io().unixEventPort.onSignal(signalNumber);
    return received.then([&loop, signalNumber, callback = std::move(callback)](siginfo_t) {
        callback();
        return watchSignal(loop, signalNumber, callback);
    });
}

} // namespace

void captureStopSignals()
{
    kj::UnixEventPort::captureSignal(SIGTERM);
    kj::UnixEventPort::captureSignal(SIGINT);
    // A write to a closed connection fails with EPIPE, so the signal is not needed.
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler)
    // A write beyond the limit of a file's size fails like one to a full disk.
    std::signal(SIGXFSZ, SIG_IGN); // NOLINT(bugprone-signal-handler)
}

void onStopSignal(wire::event_loop &loop, std::function<void()> callback)
{
    loop.detach(watchSignal(loop, SIGTERM, callback));
    loop.detach(watchSignal(loop, SIGINT, std::move(callback)));
}

} // namespace persimmon::apps
