#include "batch/held_answers.h"

#include <utility>
#include <vector>

namespace persimmon::batch {

namespace {

// Bounds the memory and the connections in use.
constexpr std::size_t maxHeld = 4096;

} // namespace

held_answers::~held_answers()
{
    for (const auto &[worker, item] : held_)
        timers_.cancel(item.expiry);
}

void held_answers::hold(heartbeat_key heartbeat, routed_orders answer, milliseconds limit,
                        completion done)
{
    const auto worker = heartbeat.worker;
    send(worker);
    if (held_.size() >= maxHeld)
        return done(std::move(answer));
    auto &item = held_[worker];
    item.heartbeat = std::move(heartbeat);
    item.answer = std::move(answer);
    item.done = std::move(done);
    item.expiry = timers_.after(limit, [this, worker](time_point) { send(worker); });
}

bool held_answers::release(const heartbeat_key &heartbeat, worker_orders orders)
{
    const auto found = held_.find(heartbeat.worker);
    if (found == held_.end() || found->second.heartbeat != heartbeat)
        return false;
    return releaseNewest(heartbeat.worker, std::move(orders));
}

bool held_answers::releaseNewest(const std::string &worker, worker_orders orders)
{
    const auto found = held_.find(worker);
    if (found == held_.end())
        return false;
    found->second.answer.orders = std::move(orders);
    send(worker);
    return true;
}

void held_answers::releaseAll(milliseconds spread)
{
    std::vector<std::string> workers;
    workers.reserve(held_.size());
    for (const auto &[worker, item] : held_)
        workers.push_back(worker);
    for (std::size_t i = 0; i < workers.size(); ++i) {
        const auto found = held_.find(workers[i]);
        if (found == held_.end())
            continue;
        found->second.answer.orders.retryMs += static_cast<std::int64_t>(
                static_cast<std::size_t>(spread.count()) * i / workers.size());
        send(workers[i]);
    }
}

void held_answers::send(const std::string &worker)
{
    const auto found = held_.find(worker);
    if (found == held_.end())
        return;
    auto item = std::move(found->second);
    held_.erase(found);
    timers_.cancel(item.expiry);
    item.done(std::move(item.answer));
}

} // namespace persimmon::batch
