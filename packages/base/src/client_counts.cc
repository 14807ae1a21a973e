#include "base/client_counts.h"

#include "base/event_log.h"
#include "base/log.h"

#include <array>
#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <utility>

namespace persimmon {

namespace {

using clock = std::chrono::steady_clock;

constexpr std::chrono::seconds logPeriod {10}; // of a cause and an address
constexpr std::size_t maxLoggedAddresses = 256;

constexpr std::array<std::string_view, clientCauseCount> names {
        "head",        "body",   "trailer", "framing",     "malformed",        "timeout",
        "connections", "memory", "idle",    "slow_reader", "peer_connections", "peer_memory",
        "peer_slow"};

struct logged_address
{
    clock::time_point lastLine {};
    std::uint64_t suppressed = 0;
};

struct client_log
{
    std::mutex mutex;
    std::map<std::pair<client_cause, std::string>, logged_address> addresses;
};

std::array<std::atomic<std::uint64_t>, clientCauseCount> &counts()
{
    static std::array<std::atomic<std::uint64_t>, clientCauseCount> values {};
    return values;
}

// Returns how many clients the line stands for; 0: no line is due.
std::uint64_t countForLine(client_cause cause, std::string_view address)
{
    static client_log log;
    const std::scoped_lock lock(log.mutex);
    if (log.addresses.size() >= maxLoggedAddresses)
        log.addresses.clear();
    auto &item = log.addresses[{cause, std::string(address)}];
    ++item.suppressed;
    const auto now = clock::now();
    if (item.lastLine != clock::time_point {} && now - item.lastLine < logPeriod)
        return 0;
    item.lastLine = now;
    return std::exchange(item.suppressed, 0);
}

} // namespace

std::string_view toName(client_cause cause)
{
    return names.at(static_cast<std::size_t>(cause));
}

void countClient(client_cause cause, std::string_view address)
{
    ++counts().at(static_cast<std::size_t>(cause));
    if (cause == client_cause::Idle)
        return; // ordinary callers end like this
    const auto clients = countForLine(cause, address);
    if (clients == 0)
        return;
    logEvent("client.refused", {{"why", toName(cause)}, {"from", address}, {"clients", clients}});
    logFor("clients")->info("refused {} from {}: {}", clients, address, toName(cause));
}

std::uint64_t clientCount(client_cause cause)
{
    return counts().at(static_cast<std::size_t>(cause));
}

std::string clientMetrics()
{
    std::string text
            = "# HELP persimmon_clients_refused_total Clients refused or closed by a limit\n"
              "# TYPE persimmon_clients_refused_total counter\n";
    for (std::size_t i = 0; i < clientCauseCount; ++i)
        text += "persimmon_clients_refused_total{why=\"" + std::string(names.at(i)) + "\"} "
                + std::to_string(counts().at(i)) + "\n";
    return text;
}

} // namespace persimmon
