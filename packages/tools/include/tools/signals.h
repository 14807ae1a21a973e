#pragma once

#include <functional>

namespace persimmon::tools {

// Calls the handler once, on a thread of its own, when the process receives SIGTERM or SIGINT. Must
// be called before other threads are started, so that they inherit the blocked signals.
void onTermination(std::function<void()> handler);

} // namespace persimmon::tools
