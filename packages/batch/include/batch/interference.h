#pragma once

#include "base/clock.h"

#include <array>
#include <bitset>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

// Learns which kinds of task slow each other down on one worker.
namespace persimmon::batch {

// Tasks of the same step of the jobs of a queue are of the same kind.
struct task_kind
{
    std::string queue;
    std::uint32_t step = 0;

    friend auto operator<=>(const task_kind &, const task_kind &) = default;
};

// Maximum number of kinds that are told apart.
constexpr std::size_t maxTaskKinds = 64;

// Number of a kind within a model.
using kind_index = std::uint8_t;
using kind_set = std::bitset<maxTaskKinds>;

// What a model remembers of a run. Kept by the caller with the run, and passed again with each
// report of it.
struct run_history
{
    // A time in which the kinds beside the run stayed the same.
    struct segment
    {
        kind_set beside;
        std::int64_t beginMs = 0;
        std::int64_t endMs = 0; // newest report
        std::int64_t progressMs = 0; // newest report with progress
        std::uint32_t firstPercent = 0;
        std::uint32_t percent = 0; // newest
        double latencySum = 0; // of the logarithms of the tail latencies
        std::uint32_t latencies = 0; // number of them
    };

    // A completed segment.
    struct measurement
    {
        kind_set beside;
        std::int64_t endMs = 0;
        double slowness = 0; // logarithm of the time per unit of progress, or of the tail latency
    };

    std::optional<segment> current;
    std::optional<measurement> earlier;
};

// A run in a report of its worker. A run that serves users is judged by its tail latency, any other
// by its progress.
struct observed_run
{
    run_history *history = nullptr;
    kind_index kind = 0;
    bool serves = false;
    // Whether the progress depends on the neighbours alone. False for runs that the scheduler slows
    // down itself.
    bool comparable = true;
    bool ended = false; // no longer reported; only its history counts
    std::uint32_t percent = 0;
    std::int64_t tailLatencyMs = 0; // 0: unknown
};

struct worker_observation
{
    std::string worker;
    std::int64_t sentMs = 0; // when the worker sent the report, by a clock that is steady
    bool comparable = true; // false while the worker itself changes its speed
    std::span<const observed_run> runs;
};

// Evidence for the effect of one kind on another.
struct interference_evidence
{
    double slowdown = 1; // factor by which a task is slower beside the other kind
    double error = 0; // standard error of its logarithm
    double arrivals = 0; // comparisons when a neighbour of the kind came, older ones count less
    double departures = 0; // the same when it went
    std::size_t workers = 0; // on which these were seen, up to a small limit
};

// A pair that begins or ceases to be believed.
struct interference_change
{
    task_kind slowed;
    task_kind neighbour;
    bool found = false; // false: ended
    interference_evidence evidence;
};

struct interference_counts
{
    std::size_t kinds = 0;
    std::size_t pairs = 0; // with any evidence
    std::size_t believed = 0;
};

// Estimates for ordered pairs of kinds how much one slows the other down. Each run is compared only
// with itself: the time before a neighbour came or went with the time after. So neither the speed
// of the worker nor the length of the task matters, nor whether a kind is slow by itself.
class interference_model
{
public:
    // Returns the number of a kind, or nothing while the maximum number of kinds is in use. Kinds
    // that were not observed for long are dropped for new ones.
    std::optional<kind_index> indexOf(time_point now, const task_kind &kind, bool serves);

    // Returns the number of a kind that is known.
    std::optional<kind_index> find(const task_kind &kind) const;

    void observe(time_point now, const worker_observation &report);

    // Ends what is no longer believed, because its evidence is too old.
    void expire(time_point now);

    // Returns the changes since the last call.
    std::vector<interference_change> takeChanges();

    bool believesAny() const { return !believed_.empty(); }

    // Returns the cost of placing a task of one kind beside a kind: the logarithms of the
    // slow-downs of either by the other as far as they are believed. What tasks that serve users
    // lose counts more.
    double costBeside(kind_index placed, kind_index neighbour) const;

    // Returns the kinds beside which a task of a kind costs anything.
    kind_set avoidedBy(kind_index placed) const;

    interference_counts counts() const;

    // Drops all that was learned. Called when a term begins.
    void reset();

private:
    struct known_kind
    {
        task_kind name;
        bool serves = false;
        time_point lastSeen {};
    };

    // Weighted mean and variance of comparisons in one direction.
    struct sample_set
    {
        double weight = 0;
        double mean = 0;
        double squares = 0; // weighted sum of squared deviations

        void add(double value);
        void decay(double factor);
        double variance() const;
    };

    static constexpr std::size_t rememberedWorkers = 4;

    using pair_key = std::pair<kind_index, kind_index>; // slowed, neighbour

    struct pair_evidence
    {
        sample_set arrivals;
        sample_set departures;
        time_point updated {};
        // Different workers of recent comparisons, as hash values; 0: none.
        std::array<std::size_t, rememberedWorkers> workers {};
    };

    struct comparison
    {
        pair_key pair;
        bool arrival = false;
        double difference = 0;
    };

    static void follow(const observed_run &run, std::int64_t sentMs, kind_set beside,
                       bool comparable, std::vector<comparison> &found);
    static void close(const observed_run &run, std::vector<comparison> &found);
    void record(time_point now, const std::string &worker, const comparison &item);
    void makeRoom(time_point now);
    static void decay(pair_evidence &item, time_point now);
    static interference_evidence evidenceOf(const pair_evidence &item);
    void judge(const pair_key &pair, const pair_evidence &item);
    void setBelief(const pair_key &pair, bool believed, const interference_evidence &evidence);
    void dropKind(kind_index kind);

    std::array<std::optional<known_kind>, maxTaskKinds> kinds_;
    std::map<task_kind, kind_index> indexes_;
    std::map<pair_key, pair_evidence> pairs_;
    std::map<pair_key, double> believed_; // logarithm of the slow-down
    std::vector<interference_change> changes_;
};

} // namespace persimmon::batch
