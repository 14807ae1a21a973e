#pragma once

#include "request_core.h"

#include <array>

namespace persimmon::entry {

// Positions of the filters in the chain.
enum class chain_position : std::uint8_t {
    Readiness,
    Route,
    Admit,
    Ledger,
    Queue,
    Select,
    Dispatch,
    Retry,
    Answer,
    End,
};

// Returns the filter at a position of the chain.
const filter &filterAt(std::size_t position);

} // namespace persimmon::entry
