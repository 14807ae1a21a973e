#pragma once

#include "base/sync.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace persimmon::control {

// Upstreams and their orders, replicated to entries as a sequence of changes of one leader term.
// Every entry receives the orders of all upstreams, because an upstream that contacts an entry
// without its orders would stop its tasks.
//
// A change of an item replaces its earlier change, so the history has at most one change for each
// upstream and kind. Removed upstreams are kept as tombstones up to a bound.
class view
{
public:
    // Starts the partial view of a term. Entries merge it into the view of the earlier term.
    void reset(std::uint64_t epoch);

    // Marks the view as complete. Each entry then receives the full view once and removes all items
    // that are not in it.
    void markComplete();

    std::uint64_t epoch() const { return epoch_; }
    std::uint64_t sequence() const { return sequence_; }

    // Assigns a sequence to a change that is not of an upstream, such as slot shares.
    std::uint64_t advanceSequence() { return ++sequence_; }

    // Adds or replaces an upstream. The state Gone removes it. No effect if the announcement is
    // unchanged.
    void setUpstream(const announcement &value);

    // Replaces the orders of an upstream. No effect if they are unchanged.
    void setOrders(const std::string &upstream, std::vector<task_order> orders);

    // Returns whether the view has changes after the given state.
    bool hasChanges(std::uint64_t epoch, std::uint64_t sequence) const;

    // Adds the changes after the given state, or the full view if they are no longer available.
    void fill(sync_response &response, std::uint64_t epoch, std::uint64_t sequence) const;

private:
    enum class change_kind : std::uint8_t { Upstream, Orders };

    struct change
    {
        change_kind kind = change_kind::Upstream;
        std::string upstream;
    };

    struct item
    {
        announcement value;
        bool announced = false;
        std::vector<task_order> orders;
        std::uint64_t upstreamSequence = 0;
        std::uint64_t ordersSequence = 0;
    };

    void recordChange(std::uint64_t &last, change_kind kind, const std::string &upstream);
    void dropTombstones();
    bool needsFullView(std::uint64_t epoch, std::uint64_t sequence) const;
    void fillAll(sync_response &response) const;

    std::uint64_t epoch_ = 0;
    std::uint64_t sequence_ = 0;
    bool partial_ = true;
    std::uint64_t droppedUpTo_ = 0; // changes up to this sequence may have been dropped
    std::map<std::string, item> items_;
    std::map<std::uint64_t, change> changes_;
    std::map<std::uint64_t, std::string> tombstones_; // by sequence
};

} // namespace persimmon::control
