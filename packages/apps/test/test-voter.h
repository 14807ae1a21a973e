#pragma once

#include "apps/voter.h"

#include <utility>
#include <vector>

namespace persimmon::apps {

// Storage that discards all data; syncs complete with the outcome at the next completeSyncs().
class test_storage final : public consensus::storage
{
public:
    result<consensus::stored_state> load() override
    {
        consensus::stored_state state;
        state.fresh = true;
        return state;
    }

    void saveVote(const consensus::vote_record &) override { }
    void append(std::span<const consensus::log_entry>) override { }
    void saveSnapshot(const consensus::snapshot_record &) override { }
    void sync(std::function<void(status)> done) override { pending_.push_back(std::move(done)); }

    void completeSyncs()
    {
        for (auto &done : std::exchange(pending_, {}))
            done(outcome);
    }

    status outcome; // result of the following syncs

private:
    std::vector<std::function<void(status)>> pending_;
};

class test_transport final : public consensus::transport
{
public:
    void send(consensus::voter_id, consensus::byte_view) override { }
};

inline settings testSettings(std::uint32_t voterCount)
{
    settings values;
    values.instanceId = "control-1";
    values.voterId = 1;
    for (std::uint32_t id = 1; id <= voterCount; ++id)
        values.voters.push_back(
                {id, "127.0.0.1:700" + std::to_string(id), "127.0.0.1:710" + std::to_string(id)});
    return values;
}

inline std::vector<std::uint32_t> testVoters(std::uint32_t count)
{
    std::vector<std::uint32_t> ids;
    for (std::uint32_t id = 1; id <= count; ++id)
        ids.push_back(id);
    return ids;
}

// Voter 1 of a group, with time driven by the test. A single voter becomes leader; in a larger
// group it never reaches another voter.
struct test_voter
{
    explicit test_voter(std::uint32_t voterCount)
    {
        auto opened = voter::open(testSettings(voterCount), testVoters(voterCount), clock, files,
                                  network);
        member = std::move(valueOf(opened));
    }

    void runFor(milliseconds duration)
    {
        for (milliseconds spent {0}; spent < duration; spent += milliseconds {10}) {
            clock.advance(milliseconds {10});
            files.completeSyncs();
            member->tick();
        }
    }

    manual_timer_service clock;
    test_storage files;
    test_transport network;
    std::unique_ptr<voter> member;
};

} // namespace persimmon::apps
