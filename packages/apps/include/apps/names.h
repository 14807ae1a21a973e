#pragma once

#include "consensus/node.h"

#include <string_view>

namespace persimmon::apps {

// Returns the stable lower-case name of a role, used in JSON, logs and metrics.
std::string_view toName(consensus::node_role role);

} // namespace persimmon::apps
