#pragma once

#include "base/result.h"
#include "consensus/state_machine.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace persimmon::consensus {

enum class entry_kind : std::uint8_t { Command, Membership, Barrier };

// One entry of the replicated log.
struct log_entry
{
    log_index index = 0;
    term_number term = 0;
    entry_kind kind = entry_kind::Command;
    byte_buffer payload;

    friend bool operator==(const log_entry &, const log_entry &) = default;
};

// Term and vote of a node; must be durable before a message that relies on them is sent.
struct vote_record
{
    term_number term = 0;
    voter_id votedFor = 0;
    std::uint64_t disk = 0; // disk identity, generated when the node finds no usable log
    bool rejoining = false; // the disk may have lost state: no votes until the leader admits it

    friend bool operator==(const vote_record &, const vote_record &) = default;
};

// Snapshot of the state machine with the last index, term and membership it covers.
struct snapshot_record
{
    log_index index = 0;
    term_number term = 0;
    std::vector<voter_id> voters;
    byte_buffer state;

    friend bool operator==(const snapshot_record &, const snapshot_record &) = default;
};

// State loaded from storage at start-up.
struct stored_state
{
    bool fresh = false; // the folder never held a log
    // A file is missing or failed its checksum; the node rejoins as a learner. Stays set across
    // restarts until a vote with rejoining == false is saved.
    bool damaged = false;
    vote_record vote;
    snapshot_record snapshot; // index 0: none
    std::vector<log_entry> entries;
};

// Durable storage of one node. Writes are queued; a write is durable once a sync() called after it
// has completed successfully. Completions run on the thread that owns the node.
class storage
{
public:
    virtual ~storage() = default;

    // Reads all files and truncates a torn tail of the log. Fails with StorageFailed.
    virtual result<stored_state> load() = 0;

    virtual void saveVote(const vote_record &vote) = 0;

    // Appends entries after dropping stored entries at or after the first index.
    virtual void append(std::span<const log_entry> entries) = 0;

    // Replaces the snapshot and drops the log entries it covers. Drops all entries if the entry at
    // the index of the snapshot has a different term.
    virtual void saveSnapshot(const snapshot_record &snapshot) = 0;

    // Makes all earlier writes durable. Several calls may share one sync (group commit).
    virtual void sync(std::function<void(status)> done) = 0;
};

// Runs a function on the thread that owns the node.
using post_function = std::function<void(std::function<void()>)>;

// Opens the files in a data folder and creates the folder if necessary. Writes and syncs run on one
// thread of the storage. Fails with StorageFailed, also if another process has locked the folder.
result<std::unique_ptr<storage>> openFileStorage(const std::string &folder, post_function post);

} // namespace persimmon::consensus
