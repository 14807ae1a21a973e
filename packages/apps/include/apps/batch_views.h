#pragma once

#include "batch/ledger.h"

#include <string>

namespace persimmon::apps {

// Returns the explanation of a multi-step job as JSON, in the format that `persimmonctl explain`
// reads.
std::string explainJson(const batch::job_record &job);

} // namespace persimmon::apps
