#pragma once

#include <chrono>

namespace persimmon {

using std::chrono::milliseconds;

// Monotonic time. State machines receive it as an argument and never read a clock.
using time_point = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;

// Wall-clock time in milliseconds since the Unix epoch, for records displayed to users.
using wall_ms = std::chrono::milliseconds;

} // namespace persimmon
