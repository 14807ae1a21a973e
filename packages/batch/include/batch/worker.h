#pragma once

#include "batch/model.h"

#include <optional>

// What workers report and what they are told.
namespace persimmon::batch {

struct running_task
{
    task_id task;
    std::uint32_t run = 0;
    std::string saved; // newest checkpoint, may be empty
    std::uint32_t percent = 0;
    std::int64_t figure = 0; // of a task that serves users: tail of its response times in ms
};

struct ended_task
{
    std::uint64_t number = 0; // rises within one incarnation of the worker
    task_id task;
    std::uint32_t run = 0;
    end_kind kind = end_kind::Done;
    std::string saved;
};

// One heartbeat of a worker.
struct worker_report
{
    std::string id;
    std::int64_t born = 0; // incarnation: Unix milliseconds of the worker's start
    std::uint64_t sequence = 0; // rises with each heartbeat of an incarnation
    std::int64_t clockMs = 0; // steady clock of the worker at the sending; 0: not known
    std::string address; // where the worker serves; another incarnation there has replaced it
    std::string machine; // that the worker is one life of, empty: not known
    std::string pool;
    std::string zone;
    std::string rack;
    std::vector<std::string> labels;
    amount capacity;
    bool draining = false;
    std::optional<std::int64_t> remainingMs; // least time left while draining
    std::vector<running_task> running;
    std::vector<ended_task> ended;
};

struct start_order
{
    task_id task;
    std::uint32_t run = 0;
    std::string payload;
    std::string saved; // checkpoint to resume from, may be empty
    std::string ticket; // of the advice service, may be empty
};

struct stop_order
{
    task_id task;
    std::uint32_t run = 0;
};

// Lets a task work at a share of its speed.
struct pace_order
{
    task_id task;
    std::uint32_t run = 0;
    std::uint32_t percent = 100;
};

// Answer to a heartbeat. Without a lease nothing is started and no lease is extended.
struct worker_orders
{
    std::int64_t leaseMs = 0; // from the sending of the heartbeat; 0: none
    std::uint64_t fencingToken = 0;
    std::optional<std::uint64_t> seenUpTo; // ends up to here are durable
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<pace_order> paces;
    std::int64_t retryMs = 0; // until the next heartbeat
};

// Orders for a worker, and the address to which it should send its later reports.
struct routed_orders
{
    worker_orders orders;
    std::string reportTo;
};

} // namespace persimmon::batch
