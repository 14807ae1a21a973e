#pragma once

#include "batch/ledger.h"

#include <string>

namespace persimmon::apps {

// Explanation of a job of several steps as JSON, in the form that `persimmonctl explain` prints.
std::string explainJson(const batch::job_record &job);

} // namespace persimmon::apps
