#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

// Data model: jobs with their steps, the queues that accept them, tenants, and the configuration.
namespace persimmon::batch {

// Amounts of resources, of a worker or a task.
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

// Returns how many times a need fits into the available resources; 0 if any resource is
// insufficient.
std::int64_t timesFitting(const amount &available, const amount &need);

// Returns the cost of using resources for a time, in core seconds.
double coreSeconds(const amount &used, double seconds);

// A step of a job: a number of identical tasks.
struct step_spec
{
    std::uint32_t count = 0; // tasks
    amount need; // of one task
    std::uint32_t estimateMs = 0;
    std::vector<std::uint32_t> dependsOn; // earlier steps, counted from 0
    bool checkpointable = false;
    bool gang = false; // all tasks run at the same time, or none does
    bool sameRack = false; // slower if spread over racks
    bool speculative = false; // duplicate runs are allowed; the scheduler doesn't make any yet
    bool longRunning = false; // runs until the job is cancelled
    bool usesIdleCpu = false; // uses idle processor time; its CPU need isn't charged to the worker
    std::string requiredLabel; // empty: any worker
    std::string preferredRack; // empty: any rack
    std::uint32_t maxPerWorker = 0; // 0: no limit
    std::uint32_t disruptionBudget = 0;
    std::uint32_t latencyObjectiveMs = 0; // limit for the response times of its tasks; 0: none

    // Returns what one task takes from the capacity of its worker.
    amount charged() const;
    friend bool operator==(const step_spec &, const step_spec &) = default;
};

struct job_spec
{
    std::string payload; // passed to each task unchanged
    std::vector<step_spec> steps;
    std::uint32_t occurrences = 1;
    std::int64_t firstDueMs = 0; // Unix milliseconds; 0: at once
    std::int64_t intervalMs = 0; // between occurrences

    friend bool operator==(const job_spec &, const job_spec &) = default;
};

// A queue accepts jobs under a host and a path prefix and runs them in one pool.
struct queue
{
    std::string name;
    std::string host;
    std::string prefix;
    std::string pool;
    std::uint32_t priority = 0; // 0 is the highest and may preempt all others
    std::uint32_t attempts = 1; // number of failed runs of a task after which its job fails
    double slackFactor = 1; // objective = factor x longest chain + objectiveMs
    std::uint32_t objectiveMs = 0;
    bool isPublic = false; // accepts jobs without a valid key
    // Time for which a ticket of the advice service is valid; 0: starts need no ticket.
    std::uint32_t adviceValidMs = 0;

    friend bool operator==(const queue &, const queue &) = default;
};

struct tenant
{
    std::string name;
    std::vector<std::string> keys;
    std::int64_t reservedAccelerators = 0; // guaranteed to its jobs of priority 0

    friend bool operator==(const tenant &, const tenant &) = default;
};

struct configuration
{
    std::uint64_t version = 0; // 0: none yet
    std::string document; // text as submitted by the operator
    std::vector<queue> queues;
    std::vector<tenant> tenants;

    // Returns the queue of the host with the longest prefix that matches the path, or nullptr.
    const queue *findQueue(std::string_view host, std::string_view path) const;

    // Returns the tenant that holds a key, or nullptr.
    const tenant *findTenant(std::string_view key) const;
};

// Planned upkeep of a set of machines, a limited number of them at a time.
struct wave
{
    std::uint64_t id = 0;
    std::vector<std::string> machines;
    std::int64_t durationMs = 0; // target duration of the whole wave
    std::uint32_t atOnce = 1; // maximum number of machines down at the same time

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

// How a run ended. Lost: the worker is gone. NotStarted: the worker has never listed the run,
// because the start order didn't reach it or it was lost before.
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

// Return stable lower-case names for logs.
std::string_view toName(end_kind kind);
std::string_view toName(job_state state);

} // namespace persimmon::batch
