#include "base/log.h"

#include <spdlog/sinks/stdout_sinks.h>

#include <mutex>
#include <string>

namespace persimmon {

std::shared_ptr<spdlog::logger> logFor(std::string_view part)
{
    // Two threads that both find no logger would both register one, and the second registration
    // throws; in a continuation of the HTTP library that ends the process.
    static std::mutex mutex;
    const std::scoped_lock lock(mutex);
    const std::string name(part);
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
