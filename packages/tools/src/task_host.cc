#include "tools/task_host.h"

#include <algorithm>

namespace persimmon::tools {

void task_host::applyOrders(time_point now, std::span<const leased_order> orders)
{
    for (const auto &leased : orders) {
        auto &newestToken = newestToken_[leased.order.task.job];
        if (leased.order.task.token < newestToken)
            continue;
        newestToken = leased.order.task.token;
        const auto found = tasks_.find(leased.order.task);
        if (found == tasks_.end())
            addTask(now, leased);
        else
            updateTask(now, found->second, leased);
    }
    const auto isListed = [orders](const task_ref &task) {
        return std::ranges::any_of(
                orders, [&](const leased_order &item) { return item.order.task == task; });
    };
    for (auto item = tasks_.begin(); item != tasks_.end();) {
        if (isListed(item->first)) {
            ++item;
            continue;
        }
        if (!isTerminal(item->second))
            changeState(now, item->second, task_state::Stopped, "stopped");
        item = tasks_.erase(item);
    }
}

void task_host::tick(time_point now)
{
    for (auto &[ref, task] : tasks_) {
        if (isTerminal(task))
            continue;
        if (now >= task.leaseExpiry) {
            changeState(now, task, task_state::Stopped, "lease_expired");
            continue;
        }
        if (now < task.stepEnd)
            continue;
        if (task.order.action == task_action::Prepare && !task.prepared) {
            task.prepared = true;
            changeState(now, task, task_state::Prepared, "prepared");
        } else if (task.order.action == task_action::Checkpoint) {
            changeState(now, task, task_state::Checkpointed, "checkpointed");
        } else if (task.state == task_state::Running) {
            task.result = "result of task " + std::to_string(ref.index) + " attempt "
                    + std::to_string(ref.attempt);
            changeState(now, task, behaviour_.failTasks ? task_state::Failed : task_state::Done,
                        behaviour_.failTasks ? "failed" : "done");
        }
    }
}

std::vector<task_report> task_host::reports() const
{
    std::vector<task_report> list;
    for (const auto &[ref, task] : tasks_) {
        if (task.prepared || isTerminal(task))
            list.push_back({{}, 0, ref, task.state, task.result, 90});
    }
    return list;
}

bool task_host::hasPendingTask() const
{
    return std::ranges::any_of(tasks_, [](const auto &item) {
        return !isTerminal(item.second) && item.second.state != task_state::Running;
    });
}

std::size_t task_host::runningCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
            tasks_, [](const auto &item) { return item.second.state == task_state::Running; }));
}

void task_host::addTask(time_point now, const leased_order &leased)
{
    hosted_task task;
    task.order = leased.order;
    task.state = task_state::Prepared;
    task.stepEnd = now + behaviour_.prepareTime;
    task.leaseExpiry = now + leased.lease;
    // A worker that was restarted after it prepared a task may receive a later order for it. The
    // restarted worker has not prepared the task, so it must not run it.
    if (leased.order.action != task_action::Prepare)
        changeState(now, task, task_state::Stopped, "stopped");
    tasks_.emplace(leased.order.task, std::move(task));
}

void task_host::updateTask(time_point now, hosted_task &task, const leased_order &leased)
{
    if (isTerminal(task))
        return;
    task.leaseExpiry = now + leased.lease;
    if (leased.order.action == task.order.action)
        return;
    task.order = leased.order;
    switch (leased.order.action) {
    case task_action::Prepare:
        break;
    case task_action::Run:
        task.stepEnd = now + (behaviour_.failTasks ? milliseconds {0} : behaviour_.runTime);
        changeState(now, task, task_state::Running, "running");
        break;
    case task_action::Checkpoint:
        task.stepEnd = now + behaviour_.checkpointTime;
        break;
    case task_action::Stop:
        changeState(now, task, task_state::Stopped, "stopped");
        break;
    }
}

void task_host::changeState(time_point now, hosted_task &task, task_state state,
                            std::string_view change)
{
    task.state = state;
    events_.push_back({now, task.order.task, std::string(change)});
}

bool task_host::isTerminal(const hosted_task &task)
{
    return task.state == task_state::Done || task.state == task_state::Failed
            || task.state == task_state::Stopped || task.state == task_state::Checkpointed;
}

} // namespace persimmon::tools
