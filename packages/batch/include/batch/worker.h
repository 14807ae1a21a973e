#pragma once

#include "batch/model.h"

#include <optional>

// Reports of workers and the orders that answer them.
namespace persimmon::batch {

struct running_task
{
    task_id task;
    std::uint32_t run = 0;
    std::string checkpoint; // newest checkpoint, may be empty
    std::uint32_t percent = 0;
    std::int64_t tailLatencyMs = 0; // tail latency in ms of a task that serves users
};

struct ended_task
{
    std::uint64_t sequence = 0; // increases within one incarnation of the worker
    task_id task;
    std::uint32_t run = 0;
    end_kind kind = end_kind::Done;
    std::string checkpoint;
};

// Heartbeat of a worker.
struct worker_report
{
    std::string id;
    std::int64_t incarnation = 0; // incarnation: Unix milliseconds of the worker's start
    std::uint64_t sequence = 0; // increases with each heartbeat of an incarnation
    std::int64_t clockMs = 0; // steady clock of the worker when it sent the heartbeat; 0: unknown
    // Address that the worker serves on. A newer incarnation at the same address replaces it.
    std::string address;
    std::string machine; // hardware that the worker runs on, empty: unknown
    std::string pool;
    std::string zone;
    std::string rack;
    std::vector<std::string> labels;
    amount capacity;
    bool draining = false;
    std::optional<std::int64_t> remainingMs; // guaranteed time left while draining
    std::int64_t warmupLeftMs = 0; // for which the worker stays slow after its start
    std::vector<running_task> running;
    std::vector<ended_task> ended;
};

// Announcement of a worker that it has left.
struct worker_departure
{
    std::string worker;
    std::optional<std::int64_t> incarnation; // nothing: not named
};

struct start_order
{
    task_id task;
    std::uint32_t run = 0;
    std::string payload;
    std::string checkpoint; // checkpoint to resume from, may be empty
    std::string ticket; // of the advice service, may be empty
};

struct stop_order
{
    task_id task;
    std::uint32_t run = 0;
};

// Limits the speed of a task to a percentage of its full speed.
struct pace_order
{
    task_id task;
    std::uint32_t run = 0;
    std::uint32_t percent = 100;
};

// Whether the node that answers a heartbeat can hold the answer back until there are orders.
enum class answer_mode : std::uint8_t { Immediate, MayBeHeld };

// Answer to a heartbeat. If it grants no lease, the worker starts nothing and extends no lease.
struct worker_orders
{
    std::int64_t leaseMs = 0; // counted from when the heartbeat was sent; 0: no lease
    std::uint64_t fencingToken = 0;
    std::optional<std::uint64_t> ackedUpTo; // ends up to this number are committed
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<pace_order> paces;
    std::int64_t retryMs = 0; // until the next heartbeat
    std::int64_t holdMs = 0; // the answer may be held for this time, until there are orders
};

// Orders for a worker, and the address to which it should send its next reports.
struct routed_orders
{
    worker_orders orders;
    std::string reportAddress;
};

} // namespace persimmon::batch
