#pragma once

#include "base/model.h"
#include "tools/task_host.h"
#include "wire/event_loop.h"

#include <memory>
#include <string>
#include <vector>

namespace persimmon::tools {

// Options of a fleet of stand-in workers in one process.
struct fleet_options
{
    std::vector<std::string> entries; // IP:port; announcements are sent to them round robin
    std::string idPrefix = "worker";
    std::uint32_t count = 1;
    std::uint32_t firstPort = 9000;
    bool sharedListener = false; // one listener for all workers, for large fleets
    std::string pool = "default";
    std::string region = "region-1";
    std::string zone = "a";
    std::uint32_t workersPerRack = 8;
    std::uint32_t slots = 8;
    std::uint32_t connections = 60;
    resources capacity {8, 128, 524288};
    milliseconds requestTime {0}; // processing time of a proxied request
    std::uint32_t answerBytes = 0; // length of the padding in each answer
    task_behaviour tasks;
};

// Announces stand-in workers, serves their proxied requests and executes their task orders.
// GET /standin/log lists the executed requests and the task events; POST /standin/set changes the
// behaviour of all workers.
class fleet
{
public:
    static result<std::unique_ptr<fleet>> start(wire::event_loop &loop,
                                                const fleet_options &options);

    virtual ~fleet() = default;

    // Announces that all workers are leaving. Calls back once an entry has acknowledged this for
    // each of them; a failed announcement is sent again.
    virtual void leave(std::function<void()> done) = 0;
};

} // namespace persimmon::tools
