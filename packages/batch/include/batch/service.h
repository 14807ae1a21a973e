#pragma once

#include "batch/controller.h"

namespace persimmon::batch {

// Names the queue and the caller of a request: a host with a path below a queue's prefix, and the
// key that the caller showed.
struct caller
{
    std::string_view host;
    std::string_view path;
    std::string_view key;
};

// Queues and operators' configuration on the leader. Every answer follows from committed state.
class service
{
public:
    template <typename Value>
    using callback = std::function<void(result<Value>)>;

    service(const ledger &state, controller &workers, propose_function propose);

    // Accepts a job under the id that ends the caller's path; the same id is accepted again without
    // effect. Fails with NotReady before the first configuration, NoRoute, UnknownWorkspace for an
    // unknown key, InvalidValue, or OutcomeUnknown when the commit got no clear result.
    void submit(std::int64_t wallMs, const caller &from, job_spec spec,
                std::function<void(status)> done);

    // Returns the state of a job. Fails like submit(), or with NotFound.
    void find(const caller &from, callback<job_state> done);

    // Cancels a job; one that has ended stays as it is. Fails like find().
    void cancel(std::int64_t wallMs, const caller &from, const std::function<void(status)> &done);

    // Returns how many accepted jobs of the queue have not begun. Fails like submit().
    void countWaiting(const caller &from, const callback<std::size_t> &done);

    // Puts a configuration in force. One that is not newer is accepted without effect. Fails with
    // InvalidTable, or OutcomeUnknown.
    void configure(configuration value, std::function<void(status)> done);

    // Returns the configuration in force as the operator sent it. Fails with NotReady or Timeout.
    void readConfiguration(callback<std::string> done);

    // Plans a wave of upkeep; the same id is accepted again without effect. Fails with
    // InvalidValue, or OutcomeUnknown.
    void startWave(std::int64_t wallMs, wave value, std::function<void(status)> done);

    // Returns whether the upkeep of all machines of a wave has begun. Fails with NotFound, NotReady
    // or Timeout.
    void findWave(std::uint64_t id, callback<bool> done);

    // Explains a job in one line for operators. Fails with NotFound.
    result<std::string> explain(const std::string &id) const;

private:
    struct route
    {
        const queue *found = nullptr;
        std::string tenant;
        std::string id; // rest of the path; empty: the queue itself
    };

    result<route> resolve(const caller &from) const;
    void afterBarrier(std::function<void(status)> done);

    const ledger &state_;
    controller &workers_;
    propose_function propose_;
};

// Lists what is wrong with a configuration. Fails with InvalidTable.
status checkConfiguration(const configuration &value);

// Fails with InvalidValue when a job's steps contradict each other.
status checkJob(const job_spec &spec);

} // namespace persimmon::batch
