#pragma once

#include "base/clock.h"
#include "base/model.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace persimmon::tools {

// How the tasks of a stand-in worker behave.
struct task_behaviour
{
    milliseconds prepareTime {0};
    milliseconds runTime {1000};
    milliseconds checkpointTime {50};
    bool failTasks = false; // every task fails as soon as it runs
};

// One observed change of a task, for checks of gangs and attempts.
struct task_event
{
    time_point at;
    task_ref task;
    std::string what; // prepared, running, checkpointed, stopped, done, failed, lease_expired
};

// Order as received, with its lease.
struct leased_order
{
    task_order order;
    milliseconds lease {0};
};

// Tasks of one stand-in worker: follows orders, keeps leases, reports states. A pure state machine;
// time comes from the caller.
class task_host
{
public:
    explicit task_host(const task_behaviour &behaviour)
        : behaviour_(behaviour)
    {
    }

    // Applies the full list of orders of an announcement answer. A task that is not listed is
    // stopped and dropped; an order with an older token than the newest of its job is ignored.
    void applyOrders(time_point now, std::span<const leased_order> orders);

    // Moves tasks along and stops tasks whose lease has expired.
    void tick(time_point now);

    // Reports for the next announcement.
    std::vector<task_report> reports() const;

    // True while a task is on its way to another state, so that the next announcement is soon.
    bool busy() const;

    const std::vector<task_event> &events() const { return events_; }
    std::size_t runningCount() const;
    task_behaviour &behaviour() { return behaviour_; }

private:
    struct hosted_task
    {
        task_order order;
        task_state state = task_state::Stopped;
        bool prepared = false;
        time_point ready; // when the current step is finished
        time_point leaseEnd;
        std::string result;
    };

    void start(time_point now, const leased_order &leased);
    void follow(time_point now, hosted_task &task, const leased_order &leased);
    void record(time_point now, hosted_task &task, task_state state, std::string_view what);
    static bool isOver(const hosted_task &task);

    task_behaviour behaviour_;
    std::map<task_ref, hosted_task> tasks_;
    std::map<job_id, std::uint64_t> newestToken_;
    std::vector<task_event> events_;
};

} // namespace persimmon::tools
