#pragma once

#include "consensus/storage.h"

#include <deque>
#include <optional>

namespace persimmon::consensus::detail {

// In-memory part of the log. base() is the index of the last dropped entry, whose term is kept.
class memory_log
{
public:
    log_index base() const { return base_; }
    log_index last() const { return base_ + entries_.size(); }
    term_number lastTerm() const { return entries_.empty() ? baseTerm_ : entries_.back().term; }
    const log_entry &at(log_index index) const { return entries_[index - base_ - 1]; }

    // Returns nullopt for an index below base() or above last().
    std::optional<term_number> termAt(log_index index) const
    {
        if (index < base_ || index > last())
            return std::nullopt;
        return index == base_ ? baseTerm_ : at(index).term;
    }

    // Returns the total size of the payloads.
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

    // Drops the entries up to and including the index, which must not exceed last().
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
