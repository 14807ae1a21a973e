#pragma once

#include "placement/scheduler.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmon::placement::test {

// Reference model of a scheduler. Keeps plain lists of workers and jobs, checks every action
// against them, and collects failures as text.
class oracle
{
public:
    explicit oracle(const scheduler_options &options);

    // Sends an event to two schedulers and checks that their actions are equal and valid.
    void send(const event &input);
    // Advances the time and sends ticks, so that the scheduler completes deferred work.
    void wait(milliseconds time);
    // Checks the invariants that hold when the scheduler has no deferred work.
    void checkQuiet(bool reservations);

    // Lets all workers rejoin, removes all guarantees and checks that every job ends.
    void drain();

    enum class progress : std::uint8_t { Waiting, Running, Stopping, Ended };

    struct job
    {
        job_spec spec;
        progress state = progress::Waiting;
        std::uint32_t attempt = 0;
        std::vector<std::string> workers;
        wait_reason reason = wait_reason::None;
        bool failed = false; // at least once; the job then avoids some workers
        bool released = false;
    };

    struct worker
    {
        location place;
        resources capacity;
        bool present = false;
        bool leaving = false;
        bool suspect = false;
        bool healthy() const { return present && !leaving && !suspect; }
    };

    std::map<std::uint64_t, job> jobs;
    std::map<std::string, worker> workers;
    tables_changed tables;
    std::vector<std::string> failures;

    // Returns whether all guarantees can be bound at the same time without moving jobs that are not
    // repeatable.
    bool bindable() const;
    status validate(const tables_changed &next) const;

private:
    struct amounts
    {
        std::int64_t accelerators = 0;
        std::int64_t cores = 0;
    };
    using usage = std::map<std::string, std::map<std::string, amounts>>; // worker, workspace

    void apply(const event &input);
    void check(const action &item);
    void place(const place_job &placed);
    void checkGuarantees(const std::vector<action> &actions);
    void expect(bool holds, const std::string &text);
    bool bindFrom(std::size_t cell, usage &bound, const usage &fixed) const;
    bool bindRows(std::size_t cell, std::uint32_t row, const std::string &from, usage &bound,
                  const usage &fixed) const;
    bool covers(usage &bound) const;
    bool holds(const std::string &name, const usage &bound, const usage &fixed) const;
    std::int64_t freeOf(const std::string &name, bool cores) const;
    std::int64_t slotsIn(const std::string &region, const job_spec &spec) const;
    bool withinGuarantee(const job &item) const;

    std::unique_ptr<scheduler> core_;
    std::unique_ptr<scheduler> replica_;
    time_point now_ {std::chrono::seconds(1)};
    mutable usage covered_; // jobs inside cells in the current search
    std::vector<std::pair<std::string, shape>> cells_; // workspace and block
};

// Returns the text of an action for comparisons and messages.
std::string toText(const action &item);

} // namespace persimmon::placement::test
