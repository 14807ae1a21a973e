#pragma once

#include "batch/service.h"

#include <span>
#include <string>

namespace persimmon::apps {

// Returns the explanation of a multi-step job as JSON, in the format that `persimmonctl explain`
// reads, with the causes for which units of it wait.
std::string explainJson(const batch::job_record &job, std::span<const batch::stall_cause> waits);

// Returns the state of availability zones as JSON, in the format that `persimmonctl zones` reads.
std::string zonesJson(std::span<const batch::service::zone_status> zones);

} // namespace persimmon::apps
