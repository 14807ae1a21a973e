#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace persimmon::tools {

struct load_options
{
    std::vector<std::string> targets; // IP:port; callers are spread round robin
    std::string path = "/";
    std::string method = "POST";
    std::uint32_t clients = 1;
    milliseconds duration {5000};
    std::size_t bodyBytes = 64;
    std::string keyPrefix = "load"; // each request has the key PREFIX-CLIENT-NUMBER
    milliseconds pause {0};
    bool followReadiness = false; // send only to targets whose /readyz answers 200, like a balancer
    bool resend = false; // same key again after a transport error or a refusal that can be retried
};

struct load_report
{
    std::uint64_t requests = 0;
    std::uint64_t ran = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t transportErrors = 0;
    std::uint64_t foreignAnswers = 0; // answers that carry another request's key
    double seconds = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    double maxMs = 0;
    std::map<int, std::uint64_t> statuses;
    std::vector<std::string> ranKeys; // keys answered as ran
};

// Runs closed-loop callers for the given time and waits for all answers. An answer counts as ran
// when its Persimmon-Outcome says so, or when a direct upstream answered 200.
load_report runLoad(const load_options &options);

// Returns the report as one JSON object, without the keys.
std::string toJson(const load_report &report);

} // namespace persimmon::tools
