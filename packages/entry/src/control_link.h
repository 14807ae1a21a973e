#pragma once

#include "base/sync.h"

#include <functional>
#include <memory>
#include <string>

namespace persimmon::entry {

// Calls to the control leader. Implemented by wire::control_client in production and by a fake in
// tests.
class control_link
{
public:
    template <typename Value>
    using completion = std::function<void(result<Value>)>;

    control_link() = default;
    control_link(const control_link &) = delete;
    control_link &operator=(const control_link &) = delete;
    virtual ~control_link() = default;

    virtual void sync(const sync_request &request, completion<sync_response> done) = 0;
    virtual void submitJob(const std::string &key, const job_spec &spec, milliseconds deadline,
                           completion<job_id> done)
            = 0;
    virtual void getJob(job_id id, milliseconds deadline, completion<job_view> done) = 0;
    virtual void cancelJob(job_id id, milliseconds deadline, completion<std::monostate> done) = 0;
    virtual void recordIntent(const intent_request &request, milliseconds deadline,
                              completion<intent_reply> done)
            = 0;
    virtual void recordOutcome(const outcome_record &record, milliseconds deadline,
                               completion<std::monostate> done)
            = 0;
};

} // namespace persimmon::entry
