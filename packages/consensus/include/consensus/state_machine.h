#pragma once

#include "base/result.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace persimmon::consensus {

using voter_id = std::uint32_t; // 0: nobody
using term_number = std::uint64_t; // grows with each election
using log_index = std::uint64_t; // first entry: 1

using byte_view = std::span<const std::byte>;
using byte_buffer = std::vector<std::byte>;

// State that the replicated log drives. Every voter applies the same commands in the same order, so
// apply() must depend on nothing but the state and its arguments.
class state_machine
{
public:
    virtual ~state_machine() = default;

    // Applies a committed command and returns the reply for its proposer.
    virtual byte_buffer apply(log_index index, byte_view command) = 0;

    // Returns the whole state.
    virtual byte_buffer snapshot() const = 0;

    // Replaces the whole state. Fails with CorruptFile and leaves the state unchanged.
    virtual status restore(byte_view snapshot) = 0;
};

} // namespace persimmon::consensus
