#pragma once

#include <cstddef>

namespace persimmon {

// Returns how many descriptors the process may open.
std::size_t maxDescriptors();

} // namespace persimmon
