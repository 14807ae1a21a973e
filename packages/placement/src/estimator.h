#pragma once

#include "amount.h"

#include "base/clock.h"

#include <array>
#include <vector>

namespace persimmon::placement::detail {

// Observed run times per workspace, class and size bucket, as histograms over powers of two.
// Declared run times are off by a factor of up to 10 and are used only without observations.
class run_time_estimator
{
public:
    void observe(index_t workspace, priority_class priority, std::int32_t accelerators,
                 milliseconds runTime);

    // Returns the median run time of similar jobs. With fewer than minSamples observations returns
    // the declared run time, or 10 minutes if none is declared.
    milliseconds expected(index_t workspace, priority_class priority, std::int32_t accelerators,
                          std::uint32_t declaredSeconds) const;

    // Returns the run time that 9 of 10 similar jobs did not exceed; zero with fewer than
    // minSamples observations.
    milliseconds upperBound(index_t workspace, priority_class priority,
                            std::int32_t accelerators) const;

    std::size_t bytes() const;

private:
    static constexpr std::uint32_t bins = 20; // up to 2^19 s, about 6 days
    static constexpr std::uint32_t minSamples = 8;
    // Number of samples at which the counts are halved, so that old runs lose weight.
    static constexpr std::uint32_t maxSamples = 256;
    static constexpr std::size_t maxHistograms = 16384;
    static constexpr std::uint32_t maxKeys = 1U << 18; // 4,096 workspaces

    struct histogram
    {
        std::array<std::uint16_t, bins> counts {};
        std::uint32_t total = 0;
    };

    static std::uint32_t keyOf(index_t workspace, priority_class priority,
                               std::int32_t accelerators);
    static milliseconds quantile(const histogram &samples, std::uint32_t percent);
    const histogram *find(index_t workspace, priority_class priority,
                          std::int32_t accelerators) const;

    std::vector<std::uint16_t> histogramOf_; // by key: index in histograms_ plus one; 0: none
    std::vector<histogram> histograms_;
};

} // namespace persimmon::placement::detail
