#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "batch/model.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace persimmon::batch {

// A step of one occurrence of a job; advice holds for all its tasks.
struct step_key
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    friend auto operator<=>(const step_key &, const step_key &) = default;
};

step_key stepOf(const task_id &task);

// Permission of an outside service to run a step on a worker.
struct ticket
{
    std::string worker;
    std::string text;
};

// Asks the advice service which of the workers may run a step. One question at a time.
using ask_function = std::function<void(const step_key &, const std::vector<std::string> &workers,
                                        std::function<void(result<std::vector<ticket>>)>)>;

struct advised_worker
{
    std::string id;
    std::int64_t born = 0;
};

// What the advice service has said. An answer holds for one incarnation of a worker; a ticket also
// expires, a refusal doesn't.
class advice_book
{
public:
    // Returns the ticket of a worker for a step, or nullptr.
    const std::string *find(const step_key &step, const std::string &worker, std::int64_t born,
                            time_point now) const;

    // True if the service refused the worker, or if its ticket still holds.
    bool isKnown(const step_key &step, const std::string &worker, std::int64_t born,
                 time_point now) const;

    // Stores the answer to one question.
    void store(const step_key &step, const std::vector<advised_worker> &asked,
               const std::vector<ticket> &allowed, time_point until);

    // Drops all steps of jobs that the predicate doesn't want any more.
    void forget(const std::function<bool(const std::string &job)> &wanted);

private:
    struct entry
    {
        std::int64_t born = 0;
        std::string text; // empty: refused
        time_point until {};
    };

    const entry *findEntry(const step_key &step, const std::string &worker,
                           std::int64_t born) const;

    std::map<step_key, std::map<std::string, entry>> steps_;
};

} // namespace persimmon::batch
