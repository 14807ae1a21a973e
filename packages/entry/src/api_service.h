#pragma once

#include "api_json.h"
#include "base/settings.h"
#include "control_link.h"
#include "http/server.h"
#include "sync_state.h"
#include "wire/event_loop.h"

#include <functional>
#include <map>
#include <memory>

namespace persimmon::entry {

// Access of the API to the rest of the entry.
struct api_hooks
{
    std::function<const tables &()> currentTables;
    std::function<bool()> leaseHeld;
    std::function<bool()> stopping;
    std::function<void(const announcement &)> upstreamLeaving;
    std::function<void()> syncNow; // makes a sync call immediately
};

// Serves /v1/jobs to callers and /v1/announce to upstreams. Must be used on the loop's thread.
class api_service
{
public:
    api_service(wire::event_loop &loop, const settings &values, control_link &link,
                sync_state &state, std::uint64_t incarnation, api_hooks hooks);
    ~api_service();
    api_service(const api_service &) = delete;
    api_service &operator=(const api_service &) = delete;

    void handle(const http::request &request, const http::server::reply &reply);

    // Answers announcements that the leader has acknowledged.
    void acknowledge(const std::vector<announce_ticket> &tickets);

    // Refuses all pending announcements; no other function may be called afterwards.
    void abandon() { expireWaiting(time_point::max()); }

    // Returns whether no announcement and no call about a job is pending at the leader.
    bool idle() const { return waiting_.empty() && openCalls_ == 0; }

private:
    struct waiting_announcement
    {
        announcement announced;
        http::server::reply reply;
        time_point expiresAt;
    };

    void handleJobs(const http::request &request, const http::server::reply &reply);
    void submit(const http::request &request, const http::server::reply &reply);
    void announce(const http::request &request, const http::server::reply &reply);
    void answerAnnouncement(const announcement &announced, const http::server::reply &reply) const;
    void expireWaiting(time_point now);
    std::string defaultPool(const std::string &workspace) const;

    // Returns a completion that answers the caller with the result of a call to the leader. The
    // call counts as open for idle() until then.
    template <typename Value>
    control_link::completion<Value> replyHandler(http::server::reply reply,
                                                 std::function<http::response(Value)> format);

    wire::event_loop &loop_;
    const settings values_;
    control_link &link_;
    sync_state &state_;
    std::uint64_t incarnation_;
    api_hooks hooks_;
    std::map<announce_ticket, waiting_announcement> waiting_;
    std::uint64_t lastJobKey_ = 0;
    std::size_t openCalls_ = 0;
    timer_service::subscription timer_;
    std::shared_ptr<bool> alive_;
};

} // namespace persimmon::entry
