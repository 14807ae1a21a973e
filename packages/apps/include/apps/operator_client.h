#pragma once

#include "base/clock.h"
#include "base/result.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace persimmon::apps {

struct operator_call
{
    std::string method = "GET";
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers {};
    std::string body {};
    milliseconds attemptTimeout {2000}; // wait for one voter before trying the next
    bool retryInProgress = false; // true: resent while the leader returns in_progress
};

struct operator_answer
{
    int status = 0;
    std::string version; // ETag header
    std::string leader; // Persimmon-Leader header
    std::string body;
};

// Blocking client of the voters' operator API. Requests are resent, so they must be idempotent.
class operator_client
{
public:
    static std::unique_ptr<operator_client> create(std::vector<std::string> voters);

    virtual ~operator_client() = default;

    // Sends a request to one voter once. Fails with RpcFailed without a complete response.
    virtual result<operator_answer> callVoter(const std::string &address, const operator_call &call,
                                              milliseconds timeout)
            = 0;

    // Sends a request to the leader. Tries the hinted or the next voter on not_leader, no_quorum,
    // stopping and connection failures until the timeout expires. Fails with the last error that a
    // voter returned, or with RpcFailed if none responded.
    virtual result<operator_answer> callLeader(const operator_call &call, milliseconds timeout) = 0;
};

// Parses the JSON body of an error response. Returns Internal for an unexpected format.
error readRefusal(const operator_answer &answer);

} // namespace persimmon::apps
