#pragma once

#include "base/settings.h"
#include "base/sync.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace persimmon::entry {

// Identifies an announcement that is pending until the leader has acknowledged it.
enum class announce_ticket : std::uint64_t {};

enum class sync_call_id : std::uint64_t {};

// Orders task references; see request_key_less.
struct task_ref_less
{
    bool operator()(const task_ref &left, const task_ref &right) const
    {
        return std::tie(left.job, left.attempt, left.index, left.token)
                < std::tie(right.job, right.attempt, right.index, right.token);
    }
};

using report_map = std::map<task_ref, task_report, task_ref_less>;

// Result of accepting an announcement.
struct announce_outcome
{
    bool urgent = false; // requires an immediate sync call
    // If set, the announcement must be answered only after this ticket is acknowledged.
    std::optional<announce_ticket> ticket;
};

// State changes caused by an answer of the leader.
struct sync_effects
{
    std::optional<error> failure; // if set, nothing else is
    bool outdated = false; // answer of an older term or an unknown call; nothing else is set
    std::optional<time_point> leaseUntil;
    std::optional<tables> newTables;
    bool viewChanged = false;
    bool fullView = false;
    std::vector<announcement> upstreams;
    std::optional<std::vector<slot_share>> shares;
    bool drain = false;
    std::vector<announce_ticket> acknowledged;
};

struct sync_identity
{
    std::string entryId;
    std::uint64_t incarnation = 0;
    std::string httpAddress;
    location place;
};

// State of the sync calls to the leader: pending content, calls in flight, and the view received.
// Deterministic; makes no calls itself.
class sync_state
{
public:
    explicit sync_state(sync_identity identity);

    // Adds an announcement and its reports to the next call. Fails with InvalidValue when a later
    // incarnation has announced itself.
    result<announce_outcome> announce(time_point now, const announcement &announced,
                                      std::vector<task_report> reports);

    // Builds the request of the next call and records the call as in flight.
    std::pair<sync_call_id, sync_request> begin(time_point now, milliseconds wait);

    // Processes the answer of a call. The content of a failed call is sent again by the next one.
    sync_effects complete(time_point now, sync_call_id call, const result<sync_response> &answer);

    // Returns the leader's orders for an upstream, or nothing when its view lacks the incarnation.
    std::optional<std::vector<task_order>> ordersOf(const std::string &upstream,
                                                    std::uint64_t incarnation) const;

    bool hasUrgent() const { return urgent_; }
    bool hasView() const { return viewEpoch_ != 0; }

    // Request content that the owner sets before begin().
    std::uint64_t appliedVersion = 0;
    std::vector<pool_demand> demand;
    bool stopping = false;

private:
    // State of an upstream that announces itself at this entry.
    struct local_upstream
    {
        announcement last;
        time_point lastAnnouncedAt;
        bool leaderAcknowledged = false; // the leader has acknowledged the last announcement
        report_map reports; // last forwarded
    };

    struct pending_announcement
    {
        announcement announced;
        std::vector<announce_ticket> tickets;
    };

    // Content of one call, kept until it is answered.
    struct call_content
    {
        time_point sentAt;
        std::map<std::string, pending_announcement> announcements;
        std::set<std::string> alive;
        report_map reports;
    };

    bool mergeReports(local_upstream &target, std::vector<task_report> reports);
    void restore(call_content failedCall);
    void markAcknowledged(const call_content &sent);
    void applyView(const sync_response &answer, sync_effects &effects);
    void resetAcknowledged();
    void pruneLocal(time_point now);

    sync_identity identity_;
    std::map<std::string, local_upstream> localUpstreams_;
    call_content nextCall_;
    std::map<sync_call_id, call_content> openCalls_;
    bool urgent_ = false;
    std::uint64_t lastTicket_ = 0;
    std::uint64_t lastCall_ = 0;
    std::uint64_t highestEpoch_ = 0; // of any answer
    std::uint64_t viewEpoch_ = 0; // of the current view, 0: none
    std::uint64_t viewSequence_ = 0;
    std::map<std::string, std::uint64_t> viewUpstreams_; // id to incarnation
    std::map<std::string, std::vector<task_order>> orders_;
};

} // namespace persimmon::entry
