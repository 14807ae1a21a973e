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

// Identifies an announcement that waits until the leader has answered for it.
enum class announce_ticket : std::uint64_t {};

enum class sync_call_id : std::uint64_t {};

// Order of tasks; see request_key_less.
struct task_ref_less
{
    bool operator()(const task_ref &left, const task_ref &right) const
    {
        return std::tie(left.job, left.attempt, left.index, left.token)
                < std::tie(right.job, right.attempt, right.index, right.token);
    }
};

using report_map = std::map<task_ref, task_report, task_ref_less>;

// How an announcement is handled.
struct announce_outcome
{
    bool urgent = false; // the leader must hear of it now
    std::optional<announce_ticket> ticket; // answer only after this is acknowledged
};

// What an answer of the leader changes.
struct sync_effects
{
    std::optional<error> failure; // nothing else is set
    bool outdated = false; // of an older term, or reordered; nothing else is set
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

// State of the calls to the leader: what it has to be told, which calls are under way, and the view
// that it has sent. Deterministic; makes no calls itself.
class sync_state
{
public:
    explicit sync_state(sync_identity identity);

    // Folds an announcement and its reports into the next call. Fails with InvalidValue when a
    // later incarnation has announced itself.
    result<announce_outcome> announce(time_point now, const announcement &news,
                                      std::vector<task_report> reports);

    // Builds the request of the next call and notes it as under way.
    std::pair<sync_call_id, sync_request> begin(time_point now, milliseconds wait);

    // Takes the answer of a call. What a failed call carried is told again by the next one.
    sync_effects complete(time_point now, sync_call_id call, const result<sync_response> &answer);

    // Orders of an upstream as seen by the leader; nothing when it does not know the incarnation.
    std::optional<std::vector<task_order>> ordersOf(const std::string &upstream,
                                                    std::uint64_t incarnation) const;

    bool hasUrgent() const { return urgent_; }
    bool hasView() const { return viewEpoch_ != 0; }

    // Set before begin(): content of the request that other parts own.
    std::uint64_t appliedVersion = 0;
    std::vector<pool_demand> demand;
    bool stopping = false;

private:
    // What this entry knows about an upstream that announces itself here.
    struct local_upstream
    {
        announcement last;
        time_point seenAt;
        bool toldLeader = false; // the last announcement has been answered by the leader
        report_map reports; // last forwarded
    };

    struct pending_announcement
    {
        announcement news;
        std::vector<announce_ticket> tickets;
    };

    // Content of one call, kept until its answer.
    struct batch
    {
        time_point sentAt;
        std::map<std::string, pending_announcement> announcements;
        std::set<std::string> alive;
        report_map reports;
    };

    bool foldReports(local_upstream &target, std::vector<task_report> reports);
    void restore(batch lost);
    void markTold(const batch &sent);
    void applyView(const sync_response &answer, sync_effects &effects);
    void forgetTold();
    void pruneLocal(time_point now);

    sync_identity identity_;
    std::map<std::string, local_upstream> local_;
    batch next_;
    std::map<sync_call_id, batch> calls_;
    bool urgent_ = false;
    std::uint64_t lastTicket_ = 0;
    std::uint64_t lastCall_ = 0;
    std::uint64_t highestEpoch_ = 0; // of any answer
    std::uint64_t viewEpoch_ = 0; // of the view held, 0: none
    std::uint64_t viewSequence_ = 0;
    std::map<std::string, std::uint64_t> viewUpstreams_; // id to incarnation
    std::map<std::string, std::vector<task_order>> orders_;
};

} // namespace persimmon::entry
