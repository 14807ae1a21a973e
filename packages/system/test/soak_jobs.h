#pragma once

#include "batch_system.h"
#include "stall_check.h"

#include <algorithm>
#include <future>
#include <random>

namespace persimmon::system_test {

// Random numbers of a soak.
class random_source
{
public:
    explicit random_source(unsigned seed)
        : random_(seed)
    {
    }

    std::int64_t draw(std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
    }
    bool oneIn(std::int64_t count) { return draw(1, count) == 1; }

private:
    std::mt19937 random_;
};

// Jobs of all kinds that a soak submits, asks for and cancels, without waiting for the answers. A
// call without a clear answer is sent again.
class soaked_jobs
{
public:
    soaked_jobs(batch_system &system, platform::standin_fleet &fleet, random_source &random)
        : system_(system)
        , fleet_(fleet)
        , random_(random)
        , check_(fleet)
    {
    }

    // Applies queues of three priorities, and tenants of which one has a reservation.
    bool configure();

    // Submits one job of a random kind.
    void submitOne();

    // Advances the calls, and the check of what the workers show.
    void step();

    // Returns whether all accepted jobs have ended and no cancelled one runs.
    bool allEnded() const;

    // Returns what broke a rule, and what isn't done, each on a line.
    std::string findings();

    stall_check &check() { return check_; }
    const stall_check &check() const { return check_; }
    int accepted() const;

private:
    enum class stage : std::uint8_t { Submitting, Open, Cancelling, Ended, Refused };

    struct soaked_job
    {
        std::string path;
        std::string body;
        std::string key;
        stage now = stage::Submitting;
        bool rejectedOnly = true; // no answer yet that leaves the acceptance open
        std::int64_t cancelMs = -1;
        std::int64_t nextCallMs = 0;
        std::int64_t sentMs = 0;
        std::future<http_response> call;
    };

    platform::standin_job shapeOf(std::int64_t kind);
    void stepJob(const std::string &id, soaked_job &job);
    void send(soaked_job &job);
    void receive(const std::string &id, soaked_job &job, const http_response &answer);
    void receiveState(const std::string &id, soaked_job &job, const http_response &answer);

    batch_system &system_;
    platform::standin_fleet &fleet_;
    random_source &random_;
    stall_check check_;
    std::map<std::string, soaked_job> jobs_;
    int submitted_ = 0;
};

} // namespace persimmon::system_test
