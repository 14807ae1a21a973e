#pragma once

#include "wire/event_loop.h"

#include <functional>

namespace persimmon::apps {

// Keeps SIGTERM and SIGINT from ending the process; call it before any thread is started.
void captureStopSignals();

// Calls back on the loop's thread for each SIGTERM or SIGINT.
void onStopSignal(wire::event_loop &loop, std::function<void()> callback);

} // namespace persimmon::apps
