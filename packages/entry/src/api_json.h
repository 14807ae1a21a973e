#pragma once

#include "base/sync.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

// JSON of the interfaces to callers and upstreams. Bodies are checked strictly: a field that is not
// known, is given twice, has another type or is out of its range fails with the field's name.
namespace persimmon::entry {

// Fails with MalformedRequest, UnknownField, MissingField or InvalidValue.
result<job_spec> parseJob(std::string_view body);

struct announce_message
{
    announcement news;
    std::vector<task_report> reports;
};

// Fails like parseJob().
result<announce_message> parseAnnouncement(std::string_view body);

// What an upstream is told after an announcement.
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
