#pragma once

#include "base/result.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace persimmon::consensus {

using voter_id = std::uint32_t; // 0: none
using term_number = std::uint64_t; // increases with each election
using log_index = std::uint64_t; // 1: first entry

using byte_view = std::span<const std::byte>;
using byte_buffer = std::vector<std::byte>;

// Deterministic state machine replicated through the log. Every voter applies the same commands in
// the same order, so apply() must depend only on the state and its arguments.
class state_machine
{
public:
    virtual ~state_machine() = default;

    // Applies a committed command and returns the reply to its proposer.
    virtual byte_buffer apply(log_index index, byte_view command) = 0;

    // Returns the serialized state.
    virtual byte_buffer snapshot() const = 0;

    // Replaces the state. On failure returns CorruptFile and leaves the state unchanged.
    virtual status restore(byte_view snapshot) = 0;
};

} // namespace persimmon::consensus
