#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

// Jobs of several steps, the queues they arrive on and the configuration that names both.
namespace persimmon::batch {

// Resources of a worker or a task.
struct amount
{
    std::int64_t cpu = 0; // thousandths of a core
    std::int64_t memory = 0; // MiB
    std::int64_t accelerators = 0;

    amount &operator+=(const amount &other);
    amount &operator-=(const amount &other);
    friend amount operator*(amount value, std::int64_t factor)
    {
        return {value.cpu * factor, value.memory * factor, value.accelerators * factor};
    }
    friend bool operator==(const amount &, const amount &) = default;
};

// How often a need fits into free resources; 0 when anything is missing.
std::int64_t timesFitting(const amount &available, const amount &need);

// Returns the worth of resources used for a time, in core seconds.
double coreSeconds(const amount &used, double seconds);

// One step of a job: tasks of the same kind.
struct step_spec
{
    std::uint32_t count = 0; // tasks
    amount need; // of one task
    std::uint32_t estimateMs = 0;
    std::vector<std::uint32_t> dependsOn; // earlier steps, counted from 0
    bool checkpointable = false;
    bool gang = false; // all tasks run together or none does
    bool sameRack = false; // slower when spread over racks
    bool speculative = false; // copies are allowed; none is made today
    bool longRunning = false; // runs until the job is cancelled
    bool fillsIdle = false; // its processor need isn't counted against a worker
    std::string requiredLabel; // empty: any worker
    std::string preferredRack; // empty: any rack
    std::uint32_t maxPerWorker = 0; // 0: no limit
    std::uint32_t disruptionBudget = 0;
    std::uint32_t latencyObjectiveMs = 0; // its tasks serve users below this time; 0: none

    // What one task takes from the capacity of its worker.
    amount charged() const;
    friend bool operator==(const step_spec &, const step_spec &) = default;
};

struct job_spec
{
    std::string payload; // handed to each task as it is
    std::vector<step_spec> steps;
    std::uint32_t occurrences = 1;
    std::int64_t firstDueMs = 0; // Unix milliseconds; 0: at once
    std::int64_t intervalMs = 0; // between occurrences

    friend bool operator==(const job_spec &, const job_spec &) = default;
};

// A queue accepts jobs under a host and a path prefix and sends them to one pool.
struct queue
{
    std::string name;
    std::string host;
    std::string prefix;
    std::string pool;
    std::uint32_t priority = 0; // 0 comes first and may preempt the others
    std::uint32_t attempts = 1; // failed runs of a task that fail its job
    double slackFactor = 1; // objective = factor x longest chain + objectiveMs
    std::uint32_t objectiveMs = 0;
    bool openToAll = false; // no key needed
    std::uint32_t adviceValidMs = 0; // starts need a ticket, valid for this time; 0: none

    friend bool operator==(const queue &, const queue &) = default;
};

struct tenant
{
    std::string name;
    std::vector<std::string> keys;
    std::int64_t reservedAccelerators = 0; // for its jobs of priority 0, at all times

    friend bool operator==(const tenant &, const tenant &) = default;
};

struct configuration
{
    std::uint64_t version = 0; // 0: none yet
    std::string document; // as the operator sent it
    std::vector<queue> queues;
    std::vector<tenant> tenants;

    // Returns the queue of the host whose prefix is the longest start of the path, or nullptr.
    const queue *findQueue(std::string_view host, std::string_view path) const;

    // Returns the tenant that holds a key, or nullptr.
    const tenant *findTenant(std::string_view key) const;
};

// Planned upkeep of machines, some of them at a time.
struct wave
{
    std::uint64_t id = 0;
    std::vector<std::string> machines;
    std::int64_t durationMs = 0; // time wanted for all of them
    std::uint32_t atOnce = 1; // machines that may be down at the same time

    friend bool operator==(const wave &, const wave &) = default;
};

struct task_id
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend auto operator<=>(const task_id &, const task_id &) = default;
};

// How a run ended. Lost: its worker is gone. NotStarted: the order never reached the worker.
enum class end_kind : std::uint8_t {
    Done,
    Failed,
    Stopped,
    Lapsed,
    Broken,
    Alone,
    Refused,
    Lost,
    NotStarted,
};

enum class job_state : std::uint8_t { Queued, Running, Done, Failed, Cancelled };

// Stable lower-case names for logs.
std::string_view toName(end_kind kind);
std::string_view toName(job_state state);

} // namespace persimmon::batch
