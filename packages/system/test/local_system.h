#pragma once

#include "process.h"

#include "base/clock.h"

#include <cpprest/json.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace persimmon::system_test {

struct http_response
{
    int status = 0; // 0: no response
    std::map<std::string, std::string> headers;
    std::string body;

    web::json::value json() const;
};

// Sends one request and waits for the response.
http_response call(const std::string &address, const std::string &method, const std::string &path,
                   const std::string &body = {},
                   const std::map<std::string, std::string> &headers = {},
                   milliseconds timeout = milliseconds {10000});

// Polls a condition until it holds. Returns false if the time limit expires first.
bool waitUntil(milliseconds timeout, const std::function<bool()> &condition);

// Control and entry processes with their settings in a temporary folder. The destructor kills the
// processes and removes the folder, unless PERSIMMON_KEEP is set.
class local_system
{
public:
    local_system(std::size_t controls, std::size_t entries);
    ~local_system();

    void startControl(std::size_t number);
    void startEntry(std::size_t number);
    void startAll();

    // Starts a stand-in fleet of upstreams that announce themselves to all entries. Returns its
    // process.
    process startUpstreams(const std::string &prefix, unsigned firstPort,
                           const std::vector<std::string> &arguments) const;

    // Runs persimmonctl and returns its exit code. lastOutput() returns its output.
    int runCtl(const std::vector<std::string> &arguments);
    const std::string &lastOutput() const { return lastOutput_; }

    // Writes a file in the folder and returns its path.
    std::string writeFile(const std::string &name, const std::string &text) const;

    // Applies tables and returns the exit code of persimmonctl.
    int applyTables(const std::string &tables);

    // Returns the number of the control process that is the leader, or -1.
    int leader() const;

    // Reserves consecutive ports of the system's block and returns the first.
    unsigned reservePorts(unsigned count);

    std::string controlAddress(std::size_t number) const;
    std::string entryAddress(std::size_t number) const;
    std::vector<std::string> entryAddresses() const;
    process &controlProcess(std::size_t number) { return controls_[number]; }
    process &entryProcess(std::size_t number) { return entries_[number]; }
    const std::string &folder() const { return folder_; }

private:
    void writeSettings() const;

    std::string folder_;
    unsigned nextPort_;
    unsigned firstPort_;
    std::vector<process> controls_;
    std::vector<process> entries_;
    std::string lastOutput_;
};

} // namespace persimmon::system_test
