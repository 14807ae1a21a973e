#pragma once

#include <cstdint>

namespace persimmon::entry {

// Deterministic pseudo-random numbers (SplitMix64). Not cryptographically secure.
class random_source
{
public:
    explicit random_source(std::uint64_t seed)
        : state_(seed)
    {
    }

    std::uint64_t next()
    {
        state_ += 0x9e3779b97f4a7c15;
        std::uint64_t value = state_;
        value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9;
        value = (value ^ (value >> 27U)) * 0x94d049bb133111eb;
        return value ^ (value >> 31U);
    }

    // Returns a number in [0, bound). The bound must be positive.
    std::size_t below(std::size_t bound) { return static_cast<std::size_t>(next() % bound); }

private:
    std::uint64_t state_;
};

} // namespace persimmon::entry
