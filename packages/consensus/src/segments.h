#pragma once

#include "folder.h"
#include "log-file.h"

#include <map>

namespace persimmon::consensus::detail {

// Synchronous log and snapshot files in one folder.
//
// Files: `log-N` (segments), `snapshot`, `synced` (number of durable bytes of the newest segment; a
// hint, written without a sync, that exposes damage at the end of the log), `format` (present if a
// log must exist) and `damaged` (state was lost; kept until a vote with rejoining == false is
// durable). Each snapshot starts a new segment. A segment is removed once a snapshot covers all its
// entries.
class segment_log
{
public:
    explicit segment_log(std::string path);

    status lock() { return folder_.lock(); }
    result<stored_state> load();

    // Creates the first segment if there is none; to be called before the first write.
    status ensureSegment();

    // Append to the buffer, which flush() writes.
    void appendVote(const vote_record &vote);
    void appendEntry(const log_entry &entry);

    // Writes and syncs the buffer.
    status flush();

    // Flushes, saves the snapshot and starts a new segment.
    status saveSnapshot(const snapshot_record &snapshot);

private:
    using segment_numbers = std::vector<std::uint64_t>;

    result<segment_numbers> listSegments() const;
    result<bool> readSegments(const segment_numbers &numbers, stored_state &state);
    result<bool> readSnapshot(stored_state &state) const;
    bool replay(const segment_content &content, std::uint64_t number, stored_state &state);
    bool matchesSyncedHint(std::uint64_t last, std::uint64_t validBytes) const;
    result<stored_state> renameDamagedFiles(const segment_numbers &numbers);
    status openNewestSegment(std::uint64_t number, std::uint64_t validBytes);
    status createSegment(std::uint64_t number, const log_record *snapshotPosition,
                         std::uint64_t previousBytes);
    status removeCovered(log_index index);
    void appendRecord(const log_record &value);
    status writeBuffer();
    void writeSyncedHint();

    data_folder folder_;
    file_handle segmentFile_; // newest segment
    std::uint64_t segmentNumber_ = 0; // number of the newest segment; 0: none
    std::uint64_t writtenBytes_ = 0; // size of the newest segment, without the buffer
    std::uint64_t syncedBytes_ = 0;
    byte_buffer buffer_;
    vote_record vote_;
    bool markedDamaged_ = false;
    std::map<std::uint64_t, log_index> lastIndexes_; // segment -> highest entry index in it
    file_handle hintFile_;
};

} // namespace persimmon::consensus::detail
