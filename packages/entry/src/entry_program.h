#pragma once

#include "control_link.h"
#include "entry/entry.h"

namespace persimmon::entry {

// Starts an entry with the given link to the control leader.
result<std::unique_ptr<entry_server>> startEntry(wire::event_loop &loop, const settings &values,
                                                 std::unique_ptr<control_link> link);

} // namespace persimmon::entry
