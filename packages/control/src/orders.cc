#include "orders.h"

namespace persimmon::control {

void order_index::reset()
{
    byJob_.clear();
    byUpstream_.clear();
    changed_.clear();
}

void order_index::set(job_id job, const std::vector<task_order> &orders)
{
    const auto previous = byJob_.find(job);
    if (previous == byJob_.end() && orders.empty())
        return;
    if (previous != byJob_.end()) {
        if (previous->second == orders)
            return;
        for (const auto &order : previous->second) {
            byUpstream_[order.upstream].erase(order.task);
            changed_.insert(order.upstream);
        }
        byJob_.erase(previous);
    }
    for (const auto &order : orders) {
        byUpstream_[order.upstream][order.task] = order;
        changed_.insert(order.upstream);
    }
    if (!orders.empty())
        byJob_[job] = orders;
}

void order_index::flush()
{
    for (const auto &upstream : changed_) {
        std::vector<task_order> list;
        for (const auto &[task, order] : byUpstream_[upstream])
            list.push_back(order);
        if (list.empty())
            byUpstream_.erase(upstream);
        view_.setOrders(upstream, std::move(list));
    }
    changed_.clear();
}

} // namespace persimmon::control
