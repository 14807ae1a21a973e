#include "client_registry.h"

#include "base/descriptors.h"
#include "wire/event_loop.h"

#include <boost/asio/strand.hpp>
#include <pplx/threadpool.h>

#include <algorithm>

namespace persimmon::http {

namespace {

constexpr std::size_t maxDefaultClients = 8192;

constexpr milliseconds arrivalTickPeriod {20};

std::size_t maxClientsOf(const client_limits &limits)
{
    if (limits.maxConnections > 0)
        return limits.maxConnections;
    return std::min(maxDescriptors() / 4 * 3, maxDefaultClients);
}

} // namespace

client_registry &client_registry::instance(const client_limits &limits)
{
    // Never destroyed: the library's threads may use it until the process ends.
    static auto *registry = new client_registry(limits);
    return *registry;
}

client_registry::client_registry(const client_limits &limits)
    : strand_(boost::asio::make_strand(crossplat::threadpool::shared_instance().service()))
    , table_({maxClientsOf(limits), limits.maxHeldBytes})
    , arrivalTimer_(strand_)
{
}

void client_registry::add(client_id id, const std::shared_ptr<connection> &item)
{
    connections_[id] = item;
    close(table_.add(id, now()), client_cause::Connections);
}

void client_registry::remove(client_id id)
{
    table_.remove(id);
    connections_.erase(id);
}

void client_registry::setPhase(client_id id, client_phase phase)
{
    table_.setPhase(id, phase, now());
}

void client_registry::setHeldBytes(client_id id, std::uint64_t bytes)
{
    close(table_.setHeldBytes(id, bytes), client_cause::Memory);
}

time_point client_registry::now()
{
    return wire::monotonicNow();
}

void client_registry::watchArrivals()
{
    if (arrivals_)
        return;
    arrivals_.emplace(now());
    tickLater();
}

std::optional<time_point> client_registry::arrivedAfter() const
{
    return arrivals_ ? std::optional(arrivals_->arrivedAfter()) : std::nullopt;
}

void client_registry::tickLater()
{
    arrivalTimer_.expires_after(arrivalTickPeriod);
    arrivalTimer_.async_wait([this](const boost::system::error_code &failure) {
        if (failure)
            return;
        arrivals_->tick(now());
        tickLater();
    });
}

std::shared_ptr<connection> client_registry::find(client_id id) const
{
    const auto found = connections_.find(id);
    return found == connections_.end() ? nullptr : found->second;
}

// The connections that are chosen may be the one that is calling.
void client_registry::close(const std::vector<client_id> &chosen, client_cause cause)
{
    for (const auto id : chosen) {
        if (const auto item = find(id))
            item->yield(cause);
    }
}

} // namespace persimmon::http
