#include "base/log.h"

#include <spdlog/sinks/stdout_sinks.h>

#include <mutex>
#include <string>

namespace persimmon {

std::shared_ptr<spdlog::logger> logFor(std::string_view component)
{
    // Lookup and registration are one critical section: if two threads registered the same logger,
    // the second registration would throw, and an exception in a continuation of the HTTP library
    // terminates the process.
    static std::mutex mutex;
    const std::scoped_lock lock(mutex);
    const std::string name(component);
    if (auto existing = spdlog::get(name))
        return existing;
    auto logger = spdlog::stderr_logger_mt(name);
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %n: %v");
    return logger;
}

void setLogLevel(std::string_view name)
{
    spdlog::set_level(spdlog::level::from_str(std::string(name)));
}

} // namespace persimmon
