#pragma once

#include "base/sync.h"
#include "base/tables.h"
#include "random.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace persimmon::entry {

// Identifies one incarnation of an upstream process.
struct upstream_key
{
    std::string id;
    std::uint64_t incarnation = 0;

    friend bool operator==(const upstream_key &, const upstream_key &) = default;
};

// Effect of an attempt's end on the health of its upstream.
enum class attempt_health : std::uint8_t { Good, Bad, Neutral };

struct upstream_choice
{
    upstream_key key;
    std::string address;
};

// Upstreams with their limits, load and ejections. An upstream that is leaving is not chosen again
// in the same incarnation, even if later views list it as serving.
class upstream_table
{
public:
    // Assumed number of entries that share the slots and connections of an upstream when the leader
    // has granted no share (design page, 1.6).
    static constexpr std::uint32_t defaultEntryCount = 8;

    void setPools(std::span<const pool> pools);
    void applyView(std::span<const announcement> changes, bool fullView, time_point now);
    void markLeaving(const upstream_key &key, time_point now);
    // Replaces all shares granted by the leader.
    void setShares(std::span<const slot_share> shares);

    // Returns the less loaded of two random upstreams of the pool that have a free slot, if any.
    // The upstream to avoid (may be empty) is chosen only when no other has a free slot.
    std::optional<upstream_choice> choose(std::string_view pool, std::string_view avoid,
                                          time_point now, random_source &random) const;

    void attemptStarted(const upstream_key &key);
    // Records the end of an attempt; consecutive failures lead to an ejection.
    void attemptEnded(const upstream_key &key, attempt_health health, time_point now);

    // Returns the number of concurrent requests that this entry may send to the whole pool.
    std::uint32_t capacity(std::string_view pool, time_point now) const;
    std::uint32_t inFlight(std::string_view pool) const;
    // Returns the limit of one upstream, or 0 when it is unknown.
    std::uint32_t limit(std::string_view id) const;
    bool hasServing(std::string_view pool) const;
    std::uint64_t ejections() const { return ejections_; }

private:
    struct tracked_upstream
    {
        announcement announced;
        std::uint32_t inFlight = 0;
        std::uint32_t failures = 0; // consecutive
        std::uint32_t ejectionLevel = 0;
        time_point ejectedUntil;
    };

    struct leaving_mark
    {
        std::uint64_t incarnation = 0;
        time_point at;
    };

    using upstream_map = std::map<std::string, tracked_upstream, std::less<>>;

    void applyOne(const announcement &change);
    void removeMissing(std::span<const announcement> upstreams);
    void remove(upstream_map::iterator position);
    void pruneMarks(time_point now);
    void rebuildIndex();
    void eject(tracked_upstream &failing, time_point now);
    bool isServing(const tracked_upstream &candidate) const;
    bool isFree(const tracked_upstream &candidate, time_point now) const;
    std::uint32_t limitOf(const tracked_upstream &candidate) const;

    upstream_map upstreams_;
    std::map<std::string, pool, std::less<>> pools_;
    std::map<std::string, std::uint32_t, std::less<>> shares_;
    std::map<std::string, leaving_mark, std::less<>> leaving_;
    // Members of each pool; pointers into upstreams_ are valid until the element is erased.
    std::map<std::string, std::vector<const tracked_upstream *>, std::less<>> byPool_;
    std::uint64_t ejections_ = 0;
};

} // namespace persimmon::entry
