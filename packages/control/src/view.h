#pragma once

#include "base/sync.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace persimmon::control {

// What entries hold: upstreams with their orders, as a sequence of changes of one leader term.
// Every entry gets the orders of all upstreams, because an upstream that turns to an entry without
// its orders would stop its tasks.
//
// A change of an item replaces its earlier change, so the history is at most one change for each
// upstream and kind; removed upstreams stay as tombstones up to a bound.
class view
{
public:
    // Starts the partial view of a term: entries keep what they hold of an earlier term.
    void reset(std::uint64_t epoch);

    // The view is whole from now on; each entry gets it once and drops what it holds beyond it.
    void complete();

    std::uint64_t epoch() const { return epoch_; }
    std::uint64_t sequence() const { return sequence_; }

    // Marks a change that is not an upstream's, such as a slot share. Returns its sequence.
    std::uint64_t bump() { return ++sequence_; }

    // Adds or replaces an upstream; the state Gone removes it. Equal announcements are no change.
    void setUpstream(const announcement &value);

    // Replaces the orders of an upstream. Equal orders are no change.
    void setOrders(const std::string &upstream, std::vector<task_order> orders);

    // True when an entry that holds the given state of the view lacks a change.
    bool hasNews(std::uint64_t epoch, std::uint64_t sequence) const;

    // Adds the changes after the given state, or the whole view when they are not known.
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

    void record(std::uint64_t &last, change_kind kind, const std::string &upstream);
    void dropTombstones();
    bool isBehind(std::uint64_t epoch, std::uint64_t sequence) const;
    void fillAll(sync_response &response) const;

    std::uint64_t epoch_ = 0;
    std::uint64_t sequence_ = 0;
    bool partial_ = true;
    std::uint64_t floor_ = 0; // changes up to here may have been dropped
    std::map<std::string, item> items_;
    std::map<std::uint64_t, change> changes_;
    std::map<std::uint64_t, std::string> tombstones_; // by sequence
};

} // namespace persimmon::control
