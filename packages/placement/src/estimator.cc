#include "estimator.h"

#include <bit>

namespace persimmon::placement::detail {

void run_time_estimator::observe(index_t workspace, priority_class priority,
                                 std::int32_t accelerators, milliseconds runTime)
{
    const auto key = keyOf(workspace, priority, accelerators);
    if (key >= histogramOf_.size() && key < maxKeys) {
        histogramOf_.resize(key + 1);
    }
    if (key >= maxKeys || (histogramOf_[key] == 0 && histograms_.size() >= maxHistograms)) {
        return;
    }
    if (histogramOf_[key] == 0) {
        histograms_.emplace_back();
        histogramOf_[key] = static_cast<std::uint16_t>(histograms_.size());
    }
    auto &samples = histograms_[histogramOf_[key] - 1U];
    const auto seconds
            = static_cast<std::uint64_t>(std::max<std::int64_t>(runTime.count(), 0)) / 1000;
    ++samples.counts[std::min<std::uint32_t>(std::bit_width(seconds), bins - 1)];
    if (++samples.total >= maxSamples) {
        samples.total = 0;
        for (auto &count : samples.counts) {
            count /= 2;
            samples.total += count;
        }
    }
}

std::uint32_t run_time_estimator::keyOf(index_t workspace, priority_class priority,
                                        std::int32_t accelerators)
{
    const auto size = static_cast<std::uint32_t>(std::bit_width(std::uint32_t(accelerators)));
    return (workspace << 6) | (static_cast<std::uint32_t>(priority) << 4) | std::min(size, 15U);
}

milliseconds run_time_estimator::quantile(const histogram &samples, std::uint32_t percent)
{
    std::uint32_t seen = 0;
    for (std::uint32_t bin = 0; bin < bins; ++bin) {
        seen += samples.counts[bin];
        if (seen * 100 >= samples.total * percent) {
            return milliseconds(1000LL << bin); // upper edge of the bin
        }
    }
    return milliseconds(1000LL << bins);
}

const run_time_estimator::histogram *run_time_estimator::find(index_t workspace,
                                                              priority_class priority,
                                                              std::int32_t accelerators) const
{
    const auto key = keyOf(workspace, priority, accelerators);
    if (key >= histogramOf_.size() || histogramOf_[key] == 0) {
        return nullptr;
    }
    const auto &samples = histograms_[histogramOf_[key] - 1U];
    return samples.total < minSamples ? nullptr : &samples;
}

milliseconds run_time_estimator::expected(index_t workspace, priority_class priority,
                                          std::int32_t accelerators,
                                          std::uint32_t declaredSeconds) const
{
    if (const auto *samples = find(workspace, priority, accelerators)) {
        return quantile(*samples, 50);
    }
    return std::chrono::seconds(declaredSeconds > 0 ? declaredSeconds : 600);
}

milliseconds run_time_estimator::upperBound(index_t workspace, priority_class priority,
                                            std::int32_t accelerators) const
{
    const auto *samples = find(workspace, priority, accelerators);
    return samples == nullptr ? milliseconds(0) : quantile(*samples, 90);
}

std::size_t run_time_estimator::bytes() const
{
    return histograms_.capacity() * sizeof(histogram)
            + histogramOf_.capacity() * sizeof(std::uint16_t);
}

} // namespace persimmon::placement::detail
