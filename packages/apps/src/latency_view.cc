#include "apps/latency_view.h"

#include "apps/text_table.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <map>
#include <optional>

namespace persimmon::apps {

namespace {

constexpr std::string_view bucketName = "persimmon_stage_seconds_bucket{";

struct bucket
{
    double bound = 0; // seconds
    std::uint64_t cumulative = 0; // samples up to the bound
};

// Returns the value of a label in `name="value",...`.
std::string_view labelOf(std::string_view line, std::string_view name)
{
    const auto key = std::string(name) + "=\"";
    const auto begin = line.find(key);
    if (begin == std::string_view::npos)
        return {};
    const auto rest = line.substr(begin + key.size());
    return rest.substr(0, rest.find('"'));
}

std::optional<double> toNumber(std::string_view text)
{
    if (text == "+Inf")
        return std::numeric_limits<double>::infinity();
    double number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

double quantile(const std::vector<bucket> &buckets, double share)
{
    const auto rank = share * static_cast<double>(buckets.back().cumulative);
    const auto found = std::ranges::find_if(buckets, [rank](const bucket &item) {
        return static_cast<double>(item.cumulative) >= rank;
    });
    return found->bound;
}

std::string toText(double seconds)
{
    if (std::isinf(seconds))
        return "more";
    return std::to_string(static_cast<std::int64_t>(std::lround(seconds * 1000))) + " ms";
}

} // namespace

std::vector<latency_row> readLatencies(std::string_view metrics)
{
    std::map<std::string, std::vector<bucket>> stages;
    while (!metrics.empty()) {
        const auto line = metrics.substr(0, metrics.find('\n'));
        metrics.remove_prefix(std::min(metrics.size(), line.size() + 1));
        if (!line.starts_with(bucketName))
            continue;
        const auto stage = labelOf(line, "stage");
        const auto bound = toNumber(labelOf(line, "le"));
        const auto count = toNumber(line.substr(line.rfind(' ') + 1));
        if (!stage.empty() && bound && count)
            stages[std::string(stage)].push_back({*bound, static_cast<std::uint64_t>(*count)});
    }
    std::vector<latency_row> rows;
    for (auto &[stage, buckets] : stages) {
        std::ranges::sort(buckets, {}, &bucket::bound);
        const auto count = buckets.back().cumulative;
        if (count > 0)
            rows.push_back({stage, count, quantile(buckets, 0.5), quantile(buckets, 0.95),
                            quantile(buckets, 0.99)});
    }
    return rows;
}

std::string latencyText(const std::string &node, const std::vector<latency_row> &rows)
{
    if (rows.empty())
        return node + ": no samples\n";
    text_table table({node, "samples", "p50 up to", "p95 up to", "p99 up to"});
    for (const auto &row : rows)
        table.add({row.stage, std::to_string(row.count), toText(row.p50), toText(row.p95),
                   toText(row.p99)});
    return table.toString();
}

} // namespace persimmon::apps
