#pragma once

#include "base/clock.h"
#include "consensus/storage.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <vector>

// Simulated time and disks for tests.
namespace persimmon::consensus::testing {

// Discrete event simulation: runs functions at simulated times.
class event_simulation
{
public:
    explicit event_simulation(std::uint64_t seed)
        : random(seed)
    {
    }

    void after(std::chrono::microseconds delay, std::function<void()> action)
    {
        queue_.emplace(now + delay, std::move(action));
    }

    void advance(std::chrono::microseconds duration)
    {
        const auto end = now + duration;
        while (!queue_.empty() && queue_.begin()->first <= end) {
            auto next = queue_.extract(queue_.begin());
            now = next.key();
            next.mapped()();
        }
        now = end;
    }

    std::uint64_t below(std::uint64_t limit) { return random() % limit; }

    time_point now = time_point(std::chrono::hours(1));
    std::mt19937_64 random;

private:
    std::multimap<time_point, std::function<void()>> queue_;
};

// In-memory storage. A crash keeps all synced writes and a random prefix of the unsynced ones.
class memory_disk : public storage
{
public:
    explicit memory_disk(event_simulation &sim)
        : sim_(sim)
    {
        image.fresh = true;
    }

    result<stored_state> load() override { return image; }
    void saveVote(const vote_record &vote) override
    {
        write([vote](stored_state &to) {
            to.vote = vote;
            to.damaged = to.damaged && vote.rejoining;
        });
    }

    void append(std::span<const log_entry> entries) override
    {
        for (const auto &entry : entries) {
            write([entry](stored_state &to) {
                std::erase_if(to.entries, [&](const auto &e) { return e.index >= entry.index; });
                to.entries.push_back(entry);
            });
        }
    }

    void saveSnapshot(const snapshot_record &snapshot) override
    {
        write([snapshot](stored_state &to) {
            const auto at = std::ranges::find(to.entries, snapshot.index, &log_entry::index);
            const bool same = at != to.entries.end() && at->term == snapshot.term;
            to.snapshot = snapshot;
            std::erase_if(to.entries,
                          [&](const auto &e) { return !same || e.index <= snapshot.index; });
        });
    }

    void sync(std::function<void(status)> done) override
    {
        const auto upTo = written_;
        sim_.after(syncTime + std::chrono::microseconds(sim_.below(500)),
                   [this, upTo, done, epoch = epoch_] {
                       if (epoch != epoch_)
                           return;
                       persist(upTo);
                       done(failing ? status(error {result_code::StorageFailed, "disk", {}, {}})
                                    : status());
                   });
    }

    void crash()
    {
        ++epoch_;
        persist(persisted_ + sim_.below(written_ - persisted_ + 1));
        pending_.clear();
        persisted_ = written_;
    }

    // Loses all state. The next load() reports it as damaged, or as fresh like a replaced disk.
    void lose(bool damaged)
    {
        image = {};
        image.fresh = !damaged;
        image.damaged = damaged;
    }

    stored_state image; // persisted state
    std::chrono::microseconds syncTime {1000};
    bool failing = false;

private:
    void write(std::function<void(stored_state &)> change)
    {
        pending_.push_back(std::move(change));
        ++written_;
    }

    void persist(std::uint64_t upTo)
    {
        for (; persisted_ < upTo; ++persisted_) {
            pending_.front()(image);
            pending_.erase(pending_.begin());
            image.fresh = false;
        }
    }

    event_simulation &sim_;
    std::vector<std::function<void(stored_state &)>> pending_;
    std::uint64_t written_ = 0;
    std::uint64_t persisted_ = 0;
    std::uint64_t epoch_ = 0;
};

} // namespace persimmon::consensus::testing
