#pragma once

#include "base/clock.h"

#include <cstdint>

namespace persimmon::cluster {

// Returns the pause before another attempt of a call. It doubles with each failed attempt up to a
// limit. The random number spreads it over half to the whole of that time, so that the many nodes
// that lose the same leader don't ask for the next one at once.
milliseconds retryDelay(std::uint32_t failedAttempts, std::uint32_t random);

} // namespace persimmon::cluster
