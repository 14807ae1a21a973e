#pragma once

#include <cstdint>
#include <string>

namespace persimmon::batch {

// Command of the ledger: empties an availability zone, or takes it back. No task is started on the
// workers of an evacuated zone. Setting the state that the zone already has changes nothing.
struct set_evacuation
{
    std::string zone;
    bool evacuated = true;
    std::int64_t wallMs = 0; // Unix milliseconds
};

// An evacuated availability zone.
struct evacuation
{
    std::int64_t sinceMs = 0; // when it was ordered, in Unix milliseconds
};

} // namespace persimmon::batch
