#pragma once

#include "base/sync.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

// JSON of the interfaces to callers and upstreams. Bodies are checked strictly: an unknown or
// duplicate field, a wrong type or a value out of range fails with the name of the field.
namespace persimmon::entry {

// Fails with MalformedRequest, UnknownField, MissingField or InvalidValue.
result<job_spec> parseJob(std::string_view body);

struct announce_message
{
    announcement announced;
    std::vector<task_report> reports;
};

// Fails like parseJob().
result<announce_message> parseAnnouncement(std::string_view body);

// Reply to an upstream's announcement.
struct announce_reply
{
    milliseconds upstreamLease {0};
    milliseconds next {0};
    milliseconds taskLease {0};
    std::span<const task_order> orders;
};

std::string formatAnnounceReply(const announce_reply &reply);
std::string formatJobId(job_id id);
std::string formatJob(const job_view &job);
std::string formatJobResult(const job_view &job);

} // namespace persimmon::entry
