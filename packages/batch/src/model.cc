#include "batch/model.h"

#include <algorithm>
#include <array>
#include <limits>

namespace persimmon::batch {

amount &amount::operator+=(const amount &other)
{
    cpu += other.cpu;
    memory += other.memory;
    accelerators += other.accelerators;
    return *this;
}

amount &amount::operator-=(const amount &other)
{
    cpu -= other.cpu;
    memory -= other.memory;
    accelerators -= other.accelerators;
    return *this;
}

double coreSeconds(const amount &used, double seconds)
{
    constexpr double coresPerAccelerator = 8;
    return (static_cast<double>(used.cpu) / 1000
            + coresPerAccelerator * static_cast<double>(used.accelerators))
            * seconds;
}

std::int64_t timesFitting(const amount &available, const amount &need)
{
    auto times = std::numeric_limits<std::int32_t>::max() + std::int64_t {0};
    const auto limit = [&times](std::int64_t have, std::int64_t each) {
        if (each > 0)
            times = std::min(times, have < each ? 0 : have / each);
    };
    limit(available.cpu, need.cpu);
    limit(available.memory, need.memory);
    limit(available.accelerators, need.accelerators);
    return times;
}

amount step_spec::charged() const
{
    auto value = need;
    if (usesIdleCpu)
        value.cpu = 0;
    return value;
}

const queue *configuration::findQueue(std::string_view host, std::string_view path) const
{
    const queue *best = nullptr;
    for (const auto &item : queues) {
        if (item.host == host && path.starts_with(item.prefix)
            && (best == nullptr || item.prefix.size() > best->prefix.size()))
            best = &item;
    }
    return best;
}

const tenant *configuration::findTenant(std::string_view key) const
{
    for (const auto &item : tenants) {
        if (std::ranges::find(item.keys, key) != item.keys.end())
            return &item;
    }
    return nullptr;
}

std::string_view toName(end_kind kind)
{
    static constexpr std::array<std::string_view, 9> names {"done",    "failed", "stopped",
                                                            "lapsed",  "broken", "alone",
                                                            "refused", "lost",   "not_started"};
    return names.at(static_cast<std::size_t>(kind));
}

std::string_view toName(job_state state)
{
    static constexpr std::array<std::string_view, 5> names {"queued", "running", "done", "failed",
                                                            "cancelled"};
    return names.at(static_cast<std::size_t>(state));
}

} // namespace persimmon::batch
