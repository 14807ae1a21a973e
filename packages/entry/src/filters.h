#pragma once

#include "request_core.h"

#include <array>

namespace persimmon::entry {

// Places in the chain where requests enter it.
enum class chain_position : std::uint8_t {
    Identify,
    Route,
    Admit,
    Record,
    Queue,
    Select,
    Dispatch,
    Retry,
    Answer,
    End,
};

// Returns the filter at a place of the chain.
const filter &filterAt(std::size_t position);

} // namespace persimmon::entry
