#pragma once

#include "apps/ctl_arguments.h"
#include "apps/operator_client.h"

#include <ostream>

namespace persimmon::apps {

// Runs one command of persimmonctl and returns the exit code of its result code. Results go to the
// output, mistakes and errors to the error output.
int runCommand(const ctl_arguments &arguments, operator_client &client, std::ostream &output,
               std::ostream &errors);

} // namespace persimmon::apps
