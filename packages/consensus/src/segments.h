#pragma once

#include "folder.h"
#include "log-file.h"

#include <map>

namespace persimmon::consensus::detail {

// Log and snapshot files of one folder; synchronous.
//
// Files: `log-N` segments, `snapshot`, `synced` (how much of the newest segment was durable;
// written without a sync, as a hint that exposes damage at the end), `format` (a log must exist)
// and `damaged` (state was lost; stays until a vote that is not rejoining is durable).
// A snapshot starts a new segment; a segment is removed once a snapshot covers all its entries.
class segment_log
{
public:
    explicit segment_log(std::string path);

    status lock() { return folder_.lock(); }
    result<stored_state> load();

    // Creates the first segment if there is none; to be called before the first write.
    status prepare();

    // Buffered until flush().
    void addVote(const vote_record &vote);
    void addEntry(const log_entry &entry);

    // Writes and syncs everything buffered.
    status flush();

    // Flushes, saves the snapshot and starts a new segment.
    status saveSnapshot(const snapshot_record &snapshot);

private:
    using segment_numbers = std::vector<std::uint64_t>;

    result<segment_numbers> listSegments() const;
    result<bool> readSegments(const segment_numbers &numbers, stored_state &state);
    result<bool> readSnapshot(stored_state &state) const;
    bool replay(const segment_content &content, std::uint64_t number, stored_state &state);
    bool syncedHintFits(std::uint64_t last, std::uint64_t validBytes) const;
    result<stored_state> setDamagedAside(const segment_numbers &numbers);
    status openNewest(std::uint64_t number, std::uint64_t validBytes);
    status createSegment(std::uint64_t number, const log_record *mark, std::uint64_t previousBytes);
    status removeCovered(log_index index);
    void add(const log_record &value);
    status writeBuffer();
    void writeSyncedHint();

    data_folder folder_;
    file_handle file_; // newest segment
    std::uint64_t number_ = 0; // of the newest segment; 0: none
    std::uint64_t written_ = 0; // bytes of the newest segment, without the buffer
    std::uint64_t synced_ = 0;
    byte_buffer buffer_;
    vote_record vote_;
    bool markedDamaged_ = false;
    std::map<std::uint64_t, log_index> lastIndexes_; // of each segment: highest entry in it
    file_handle hint_;
};

} // namespace persimmon::consensus::detail
