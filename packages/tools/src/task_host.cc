#include "tools/task_host.h"

#include <algorithm>

namespace persimmon::tools {

void task_host::applyOrders(time_point now, std::span<const leased_order> orders)
{
    for (const auto &leased : orders) {
        auto &newest = newestToken_[leased.order.task.job];
        if (leased.order.task.token < newest)
            continue;
        newest = leased.order.task.token;
        const auto found = tasks_.find(leased.order.task);
        if (found == tasks_.end())
            start(now, leased);
        else
            follow(now, found->second, leased);
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
        if (!isOver(item->second))
            record(now, item->second, task_state::Stopped, "stopped");
        item = tasks_.erase(item);
    }
}

void task_host::tick(time_point now)
{
    for (auto &[ref, task] : tasks_) {
        if (isOver(task))
            continue;
        if (now >= task.leaseEnd) {
            record(now, task, task_state::Stopped, "lease_expired");
            continue;
        }
        if (now < task.ready)
            continue;
        if (task.order.action == task_action::Prepare && !task.prepared) {
            task.prepared = true;
            record(now, task, task_state::Prepared, "prepared");
        } else if (task.order.action == task_action::Checkpoint) {
            record(now, task, task_state::Checkpointed, "checkpointed");
        } else if (task.state == task_state::Running) {
            task.result = "result of task " + std::to_string(ref.index) + " attempt "
                    + std::to_string(ref.attempt);
            record(now, task, behaviour_.failTasks ? task_state::Failed : task_state::Done,
                   behaviour_.failTasks ? "failed" : "done");
        }
    }
}

std::vector<task_report> task_host::reports() const
{
    std::vector<task_report> list;
    for (const auto &[ref, task] : tasks_) {
        if (task.prepared || isOver(task))
            list.push_back({{}, 0, ref, task.state, task.result, 90});
    }
    return list;
}

bool task_host::busy() const
{
    return std::ranges::any_of(tasks_, [](const auto &item) {
        return !isOver(item.second) && item.second.state != task_state::Running;
    });
}

std::size_t task_host::runningCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
            tasks_, [](const auto &item) { return item.second.state == task_state::Running; }));
}

void task_host::start(time_point now, const leased_order &leased)
{
    hosted_task task;
    task.order = leased.order;
    task.state = task_state::Prepared;
    task.ready = now + behaviour_.prepareTime;
    task.leaseEnd = now + leased.lease;
    // A task that this worker never prepared must not run: the worker was restarted in between.
    if (leased.order.action != task_action::Prepare)
        record(now, task, task_state::Stopped, "stopped");
    tasks_.emplace(leased.order.task, std::move(task));
}

void task_host::follow(time_point now, hosted_task &task, const leased_order &leased)
{
    if (isOver(task))
        return;
    task.leaseEnd = now + leased.lease;
    if (leased.order.action == task.order.action)
        return;
    task.order = leased.order;
    switch (leased.order.action) {
    case task_action::Prepare:
        break;
    case task_action::Run:
        task.ready = now + (behaviour_.failTasks ? milliseconds {0} : behaviour_.runTime);
        record(now, task, task_state::Running, "running");
        break;
    case task_action::Checkpoint:
        task.ready = now + behaviour_.checkpointTime;
        break;
    case task_action::Stop:
        record(now, task, task_state::Stopped, "stopped");
        break;
    }
}

void task_host::record(time_point now, hosted_task &task, task_state state, std::string_view what)
{
    task.state = state;
    events_.push_back({now, task.order.task, std::string(what)});
}

bool task_host::isOver(const hosted_task &task)
{
    return task.state == task_state::Done || task.state == task_state::Failed
            || task.state == task_state::Stopped || task.state == task_state::Checkpointed;
}

} // namespace persimmon::tools
