#pragma once

#include "consensus/storage.h"

#include <deque>
#include <optional>

namespace persimmon::consensus::detail {

// Entries of the log that are held in memory. The entry at base() is the last one dropped; its
// term stays known.
class memory_log
{
public:
    log_index base() const { return base_; }
    log_index last() const { return base_ + entries_.size(); }
    term_number lastTerm() const { return entries_.empty() ? baseTerm_ : entries_.back().term; }
    const log_entry &at(log_index index) const { return entries_[index - base_ - 1]; }

    // Returns nothing below the base and beyond the end.
    std::optional<term_number> termAt(log_index index) const
    {
        if (index < base_ || index > last())
            return std::nullopt;
        return index == base_ ? baseTerm_ : at(index).term;
    }

    // Returns the size of all payloads.
    std::uint64_t bytes() const { return bytes_; }

    void append(log_entry entry)
    {
        bytes_ += entry.payload.size();
        entries_.push_back(std::move(entry));
    }

    void truncateFrom(log_index index)
    {
        while (last() >= index && !entries_.empty()) {
            bytes_ -= entries_.back().payload.size();
            entries_.pop_back();
        }
    }

    // Drops the entries up to the given one, which must be held.
    void compactTo(log_index index)
    {
        while (base_ < index) {
            baseTerm_ = entries_.front().term;
            bytes_ -= entries_.front().payload.size();
            entries_.pop_front();
            ++base_;
        }
    }

    void reset(log_index base, term_number baseTerm)
    {
        entries_.clear();
        bytes_ = 0;
        base_ = base;
        baseTerm_ = baseTerm;
    }

private:
    log_index base_ = 0;
    term_number baseTerm_ = 0;
    std::uint64_t bytes_ = 0;
    std::deque<log_entry> entries_;
};

} // namespace persimmon::consensus::detail
