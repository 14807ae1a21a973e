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

// State change of a task; tests use it to check gangs and attempts.
struct task_event
{
    time_point at;
    task_ref task;
    std::string change; // prepared, running, checkpointed, stopped, done, failed, lease_expired
};

// Task order with the lease granted for it.
struct leased_order
{
    task_order order;
    milliseconds lease {0};
};

// Tasks of one stand-in worker: executes orders, enforces leases and reports task states. It reads
// no clock; the caller passes the time.
class task_host
{
public:
    explicit task_host(const task_behaviour &behaviour)
        : behaviour_(behaviour)
    {
    }

    // Applies the full list of orders from the answer to an announcement. A task that is not listed
    // is stopped and removed; an order with a token older than the newest of its job is ignored.
    void applyOrders(time_point now, std::span<const leased_order> orders);

    // Finishes steps that are due and stops tasks whose lease has expired.
    void tick(time_point now);

    // Returns the task reports for the next announcement.
    std::vector<task_report> reports() const;

    // Returns whether a task is neither running nor in a terminal state. The next announcement is
    // then sent earlier.
    bool hasPendingTask() const;

    const std::vector<task_event> &events() const { return events_; }
    std::size_t runningCount() const;
    task_behaviour &behaviour() { return behaviour_; }

private:
    struct hosted_task
    {
        task_order order;
        task_state state = task_state::Stopped;
        bool prepared = false;
        time_point stepEnd; // end of preparation, run or checkpoint
        time_point leaseExpiry;
        std::string result;
    };

    void addTask(time_point now, const leased_order &leased);
    void updateTask(time_point now, hosted_task &task, const leased_order &leased);
    void changeState(time_point now, hosted_task &task, task_state state, std::string_view change);
    static bool isTerminal(const hosted_task &task);

    task_behaviour behaviour_;
    std::map<task_ref, hosted_task> tasks_;
    std::map<job_id, std::uint64_t> newestToken_;
    std::vector<task_event> events_;
};

} // namespace persimmon::tools
