#pragma once

#include "consensus/storage.h"

#include <optional>
#include <string>

namespace persimmon::consensus::detail {

enum class record_kind : std::uint8_t {
    Header, // first record of a segment: the vote at its start; the index field holds the synced
            // bytes of the segment before
    Vote,
    Entry, // replaces entries at or after its index
    Snapshot, // position of a snapshot that was saved before
    Seal, // last record: another segment follows
};

struct log_record
{
    record_kind kind = record_kind::Header;
    vote_record vote;
    log_entry entry; // Snapshot: index and term only
};

// What a segment file holds.
struct segment_content
{
    std::vector<log_record> records;
    std::uint64_t validBytes = 0; // end of the last valid record
    bool torn = false; // bytes follow that were never synced
    bool damaged = false; // synced bytes are missing or changed
};

// Appends the encoded record to the buffer. The checksum covers the segment number and the offset
// in the file, so that a misplaced record is not taken for a valid one. syncedBytes tells how much
// of the file was durable when the record was written: a bad record below that mark was synced
// once and is damage, any other one is a torn tail.
void encodeRecord(byte_buffer &buffer, std::uint64_t segment, std::uint64_t offset,
                  std::uint64_t syncedBytes, const log_record &value);

segment_content parseSegment(byte_view bytes, std::uint64_t segment);

// Snapshot file.
byte_buffer encodeSnapshot(const snapshot_record &value);
std::optional<snapshot_record> decodeSnapshot(byte_view bytes);

} // namespace persimmon::consensus::detail
