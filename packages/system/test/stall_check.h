#pragma once

#include "standin_fleet.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace persimmon::system_test {

// Checks the users' rule LOST of jobs, and the bounds of ends and cancels, from what the stand-in
// workers and consumers see. Time is in milliseconds and is passed in by the test. Jobs have one
// step.
class stall_check
{
public:
    // Runs of a task that may end as failed before its job is given up.
    static constexpr int attempts = 3;

    explicit stall_check(const platform::standin_fleet &fleet)
        : fleet_(fleet)
    {
    }

    // Follows a job whose acceptance a consumer has received.
    void accept(const std::string &job, std::int64_t nowMs) { jobs_[job].acceptedMs = nowMs; }

    // No rule on starts holds for a job from the sending of its cancel on.
    void cancel(const std::string &job) { jobs_[job].cancelling = true; }
    void confirmCancel(const std::string &job, std::int64_t nowMs) { jobs_[job].goneMs = nowMs; }

    // Records a state that a consumer was shown for a request sent at sentMs. Empty: 410.
    void show(const std::string &job, const std::string &state, std::int64_t sentMs);

    // Tells that a fault is active.
    void disturb(std::int64_t nowMs) { disturbedMs_ = nowMs; }

    // Looks at the workers, which the test does a few times a second at least.
    void update(std::int64_t nowMs);

    // Returns whether the workers have no work left for the job.
    bool hasEnded(const std::string &job) const;

    bool isRunning(const std::string &job) const { return surveyOf(job).running; }

    // Returns the longest time in milliseconds for which a job has stood still beside room while it
    // was calm.
    std::int64_t longestStallMs() const { return longestStallMs_; }

    // Returns the violations so far, each with the longest time seen.
    std::vector<std::string> violations() const;

private:
    struct followed_job
    {
        std::int64_t acceptedMs = 0;
        std::int64_t stallSinceMs = -1; // nothing runs beside room, but something should
        std::int64_t endSinceMs = -1; // nothing is left to run
        std::int64_t goneMs = -1; // its cancel was confirmed
        bool cancelling = false;
        bool shownEnd = false;
    };

    // What the workers show of a job.
    struct survey
    {
        bool running = false;
        bool gaveUp = false; // a task has failed as often as it may
        std::string waiting; // first task that hasn't ended as done
        bool unsettled = false;
    };

    survey surveyOf(const std::string &job) const;
    std::int64_t roomFor(const platform::standin_job &job) const;
    std::int64_t calmFor(std::int64_t sinceMs, std::int64_t nowMs) const;
    void updateJob(const std::string &id, followed_job &job, std::int64_t nowMs);
    void checkStall(const std::string &id, const followed_job &job, const survey &found,
                    std::int64_t nowMs);

    const platform::standin_fleet &fleet_;
    std::map<std::string, followed_job> jobs_;
    std::map<std::string, std::string> violations_; // by kind and job
    std::int64_t disturbedMs_ = 0;
    std::int64_t longestStallMs_ = 0;
};

} // namespace persimmon::system_test
