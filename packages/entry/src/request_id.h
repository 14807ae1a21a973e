#pragma once

#include <cstdint>

namespace persimmon::entry {

// Identifies one received request of a process; never reused.
enum class request_id : std::uint64_t {};

} // namespace persimmon::entry
