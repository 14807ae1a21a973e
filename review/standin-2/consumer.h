#pragma once
// Stand-ins of a consumer and of the operator.

#include "net.h"
#include "record.h"

#include <string>
#include <vector>

namespace standin {

struct step
{
    int count = 1;
    int cpu = 1000;
    int memory = 512;
    int gpu = 1;
    int estimateMs = 5000;
    bool lasts = false;
    std::string label = {}; // that the worker must have
    int dependsOn = -1;
};

class consumer
{
public:
    consumer(record &log, std::string key);

    // Body of a submission.
    static std::string job(const std::string &spec, const std::vector<step> &steps);

    headers fields(const std::string &host) const;

    // One attempt, 3 s at most. Returns the status, or 0 without an answer.
    int submit(const std::string &gateway, const std::string &path, const std::string &body);
    int cancel(const std::string &gateway, const std::string &path);
    // Returns "queued", ..., or the status as text, or "none".
    std::string state(const std::string &gateway, const std::string &path);
    // Returns `pending`, or -1.
    int pending(const std::string &gateway, const std::string &prefix);

private:
    record &log_;
    std::string key_;
};

struct route
{
    std::string name;
    std::string prefix;
    int priority = 1;
    int attempts = 3;
};

inline constexpr auto host = "jobs.example";

// Sends a configuration with some routes of the service "pool" and two tenants, with the keys
// "key-one" and "key-two", until it is acknowledged. Returns false if it isn't in 20 s.
bool configure(record &log, const std::string &control, int version,
               const std::vector<route> &routes);

} // namespace standin
