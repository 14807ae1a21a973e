#pragma once

#include "consensus/storage.h"

#include <optional>

namespace persimmon::consensus::detail {

enum class message_kind : std::uint8_t {
    VoteRequest,
    VoteReply,
    Append,
    AppendReply,
    Snapshot, // one chunk
    SnapshotReply,
    TimeoutNow, // the receiver stands for election at once (leadership transfer)
    Probe, // asks whether the receiver has ever voted or stored an entry
    ProbeReply,
    Admit, // ends the rejoining state of the receiver
};

// Message between two nodes. Fields that a kind does not use stay zero.
struct message
{
    message_kind kind = message_kind::VoteRequest;
    voter_id from = 0;
    voter_id to = 0;
    term_number term = 0; // of the sender; in a pre-vote, the term it would stand in
    log_index index = 0; // VoteRequest: last entry; Append: entry before the first one sent;
                         // AppendReply: last durable matching entry, or the refused previous entry
    term_number logTerm = 0; // term of the entry at index
    log_index commit = 0;
    log_index hint = 0; // refused Append: highest index that may match
    std::uint64_t stamp = 0; // leader's send time in microseconds, echoed by the reply
    std::uint64_t disk = 0; // vote_record::disk of the sender; Probe and Admit: of the rejoiner
    bool preVote = false;
    bool granted = false;
    bool transfer = false; // the old leader asked for this election
    bool rejoining = false;
    std::uint64_t offset = 0; // Snapshot: of this chunk; SnapshotReply: of the next one
    std::uint64_t total = 0;
    byte_buffer data;
    std::vector<voter_id> voters; // membership of a snapshot
    std::vector<log_entry> entries;

    friend bool operator==(const message &, const message &) = default;
};

byte_buffer encode(const message &value);

// Returns nothing for malformed bytes.
std::optional<message> decode(byte_view bytes);

// Payload of a Membership entry.
byte_buffer encodeVoters(const std::vector<voter_id> &voters);
std::vector<voter_id> decodeVoters(byte_view payload);

} // namespace persimmon::consensus::detail
