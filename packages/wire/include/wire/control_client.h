#pragma once

#include "base/settings.h"
#include "base/sync.h"
#include "wire/event_loop.h"

#include <functional>
#include <memory>
#include <span>

namespace persimmon::wire {

// RPC client of the control leader. Each call is sent to the last known leader and retried at the
// hinted or next voter on not_leader, no_quorum, a lost connection or a call time-out, until its
// deadline. Retries are safe: calls carry a key, an attempt number or a view sequence. Callbacks
// run on the loop's thread; errors are NotLeader, NoQuorum, RpcFailed, Timeout or the error that
// the leader returned.
class control_client
{
public:
    control_client(event_loop &loop, std::span<const voter_address> voters);
    ~control_client();
    control_client(const control_client &) = delete;
    control_client &operator=(const control_client &) = delete;

    template <typename Value>
    using completion = std::function<void(result<Value>)>;

    // Makes a single attempt; the caller retries with its current state.
    void sync(const sync_request &request, completion<sync_response> done);

    void submitJob(const std::string &key, const job_spec &spec, milliseconds deadline,
                   completion<job_id> done);
    void getJob(job_id id, milliseconds deadline, completion<job_view> done);
    void cancelJob(job_id id, milliseconds deadline, completion<std::monostate> done);
    void recordIntent(const intent_request &request, milliseconds deadline,
                      completion<intent_reply> done);
    void recordOutcome(const outcome_record &record, milliseconds deadline,
                       completion<std::monostate> done);

private:
    class implementation;

    std::unique_ptr<implementation> implementation_;
};

} // namespace persimmon::wire
