#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace persimmon::tools {

struct load_options
{
    std::vector<std::string> targets; // IP:port; clients are spread over them round robin
    std::string path = "/";
    std::string method = "POST";
    std::uint32_t clients = 1;
    std::uint64_t requestsPerClient = 0; // 0: no limit but the duration
    milliseconds duration {5000};
    std::size_t bodyBytes = 64;
    std::string body; // if not empty, sent instead of bodyBytes of padding
    std::string keyPrefix = "load"; // idempotency keys are PREFIX-CLIENT-NUMBER
    milliseconds pause {0}; // of a client between two requests
    // Sends only to targets whose /readyz answers 200, as a load balancer does.
    bool followReadiness = false;
    // Sends again with the same key after a transport error or a retryable refusal.
    bool resend = false;
};

struct load_report
{
    std::uint64_t requests = 0;
    std::uint64_t ran = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t transportErrors = 0;
    std::uint64_t foreignAnswers = 0; // answers as ran whose body lacks the key of the request
    double seconds = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    double maxMs = 0;
    std::map<int, std::uint64_t> statuses;
    std::vector<std::string> ranKeys; // keys of the requests answered as ran
};

// Runs closed-loop clients for the given duration and waits for all answers. An answer counts as
// ran if its Persimmon-Outcome header is "ran", or if it has no such header, as from a direct
// upstream, and its status is 200.
load_report runLoad(const load_options &options);

// Returns the report as one JSON object, without the keys.
std::string toJson(const load_report &report);

} // namespace persimmon::tools
