#include "base/log.h"

#include <spdlog/sinks/stdout_sinks.h>

#include <string>

namespace persimmon {

std::shared_ptr<spdlog::logger> logFor(std::string_view part)
{
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
