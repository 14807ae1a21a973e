#include "client_table.h"

namespace persimmon::http {

std::vector<client_id> client_table::add(client_id client, time_point now)
{
    std::vector<client_id> chosen;
    auto &idle = order_[client_phase::Idle];
    if (clients_.size() >= limits_.maxClients) {
        const auto &receiving = order_[client_phase::Receiving];
        if (!idle.empty())
            chosen.push_back(idle.begin()->second);
        else
            chosen.push_back(receiving.empty() ? client : receiving.begin()->second);
    }
    clients_[client] = {client_phase::Idle, now, 0};
    idle.emplace(now, client);
    return chosen;
}

void client_table::remove(client_id client)
{
    const auto found = clients_.find(client);
    if (found == clients_.end())
        return;
    const auto &item = found->second;
    order_[item.phase].erase({item.since, client});
    heldBytes_ -= item.heldBytes;
    clients_.erase(found);
}

void client_table::setPhase(client_id client, client_phase phase, time_point now)
{
    const auto found = clients_.find(client);
    if (found == clients_.end() || found->second.phase == phase)
        return;
    auto &item = found->second;
    order_[item.phase].erase({item.since, client});
    item.phase = phase;
    item.since = now;
    order_[phase].emplace(now, client);
}

std::vector<client_id> client_table::setHeldBytes(client_id client, std::uint64_t bytes)
{
    const auto found = clients_.find(client);
    if (found == clients_.end())
        return {};
    heldBytes_ += bytes - found->second.heldBytes;
    found->second.heldBytes = bytes;
    std::vector<client_id> chosen;
    const auto &receiving = order_[client_phase::Receiving];
    auto excess = heldBytes_;
    const auto share = limits_.maxHeldBytes / (receiving.size() + 1);
    for (auto item = receiving.begin(); excess > limits_.maxHeldBytes && item != receiving.end();
         ++item) {
        const auto held = clients_.at(item->second).heldBytes;
        if (held < share)
            continue;
        chosen.push_back(item->second);
        excess -= held;
    }
    if (excess > limits_.maxHeldBytes && found->second.phase == client_phase::Receiving
        && (chosen.empty() || chosen.back() != client))
        chosen.push_back(client);
    return chosen;
}

} // namespace persimmon::http
