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

// One run of an upstream process.
struct upstream_key
{
    std::string id;
    std::uint64_t incarnation = 0;

    friend bool operator==(const upstream_key &, const upstream_key &) = default;
};

// What the end of an attempt says about the health of its upstream.
enum class attempt_health : std::uint8_t { Good, Bad, Neutral };

struct upstream_choice
{
    upstream_key key;
    std::string address;
};

// Upstreams with their limits, load and ejections. An upstream that is leaving is never chosen
// again in the same incarnation, whatever later views say.
class upstream_table
{
public:
    // Number of entries that share the slots and connections of an upstream when the leader has
    // granted no share (design page, 1.6).
    static constexpr std::uint32_t entries = 8;

    void setPools(std::span<const pool> pools);
    void applyView(std::span<const announcement> changes, bool fullView, time_point now);
    void markLeaving(const upstream_key &key, time_point now);
    // Replaces all shares granted by the leader.
    void setShares(std::span<const slot_share> shares);

    // Returns the less loaded of two random upstreams of the pool that have a free slot, if any.
    // The avoided upstream (may be empty) is chosen only when no other is free.
    std::optional<upstream_choice> choose(std::string_view pool, std::string_view avoid,
                                          time_point now, random_source &random) const;

    void started(const upstream_key &key);
    // Records the end of an attempt; bad ends in a row lead to an ejection.
    void ended(const upstream_key &key, attempt_health health, time_point now);

    // Concurrent requests that this entry may have at all upstreams of the pool together.
    std::uint32_t capacity(std::string_view pool, time_point now) const;
    std::uint32_t inFlight(std::string_view pool) const;
    // Limit of one upstream, 0 when unknown.
    std::uint32_t limit(std::string_view id) const;
    bool hasServing(std::string_view pool) const;
    std::uint64_t ejections() const { return ejections_; }

private:
    struct item
    {
        announcement announced;
        std::uint32_t inFlight = 0;
        std::uint32_t failures = 0; // in a row
        std::uint32_t ejectionLevel = 0;
        time_point ejectedUntil;
    };

    struct leaving_mark
    {
        std::uint64_t incarnation = 0;
        time_point at;
    };

    using item_map = std::map<std::string, item, std::less<>>;

    void applyOne(const announcement &change);
    void removeMissing(std::span<const announcement> upstreams);
    void remove(item_map::iterator position);
    void pruneMarks(time_point now);
    void rebuildIndex();
    void eject(item &failing, time_point now);
    bool isServing(const item &candidate) const;
    bool isFree(const item &candidate, time_point now) const;
    std::uint32_t limitOf(const item &candidate) const;

    item_map items_;
    std::map<std::string, pool, std::less<>> pools_;
    std::map<std::string, std::uint32_t, std::less<>> shares_;
    std::map<std::string, leaving_mark, std::less<>> leaving_;
    // Members of each pool; pointers into items_ stay valid until the item is erased.
    std::map<std::string, std::vector<const item *>, std::less<>> byPool_;
    std::uint64_t ejections_ = 0;
};

} // namespace persimmon::entry
