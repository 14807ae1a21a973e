#pragma once

#include "consensus/storage.h"

#include <optional>
#include <string>

namespace persimmon::consensus::detail {

enum class record_kind : std::uint8_t {
    SegmentHeader, // first record of a segment: the vote at that time; the index field holds the
                   // number of synced bytes of the previous segment
    Vote,
    Entry, // replaces stored entries at or after its index
    Snapshot, // index and term of a snapshot that is already saved
    Seal, // last record of a segment that has a successor
};

struct log_record
{
    record_kind kind = record_kind::SegmentHeader;
    vote_record vote;
    log_entry entry; // in a Snapshot record, index and term only
};

// Parsed content of a segment file.
struct segment_content
{
    std::vector<log_record> records;
    std::uint64_t validBytes = 0; // end of the last valid record
    bool torn = false; // the file ends with unsynced bytes that are not a valid record
    bool damaged = false; // synced bytes are missing or corrupt
};

// Appends the encoded record to the buffer. The checksum covers the segment number and the file
// offset, so that a misplaced record is invalid. syncedBytes is the number of durable bytes of the
// file when the record was written: an invalid record below that offset had been synced and is
// damage, any other invalid record is a torn tail.
void encodeRecord(byte_buffer &buffer, std::uint64_t segment, std::uint64_t offset,
                  std::uint64_t syncedBytes, const log_record &value);

segment_content parseSegment(byte_view bytes, std::uint64_t segment);

// Content of a snapshot file.
byte_buffer encodeSnapshot(const snapshot_record &value);
std::optional<snapshot_record> decodeSnapshot(byte_view bytes);

} // namespace persimmon::consensus::detail
