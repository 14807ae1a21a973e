#pragma once

#include "base/settings.h"
#include "control_link.h"
#include "http/server.h"
#include "metrics.h"
#include "request_core.h"
#include "sync_state.h"
#include "upstream_client.h"
#include "wire/event_loop.h"

#include <map>
#include <memory>

namespace persimmon::entry {

// Proxies callers' requests: connects the core to the listener, the upstreams and the ledger. Must
// be used on the loop's thread.
class proxy_service
{
public:
    proxy_service(wire::event_loop &loop, const settings &values, control_link &link,
                  entry_metrics &metrics, std::uint64_t incarnation);
    ~proxy_service();
    proxy_service(const proxy_service &) = delete;
    proxy_service &operator=(const proxy_service &) = delete;

    void handle(http::request request, http::server::reply reply);

    // Applies the state changes of a sync answer.
    void apply(const sync_effects &effects);
    void markLeaving(const upstream_key &key);
    void beginDrain() { core_.beginDrain(); }
    // Answers all open requests with outcome unknown; no other function may be called afterwards.
    void abandon();
    // Returns whether no request is queued or running and no outcome is still to be recorded.
    bool idle() const { return core_.idle(); }
    const request_core &core() const { return core_; }

private:
    struct open_request
    {
        http::request request;
        http::server::reply reply;
        attempt_answer answer; // of the last attempt that ended
    };

    struct outcome_write
    {
        request_id id {};
        outcome_record record;
        milliseconds backOff {100};
        time_point retryUntil;
    };

    void perform(const actions &list);
    void perform(const send_attempt &item);
    void perform(const cancel_attempt &item);
    void perform(const query_ledger &item);
    void perform(const answer_caller &item);
    void perform(const store_outcome &item);
    void endAttempt(attempt_ref ref, attempt_answer answer);
    void writeOutcome(const std::shared_ptr<outcome_write> &write);
    void outcomeWritten(const std::shared_ptr<outcome_write> &write,
                        const result<std::monostate> &written);

    wire::event_loop &loop_;
    const settings values_;
    control_link &link_;
    entry_metrics &metrics_;
    std::uint64_t incarnation_;
    request_core core_;
    std::unique_ptr<upstream_client> client_;
    std::map<request_id, open_request> open_;
    std::uint64_t lastId_ = 0;
    std::vector<timer_service::subscription> timers_;
    std::shared_ptr<bool> alive_;
};

} // namespace persimmon::entry
