#pragma once

#include <cstdint>

namespace persimmon::entry {

// Identifies a received request; unique within a process.
enum class request_id : std::uint64_t {};

} // namespace persimmon::entry
