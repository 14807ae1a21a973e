#pragma once

#include "consensus/storage.h"

#include <optional>

namespace persimmon::consensus::detail {

enum class message_kind : std::uint8_t {
    VoteRequest,
    VoteReply,
    Append,
    AppendReply,
    Snapshot, // one chunk of a snapshot
    SnapshotReply,
    TimeoutNow, // makes the receiver start an election immediately (leadership transfer)
    Probe, // queries whether the receiver is uninitialized, see core::isUninitialized()
    ProbeReply,
    Admit, // ends the rejoining state of the receiver
};

// Message between two nodes. Fields not used by a message kind are zero.
struct message
{
    message_kind kind = message_kind::VoteRequest;
    voter_id from = 0;
    voter_id to = 0;
    term_number term = 0; // term of the sender; in a pre-vote, the term of the intended election
    log_index index = 0; // VoteRequest: last entry; Append: entry before the first one sent;
                         // AppendReply: last durable matching entry, or the previous entry of the
                         // rejected Append
    term_number logTerm = 0; // term of the entry at index
    log_index commit = 0;
    log_index hint = 0; // rejected Append: highest index that may match
    std::uint64_t stamp = 0; // send time of the leader in microseconds, echoed in the reply
    std::uint64_t disk = 0; // vote_record::disk of the sender; in Probe, ProbeReply and Admit, of
                            // the rejoining node
    bool preVote = false;
    bool granted = false;
    bool transfer = false; // election requested by the leader for a leadership transfer
    bool rejoining = false;
    std::uint64_t offset = 0; // Snapshot: offset of the chunk; SnapshotReply: of the next chunk
    std::uint64_t total = 0; // size of the snapshot in bytes
    byte_buffer data;
    std::vector<voter_id> voters; // membership of a snapshot
    std::vector<log_entry> entries;

    friend bool operator==(const message &, const message &) = default;
};

byte_buffer encode(const message &value);

// Returns nullopt for malformed input.
std::optional<message> decode(byte_view bytes);

// Payload of a Membership entry.
byte_buffer encodeVoters(const std::vector<voter_id> &voters);
std::vector<voter_id> decodeVoters(byte_view payload);

} // namespace persimmon::consensus::detail
