#include "batch/interference.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <utility>

namespace persimmon::batch {

namespace {

// Progress is reported in percent, so a shorter way tells the speed too roughly.
constexpr std::uint32_t minProgressPercent = 5;
constexpr std::int64_t minSegmentMs = 200;

// Tail latencies are measured over the last half second. Reports that follow a change sooner than
// this tell of the time before it.
constexpr std::int64_t latencySettleMs = 700;
constexpr std::uint32_t minLatencies = 4;

// A worker that was silent for longer may have been frozen.
constexpr std::int64_t maxReportGapMs = 3000;

// Two segments of a run further apart aren't compared.
constexpr std::int64_t maxSegmentDistanceMs = 10'000;

// Limit of a single comparison, as a logarithm: a factor of three.
constexpr double maxDifference = 1.1;

// Evidence loses half of its weight in this time.
constexpr std::chrono::minutes halfLife {10};

// With more comparisons than this, older ones count less.
constexpr double maxWeight = 64;

// Variance of a comparison before any was made, and the number of comparisons that it counts for.
constexpr double priorVariance = 0.04;
constexpr double priorWeight = 4;

// What is needed to believe in a pair: comparisons in each direction and workers, and a slow-down
// that is larger than the smallest one of interest by a multiple of its standard error.
constexpr double minComparisons = 6;
constexpr std::size_t minWorkers = 3;
constexpr double minSlowdown = 0.05; // logarithm
constexpr double errorsToBelieve = 4;

// A pair is believed until less than this is left.
constexpr double comparisonsToKeep = 2;
constexpr double errorsToKeep = 1;

constexpr std::size_t maxPairs = 512;

// Weight of what a task that serves users loses; 1 for any other.
constexpr double servingWeight = 4;

double decayFactor(time_point from, time_point to)
{
    const std::chrono::duration<double> age = to - from;
    const std::chrono::duration<double> half = halfLife;
    return std::exp2(-age / half);
}

// Returns how slow a run was in a segment, or nothing if the segment is too short to tell.
std::optional<double> slownessOf(const observed_run &run, const run_history::segment &item)
{
    if (run.serves) {
        if (item.latencies < minLatencies)
            return std::nullopt;
        return item.latencySum / item.latencies;
    }
    const auto duration = item.progressMs - item.beginMs;
    if (duration < minSegmentMs || item.percent < item.firstPercent + minProgressPercent)
        return std::nullopt;
    return std::log(static_cast<double>(duration) / (item.percent - item.firstPercent));
}

kind_index firstOf(const kind_set &kinds)
{
    kind_index index = 0;
    while (!kinds.test(index))
        ++index;
    return index;
}

} // namespace

void interference_model::sample_set::add(double value)
{
    if (weight > maxWeight - 1)
        decay((maxWeight - 1) / weight);
    weight += 1;
    const auto deviation = value - mean;
    mean += deviation / weight;
    squares += deviation * (value - mean);
}

void interference_model::sample_set::decay(double factor)
{
    weight *= factor;
    squares *= factor;
}

double interference_model::sample_set::variance() const
{
    return (squares + priorVariance * priorWeight) / (weight + priorWeight);
}

std::optional<kind_index> interference_model::find(const task_kind &kind) const
{
    const auto found = indexes_.find(kind);
    if (found == indexes_.end())
        return std::nullopt;
    return found->second;
}

std::optional<kind_index> interference_model::indexOf(time_point now, const task_kind &kind,
                                                      bool serves)
{
    if (const auto known = find(kind)) {
        kinds_[*known]->serves = serves;
        kinds_[*known]->lastSeen = now;
        return known;
    }
    const auto lastSeen = [](const std::optional<known_kind> &item) {
        return item ? item->lastSeen : time_point::min();
    };
    const auto oldest = std::ranges::min_element(kinds_, {}, lastSeen);
    const auto index = static_cast<kind_index>(oldest - kinds_.begin());
    if (*oldest) {
        if ((*oldest)->lastSeen + halfLife > now)
            return std::nullopt;
        dropKind(index);
    }
    *oldest = known_kind {kind, serves, now};
    indexes_[kind] = index;
    return index;
}

// Runs of the kind were not reported for long, so no history refers to its number.
void interference_model::dropKind(kind_index kind)
{
    const auto concerns = [kind](const auto &item) {
        return item.first.first == kind || item.first.second == kind;
    };
    std::vector<pair_key> ended;
    for (const auto &item : believed_) {
        if (concerns(item))
            ended.push_back(item.first);
    }
    for (const auto &pair : ended)
        setBelief(pair, false, evidenceOf(pairs_.at(pair)));
    std::erase_if(pairs_, concerns);
    indexes_.erase(kinds_[kind]->name);
    kinds_[kind].reset();
}

void interference_model::observe(time_point now, const worker_observation &report)
{
    std::array<std::uint32_t, maxTaskKinds> counts {};
    kind_set present;
    for (const auto &run : report.runs) {
        if (run.ended)
            continue;
        ++counts[run.kind];
        present.set(run.kind);
        if (kinds_[run.kind])
            kinds_[run.kind]->lastSeen = now;
    }
    std::vector<comparison> found;
    for (const auto &run : report.runs) {
        auto beside = present;
        if (counts[run.kind] < 2)
            beside.reset(run.kind);
        follow(run, report.sentMs, beside, report.comparable, found);
    }
    // Runs on one worker are disturbed by the same causes, so together they count once.
    const auto place = [](const comparison &item) { return std::pair(item.pair, item.arrival); };
    std::ranges::sort(found, {}, place);
    for (auto first = found.begin(); first != found.end();) {
        const auto last = std::find_if(first, found.end(), [&](const comparison &item) {
            return place(item) != place(*first);
        });
        const auto sum
                = std::accumulate(first, last, 0.0, [](double value, const comparison &item) {
                      return value + item.difference;
                  });
        first->difference = sum / static_cast<double>(last - first);
        record(now, report.worker, *first);
        first = last;
    }
}

// Adds a report to the history of a run.
void interference_model::follow(const observed_run &run, std::int64_t sentMs, kind_set beside,
                                bool comparable, std::vector<comparison> &found)
{
    auto &history = *run.history;
    if (!comparable || !run.comparable) {
        history = {};
        return;
    }
    auto &current = history.current;
    if (run.ended)
        return close(run, found);
    const bool same = current && current->beside == beside
            && sentMs - current->endMs <= maxReportGapMs && run.percent >= current->percent;
    if (!same) {
        close(run, found);
        current = run_history::segment {beside, sentMs, sentMs, sentMs, run.percent, run.percent};
        return;
    }
    current->endMs = sentMs;
    if (run.percent > current->percent) {
        current->percent = run.percent;
        current->progressMs = sentMs;
    }
    if (run.tailLatencyMs > 0 && sentMs - current->beginMs >= latencySettleMs) {
        current->latencySum += std::log(static_cast<double>(run.tailLatencyMs));
        ++current->latencies;
    }
}

// Completes the current segment of a run. Compares it with the segment before if exactly one kind
// of neighbour has come or gone between them.
void interference_model::close(const observed_run &run, std::vector<comparison> &found)
{
    auto &history = *run.history;
    if (!history.current)
        return;
    const auto segment = *history.current;
    history.current.reset();
    const auto slowness = slownessOf(run, segment);
    if (!slowness)
        return;
    const auto earlier = std::exchange(
            history.earlier, run_history::measurement {segment.beside, segment.endMs, *slowness});
    if (!earlier || segment.beginMs - earlier->endMs > maxSegmentDistanceMs)
        return;
    const auto changed = earlier->beside ^ segment.beside;
    if (changed.count() != 1)
        return;
    const auto neighbour = firstOf(changed);
    const bool arrival = segment.beside.test(neighbour);
    const auto difference = (*slowness - earlier->slowness) * (arrival ? 1 : -1);
    found.push_back({{run.kind, neighbour},
                     arrival,
                     std::clamp(difference, -maxDifference, maxDifference)});
}

void interference_model::record(time_point now, const std::string &worker, const comparison &item)
{
    if (!pairs_.contains(item.pair))
        makeRoom(now);
    auto &evidence = pairs_[item.pair];
    decay(evidence, now);
    (item.arrival ? evidence.arrivals : evidence.departures).add(item.difference);
    const auto hash = std::max<std::size_t>(1, std::hash<std::string> {}(worker));
    if (std::ranges::find(evidence.workers, hash) == evidence.workers.end()) {
        std::rotate(evidence.workers.begin(), evidence.workers.end() - 1, evidence.workers.end());
        evidence.workers.front() = hash;
    }
    judge(item.pair, evidence);
}

// Drops the pair with the least evidence if there are too many.
void interference_model::makeRoom(time_point now)
{
    if (pairs_.size() < maxPairs)
        return;
    for (auto &[pair, item] : pairs_)
        decay(item, now);
    const auto weight = [this](const auto &item) {
        return std::pair(believed_.contains(item.first),
                         item.second.arrivals.weight + item.second.departures.weight);
    };
    const auto least = std::ranges::min_element(pairs_, {}, weight);
    if (believed_.contains(least->first))
        setBelief(least->first, false, evidenceOf(least->second));
    pairs_.erase(least);
}

void interference_model::decay(pair_evidence &item, time_point now)
{
    const auto factor = decayFactor(std::min(item.updated, now), now);
    item.arrivals.decay(factor);
    item.departures.decay(factor);
    item.updated = now;
}

// What grows or shrinks over a run by itself has opposite signs when a neighbour comes and when it
// goes, so it cancels out in the mean of both directions.
interference_evidence interference_model::evidenceOf(const pair_evidence &item)
{
    const auto &[arrivals, departures, updated, workers] = item;
    interference_evidence evidence;
    evidence.arrivals = arrivals.weight;
    evidence.departures = departures.weight;
    evidence.workers = static_cast<std::size_t>(
            std::ranges::count_if(workers, [](std::size_t hash) { return hash != 0; }));
    const auto squaredError = [](const sample_set &samples) {
        return samples.variance() / std::max(samples.weight, 1.0);
    };
    evidence.slowdown = std::exp((arrivals.mean + departures.mean) / 2);
    evidence.error = std::sqrt(squaredError(arrivals) + squaredError(departures)) / 2;
    return evidence;
}

void interference_model::judge(const pair_key &pair, const pair_evidence &item)
{
    const auto evidence = evidenceOf(item);
    const auto effect = std::log(evidence.slowdown);
    const auto comparisons = std::min(evidence.arrivals, evidence.departures);
    if (believed_.contains(pair)) {
        const bool keep = comparisons >= comparisonsToKeep
                && effect - errorsToKeep * evidence.error > minSlowdown;
        return setBelief(pair, keep, evidence);
    }
    const bool believe = comparisons >= minComparisons && evidence.workers >= minWorkers
            && effect - errorsToBelieve * evidence.error > minSlowdown;
    if (believe)
        setBelief(pair, true, evidence);
}

void interference_model::setBelief(const pair_key &pair, bool believed,
                                   const interference_evidence &evidence)
{
    const bool before = believed_.contains(pair);
    if (believed)
        believed_[pair] = std::log(evidence.slowdown);
    else
        believed_.erase(pair);
    if (believed != before)
        changes_.push_back(
                {kinds_[pair.first]->name, kinds_[pair.second]->name, believed, evidence});
}

void interference_model::expire(time_point now)
{
    std::vector<pair_key> pairs;
    for (const auto &[pair, effect] : believed_)
        pairs.push_back(pair);
    for (const auto &pair : pairs) {
        auto &item = pairs_.at(pair);
        decay(item, now);
        judge(pair, item);
    }
}

std::vector<interference_change> interference_model::takeChanges()
{
    return std::exchange(changes_, {});
}

double interference_model::costBeside(kind_index placed, kind_index neighbour) const
{
    const auto loss = [this](kind_index slowed, kind_index other) {
        const auto found = believed_.find({slowed, other});
        if (found == believed_.end())
            return 0.0;
        return found->second * (kinds_[slowed]->serves ? servingWeight : 1);
    };
    return loss(placed, neighbour) + loss(neighbour, placed);
}

kind_set interference_model::avoidedBy(kind_index placed) const
{
    kind_set avoided;
    for (const auto &[pair, effect] : believed_) {
        if (pair.first == placed)
            avoided.set(pair.second);
        if (pair.second == placed)
            avoided.set(pair.first);
    }
    return avoided;
}

interference_counts interference_model::counts() const
{
    return {indexes_.size(), pairs_.size(), believed_.size()};
}

void interference_model::reset()
{
    *this = {};
}

} // namespace persimmon::batch
