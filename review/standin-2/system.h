#pragma once
// Starts the project's programs with the commands of the deploy file, on loopback addresses of
// their own.

#include "record.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace standin {

struct process
{
    std::string name;
    std::string ip;
    std::string address; // `control` of a scheduler, `front` of a gateway
    std::string settings;
    std::vector<std::string> command;
    pid_t pid = -1;
};

// A small deployment. Ends all of its processes and removes its folder when it is destroyed.
class small_system
{
public:
    small_system(record &log, int schedulers, int gateways);
    small_system(const small_system &) = delete;
    small_system &operator=(const small_system &) = delete;
    ~small_system();

    // Starts all processes and waits until each gateway is ready. Returns false if they aren't in
    // time.
    bool start();

    std::vector<process> schedulers;
    std::vector<process> gateways;

    std::vector<std::string> controlAddresses() const;

    // Sends a signal to a process that this deployment started, and records it.
    void signal(process &to, int number);

    // Starts a process again that has ended.
    void restart(process &item);

    // Returns the scheduler that says that it leads, or nullptr.
    process *leader();

private:
    void launch(process &item);
    void writeSettings(process &item, bool isScheduler, bool first) const;

    record &log_;
    std::string folder_;
    std::string seeds_;
    std::string net_; // the first three parts of all addresses
};

} // namespace standin
