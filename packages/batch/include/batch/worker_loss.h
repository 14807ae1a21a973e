#pragma once

#include "base/clock.h"
#include "batch/ledger.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon::batch {

// How a worker with active runs was found to be lost.
enum class loss_evidence : std::uint8_t {
    Silent, // its lease has expired without a heartbeat
    Restarted, // a newer incarnation reports under its id
    Replaced, // a newer worker reports from its address
    Left, // it was draining or has announced its departure
};

std::string_view toName(loss_evidence evidence);

// A lost worker and the runs that were active on it.
struct worker_loss
{
    std::string worker;
    std::int64_t incarnation = 0;
    loss_evidence evidence = loss_evidence::Silent;
    time_point lastHeartbeat {}; // or when the term began, if `heard` is false
    bool heard = true; // this incarnation has reported to this leader
    std::vector<assignment> runs;
    std::vector<assignment> suspects; // of them, those that may have crashed the worker
    std::size_t unreportedRuns = 0; // of them, those that the worker had not reported as running

    // For how long the youngest suspect was running, of those under which a worker was lost before
    // if there are any. Nothing if this leader doesn't know.
    std::optional<milliseconds> suspectAge;

    std::set<std::string> jobs() const; // of all runs
    bool isIdle() const { return runs.empty(); }
};

// Logs a lost worker and the inferred end of each of its runs.
void logLoss(const worker_loss &loss, time_point now);

} // namespace persimmon::batch
