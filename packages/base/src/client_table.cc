#include "base/client_table.h"

#include <algorithm>
#include <array>

namespace persimmon {

namespace {

// The phases whose clients may be closed for others, those that lose least first.
constexpr std::array closablePhases {client_phase::Idle, client_phase::Receiving,
                                     client_phase::Sending};

} // namespace

std::vector<client_id> client_table::add(client_id client, time_point now)
{
    std::vector<client_id> chosen;
    auto excess = clients_.size() + 1 - std::min(limits_.maxClients, clients_.size() + 1);
    for (const auto phase : closablePhases) {
        for (const auto &[since, id] : order_[phase]) {
            if (excess == 0)
                break;
            chosen.push_back(id);
            --excess;
        }
    }
    if (excess > 0)
        chosen.push_back(client);
    clients_[client] = {client_phase::Idle, now, 0};
    order_[client_phase::Idle].emplace(now, client);
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
    auto excess = heldBytes_;
    const auto share = limits_.maxHeldBytes
            / (order_[client_phase::Receiving].size() + order_[client_phase::Sending].size() + 1);
    std::vector<client_id> chosen;
    for (const auto phase : {client_phase::Receiving, client_phase::Sending}) {
        for (const auto &[since, id] : order_[phase]) {
            const auto held = clients_.at(id).heldBytes;
            if (excess <= limits_.maxHeldBytes || held < share)
                continue;
            chosen.push_back(id);
            excess -= held;
        }
    }
    const bool isLeft = excess > limits_.maxHeldBytes
            && found->second.phase == client_phase::Receiving
            && std::ranges::find(chosen, client) == chosen.end();
    if (isLeft)
        chosen.push_back(client);
    return chosen;
}

} // namespace persimmon
