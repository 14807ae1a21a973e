#pragma once

#include "consensus/state_machine.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Nodes of a group without a list of members: the id of a node is its IPv4 address, so that ids and
// addresses follow from each other. All nodes use the same port.
namespace persimmon::cluster {

// Returns the id of "IP" or "IP:port", or nothing for another text.
std::optional<consensus::voter_id> idOf(std::string_view address);

// Returns the ids of all addresses that have one.
std::vector<consensus::voter_id> idsOf(std::span<const std::string> addresses);

// Returns "IP" of an id.
std::string ipOf(consensus::voter_id id);

// Returns "IP:port" of an id.
std::string addressOf(consensus::voter_id id, std::uint16_t port);

} // namespace persimmon::cluster
