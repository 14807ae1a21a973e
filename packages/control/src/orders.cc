#include "orders.h"

namespace persimmon::control {

void order_book::reset()
{
    byJob_.clear();
    byUpstream_.clear();
    changed_.clear();
}

void order_book::set(job_id job, const std::vector<task_order> &orders)
{
    const auto known = byJob_.find(job);
    if (known == byJob_.end() && orders.empty())
        return;
    if (known != byJob_.end()) {
        if (known->second == orders)
            return;
        for (const auto &order : known->second) {
            byUpstream_[order.upstream].erase(order.task);
            changed_.insert(order.upstream);
        }
        byJob_.erase(known);
    }
    for (const auto &order : orders) {
        byUpstream_[order.upstream][order.task] = order;
        changed_.insert(order.upstream);
    }
    if (!orders.empty())
        byJob_[job] = orders;
}

void order_book::flush()
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
