#pragma once

namespace persimmon {

// Lets the allocator return large blocks to the system as soon as they are freed. Otherwise the
// bodies of one crowd of requests would stay in the process beside those of the next one. Must be
// called before other threads start.
void returnFreedMemory();

} // namespace persimmon
