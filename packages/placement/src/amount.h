#pragma once

#include "base/model.h"

#include <algorithm>
#include <cstdint>

namespace persimmon::placement::detail {

// Dense index of a worker, rack, zone, job or other record.
using index_t = std::uint32_t;

constexpr index_t noIndex = 0xFFFFFFFF;

// Resources as signed numbers: the free amount of a worker is negative while a reclaim is in
// progress.
struct amount
{
    std::int32_t accelerators = 0;
    std::int32_t cores = 0;
    std::int32_t memoryMb = 0;

    friend bool operator==(const amount &, const amount &) = default;

    amount &operator+=(const amount &other)
    {
        accelerators += other.accelerators;
        cores += other.cores;
        memoryMb += other.memoryMb;
        return *this;
    }

    amount &operator-=(const amount &other)
    {
        accelerators -= other.accelerators;
        cores -= other.cores;
        memoryMb -= other.memoryMb;
        return *this;
    }

    friend amount operator+(amount left, const amount &right) { return left += right; }
    friend amount operator-(amount left, const amount &right) { return left -= right; }

    friend amount operator*(const amount &left, std::int32_t count)
    {
        return {left.accelerators * count, left.cores * count, left.memoryMb * count};
    }

    bool isZero() const { return *this == amount {}; }

    bool isNegative() const { return accelerators < 0 || cores < 0 || memoryMb < 0; }
};

// Upper limit of a resource of one task, to which larger values are clamped: the sum over the 64
// tasks of a gang then fits in 32 bits.
constexpr std::uint32_t maxResource = 1U << 24;

inline amount toAmount(const resources &value)
{
    const auto clamp = [](std::uint32_t number) {
        return static_cast<std::int32_t>(std::min(number, maxResource));
    };
    return {clamp(value.accelerators), clamp(value.cores), clamp(value.memoryMb)};
}

inline bool fits(const amount &need, const amount &available)
{
    return need.accelerators <= available.accelerators && need.cores <= available.cores
            && need.memoryMb <= available.memoryMb;
}

inline amount smaller(const amount &left, const amount &right)
{
    return {std::min(left.accelerators, right.accelerators), std::min(left.cores, right.cores),
            std::min(left.memoryMb, right.memoryMb)};
}

inline amount larger(const amount &left, const amount &right)
{
    return {std::max(left.accelerators, right.accelerators), std::max(left.cores, right.cores),
            std::max(left.memoryMb, right.memoryMb)};
}

// Returns how many tasks of the given size fit, at most maxGangTasks.
inline std::uint32_t slotsOf(const amount &task, const amount &available)
{
    auto slots = static_cast<std::int32_t>(maxGangTasks);
    const auto limit = [&](std::int32_t need, std::int32_t have) {
        if (need > 0) {
            slots = std::min(slots, have / need);
        }
    };
    limit(task.accelerators, available.accelerators);
    limit(task.cores, available.cores);
    limit(task.memoryMb, available.memoryMb);
    return static_cast<std::uint32_t>(std::max(slots, 0));
}

} // namespace persimmon::placement::detail
