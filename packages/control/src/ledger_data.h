#pragma once

#include "control/commands.h"
#include "control/ledger.h"

#include <deque>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace persimmon::control {

struct job_entry
{
    job_id id {};
    std::string key;
    job_spec spec;
    job_state state = job_state::Waiting;
    std::uint32_t attempt = 0; // last granted
    std::uint64_t token = 0; // log index of the last grant
    std::vector<worker_grant> workers; // of the open attempt; empty if none is open
    bool released = false;
    bool cancelRequested = false;
    placement::attempt_end stopReason = placement::attempt_end::Completed;
    std::string stopWorker;
    milliseconds stopDeadline {0};
    std::vector<std::string> results;
    result_code code = result_code::Ok;
    wall_ms endedAt {0};
    std::uint64_t endIndex = 0; // log index of the command that ended the job; 0: not ended
    std::vector<decision_record> records;
};

struct intent_entry
{
    std::uint64_t digest = 0;
    std::string entryId;
    std::uint64_t entryIncarnation = 0;
    std::uint64_t attempt = 0; // log index of the command that reserved the dispatch
    bool open = true;
    request_outcome outcome = request_outcome::Unknown;
    answer stored;
    wall_ms endedAt {0};
    std::uint64_t endIndex = 0;
};

struct leaving_mark
{
    std::uint64_t incarnation = 0;
    std::uint64_t index = 0;
};

struct request_key_less
{
    bool operator()(const request_key &left, const request_key &right) const
    {
        return std::tie(left.workspace, left.key) < std::tie(right.workspace, right.key);
    }
};

using request_key_set = std::set<request_key, request_key_less>;

using entry_incarnation = std::pair<std::string, std::uint64_t>;

// Content of the ledger. The derived members are not in snapshots; a restore rebuilds them.
struct ledger_data
{
    wall_ms wall {0}; // latest wall-clock time of all commands applied
    tables current;
    std::deque<history_item> history;
    std::deque<std::pair<std::string, reply>> changes; // first answers by change id, oldest first
    std::map<job_id, job_entry> jobs;
    std::map<request_key, intent_entry, request_key_less> intents;
    std::map<std::string, leaving_mark> leaving;

    // Derived members.
    std::map<request_key, job_id, request_key_less> jobKeys;
    std::set<job_id> openJobs;
    std::map<std::uint64_t, job_id> endedJobs; // by endIndex
    std::map<std::uint64_t, request_key_set> closedIntents; // by endIndex
    std::map<entry_incarnation, request_key_set> openIntents;
    std::size_t storedBytes = 0; // total size of the bodies of stored answers
    std::map<std::uint64_t, std::string> leavingOrder; // by index

    const job_entry *find(job_id id) const;
    const reply *findChange(const std::string &changeId) const;
    bool isLeaving(const std::string &upstream, std::uint64_t incarnation) const;
    void rebuildDerived();
};

constexpr bool isTerminal(job_state state)
{
    return state >= job_state::Done;
}

// Returns the state, results and records of a job for callers and operators.
job_view toView(const job_entry &entry);

consensus::byte_buffer encodeSnapshot(const ledger_data &source);
result<ledger_data> decodeSnapshot(consensus::byte_view bytes);

} // namespace persimmon::control
