#pragma once

#include "wire/event_loop.h"

#include <functional>

namespace persimmon::apps {

// Blocks SIGTERM and SIGINT so that the event loop can handle them, and ignores SIGPIPE. Must be
// called before any thread is started.
void captureStopSignals();

// Invokes the callback on the event loop's thread for each SIGTERM or SIGINT.
void onStopSignal(wire::event_loop &loop, std::function<void()> callback);

} // namespace persimmon::apps
