#pragma once

#include "apps/ctl_arguments.h"
#include "apps/operator_client.h"

#include <ostream>

namespace persimmon::apps {

// Runs one persimmonctl command and returns the exit code for its result code. Results are written
// to output, validation errors and failures to errors.
int runCommand(const ctl_arguments &arguments, operator_client &client, std::ostream &output,
               std::ostream &errors);

} // namespace persimmon::apps
