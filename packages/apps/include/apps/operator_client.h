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
    milliseconds attemptTimeout {2000}; // a silent voter delays the call by this time
    bool waitsForOthers = false; // true: sent again while the leader answers in_progress
};

struct operator_answer
{
    int status = 0;
    std::string version; // the ETag header field
    std::string leader; // the Persimmon-Leader header field
    std::string body;
};

// Sends calls to the operators' API of the voters. Calls block. All calls may be repeated safely.
class operator_client
{
public:
    static std::unique_ptr<operator_client> create(std::vector<std::string> voters);

    virtual ~operator_client() = default;

    // Sends a call to one voter once. Fails with RpcFailed or Timeout when no whole answer came.
    virtual result<operator_answer> ask(const std::string &address, const operator_call &call,
                                        milliseconds timeout)
            = 0;

    // Sends a call to the leader: moves on to the hinted or next voter on not_leader, no_quorum and
    // lost answers until the time has passed. Fails with the last refusal of a voter, or with
    // RpcFailed when none answered.
    virtual result<operator_answer> callLeader(const operator_call &call, milliseconds timeout) = 0;
};

// Reads the JSON body of a refusal. A body of another form becomes Internal.
error readRefusal(const operator_answer &answer);

} // namespace persimmon::apps
