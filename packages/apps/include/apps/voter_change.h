#pragma once

#include "base/result.h"

#include <cstdint>
#include <string_view>

namespace persimmon::apps {

// Operator's request to add or remove a voter.
struct voter_change
{
    std::uint32_t id = 0;
    bool add = true;
};

// Parses {"action":"add"|"remove","id":NUMBER}. Fails with MalformedRequest, UnknownField,
// MissingField or InvalidValue.
result<voter_change> readVoterChange(std::string_view body);

} // namespace persimmon::apps
