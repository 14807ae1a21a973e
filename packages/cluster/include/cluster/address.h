#pragma once

#include "consensus/state_machine.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Conversion between node ids and addresses. The id of a node is its IPv4 address, so no list of
// members is needed to find the address of a node. All nodes use the same port.
namespace persimmon::cluster {

// Returns the id of "IP" or "IP:port", or nothing if the text is neither.
std::optional<consensus::voter_id> idOf(std::string_view address);

// Returns whether a text is "IP:port" with a port from 1 to 65535.
bool isEndpoint(std::string_view text);

// Returns the ids of all valid addresses and skips the others.
std::vector<consensus::voter_id> idsOf(std::span<const std::string> addresses);

// Returns the address of an id as "IP".
std::string ipOf(consensus::voter_id id);

// Returns the address of an id as "IP:port".
std::string addressOf(consensus::voter_id id, std::uint16_t port);

} // namespace persimmon::cluster
