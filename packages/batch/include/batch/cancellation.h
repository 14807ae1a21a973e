#pragma once

#include "batch/model.h"

#include <compare>
#include <cstdint>
#include <string>

namespace persimmon::batch {

// What a job is handed in as: an id in a queue, by a tenant. Queues are told by their place.
struct job_address
{
    std::string tenant; // empty in public queues, whose callers aren't known
    std::string host;
    std::string prefix;
    std::string id;

    job_address() = default;
    job_address(const queue &at, const std::string &owner, std::string jobId)
        : tenant(at.isPublic ? std::string() : owner)
        , host(at.host)
        , prefix(at.prefix)
        , id(std::move(jobId))
    {
    }

    friend auto operator<=>(const job_address &, const job_address &) = default;
};

// Command of the ledger: remembers that a job was cancelled that isn't known, because its
// submission may still be on its way. It is forgotten with the jobs that ended at that time. Fails
// with KeyReused if the job is known when the command is applied: then it has to be cancelled like
// any other.
struct record_cancellation
{
    job_address job;
    std::int64_t wallMs = 0; // Unix milliseconds
};

} // namespace persimmon::batch
