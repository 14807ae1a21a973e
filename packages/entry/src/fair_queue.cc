#include "fair_queue.h"

#include <algorithm>

namespace persimmon::entry {

std::size_t fair_queue::workspace_queue::size() const
{
    std::size_t sum = 0;
    for (const auto &items : byClass)
        sum += items.size();
    return sum;
}

void fair_queue::push(std::string_view workspace, std::uint32_t weight, priority_class priority,
                      request_id id, position where)
{
    auto &target = workspaces_.try_emplace(std::string(workspace)).first->second;
    // A workspace that was idle starts at the current virtual time and gets no credit for idle
    // time.
    if (target.size() == 0)
        target.startTag = std::max(target.startTag, virtualTime_);
    target.weight = std::max(weight, 1U);
    auto &items = target.byClass.at(static_cast<std::size_t>(priority));
    if (where == position::Front)
        items.push_front(id);
    else
        items.push_back(id);
    ++size_;
}

std::optional<request_id> fair_queue::pop()
{
    auto best = workspaces_.end();
    for (auto item = workspaces_.begin(); item != workspaces_.end(); ++item) {
        if (item->second.size() > 0
            && (best == workspaces_.end() || item->second.startTag < best->second.startTag))
            best = item;
    }
    if (best == workspaces_.end())
        return std::nullopt;
    auto &chosen = best->second;
    virtualTime_ = chosen.startTag;
    chosen.startTag += 1.0 / chosen.weight;
    auto items = std::ranges::find_if(chosen.byClass.rbegin(), chosen.byClass.rend(),
                                      [](const auto &list) { return !list.empty(); });
    const auto id = items->front();
    items->pop_front();
    --size_;
    return id;
}

void fair_queue::erase(std::string_view workspace, request_id id)
{
    const auto found = workspaces_.find(workspace);
    if (found == workspaces_.end())
        return;
    for (auto &items : found->second.byClass)
        size_ -= std::erase(items, id);
}

std::size_t fair_queue::size(std::string_view workspace) const
{
    const auto found = workspaces_.find(workspace);
    return found == workspaces_.end() ? 0 : found->second.size();
}

std::size_t fair_queue::ahead(std::string_view workspace, priority_class priority) const
{
    const auto found = workspaces_.find(workspace);
    if (found == workspaces_.end())
        return 0;
    std::size_t sum = 0;
    for (auto index = static_cast<std::size_t>(priority); index < classes; ++index)
        sum += found->second.byClass.at(index).size();
    return sum;
}

std::uint64_t fair_queue::otherWeights(std::string_view workspace) const
{
    std::uint64_t sum = 0;
    for (const auto &[name, item] : workspaces_) {
        if (name != workspace && item.size() > 0)
            sum += item.weight;
    }
    return sum;
}

} // namespace persimmon::entry
