#pragma once

#include "base/model.h"
#include "tools/task_host.h"
#include "wire/event_loop.h"

#include <memory>
#include <string>
#include <vector>

namespace persimmon::tools {

// A fleet of stand-in workers in one process.
struct fleet_options
{
    std::vector<std::string> entries; // IP:port of the entries; announcements go round robin
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
    milliseconds requestTime {0}; // time a proxied request takes
    std::uint32_t answerBytes = 0; // padding of an answer
    task_behaviour tasks;
};

// Announces stand-in workers, serves their proxied requests and follows their task orders.
// GET /standin/log lists requests executed and task events, POST /standin/set changes behaviour.
class fleet
{
public:
    static result<std::unique_ptr<fleet>> start(wire::event_loop &loop,
                                                const fleet_options &options);

    virtual ~fleet() = default;

    // Announces that all workers are leaving and calls back once every entry call has been
    // acknowledged or has failed.
    virtual void leave(std::function<void()> done) = 0;
};

} // namespace persimmon::tools
