#include "base/event_log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <chrono>
#include <map>
#include <mutex>

namespace persimmon {

namespace {

constexpr std::size_t queueLines = 2048;

struct event_budget
{
    std::int64_t second = 0;
    std::uint32_t written = 0;
    std::uint64_t suppressed = 0;
};

struct writer
{
    std::mutex mutex;
    std::string node;
    std::uint32_t limit = 0;
    std::size_t dropped = 0; // lines that the queue could not take, as last reported
    std::shared_ptr<spdlog::details::thread_pool> pool;
    std::shared_ptr<spdlog::async_logger> logger;
    std::map<std::string, event_budget, std::less<>> budgets;
};

writer &instance()
{
    static writer value;
    return value;
}

bool needsQuotes(std::string_view text)
{
    return text.empty() || text.find_first_of(" =\"\n\r\t") != std::string_view::npos;
}

void append(std::string &line, std::string_view name, std::string_view text)
{
    line += ' ';
    line += name;
    line += '=';
    if (!needsQuotes(text)) {
        line += text;
        return;
    }
    line += '"';
    for (const char c : text) {
        if (c == '"' || c == '\\')
            line += '\\';
        line += c == '\n' || c == '\r' ? ' ' : c;
    }
    line += '"';
}

std::string prefix(const writer &target, std::string_view event)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    std::string line = "time_ms="
            + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    append(line, "node", target.node);
    append(line, "event", event);
    return line;
}

void reportDropped(writer &target)
{
    const auto dropped = target.pool->overrun_counter();
    if (dropped == target.dropped)
        return;
    auto line = prefix(target, "log.dropped");
    append(line, "lines", std::to_string(dropped - target.dropped));
    target.dropped = dropped;
    target.logger->info(line);
}

// Returns whether a line of the event may be written now.
bool takeBudget(writer &target, std::string_view event)
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(now).count();
    auto found = target.budgets.find(event);
    if (found == target.budgets.end())
        found = target.budgets.emplace(std::string(event), event_budget {}).first;
    auto &budget = found->second;
    if (budget.second != second) {
        reportDropped(target);
        if (budget.suppressed > 0) {
            auto line = prefix(target, "log.suppressed");
            append(line, "of", event);
            append(line, "lines", std::to_string(budget.suppressed));
            target.logger->info(line);
        }
        budget = {second, 0, 0};
    }
    if (budget.written < target.limit) {
        ++budget.written;
        return true;
    }
    ++budget.suppressed;
    return false;
}

} // namespace

void logEvent(std::string_view event, std::initializer_list<log_field> fields)
{
    auto &target = instance();
    const std::scoped_lock lock(target.mutex);
    if (!target.logger || !takeBudget(target, event))
        return;
    auto line = prefix(target, event);
    for (const auto &field : fields)
        append(line, field.name, field.text);
    target.logger->info(line);
}

void startEventLog(const std::string &node, std::uint32_t linesPerSecond)
{
    auto &target = instance();
    const std::scoped_lock lock(target.mutex);
    target.node = node;
    target.limit = linesPerSecond;
    if (target.logger)
        return;
    target.budgets.clear();
    target.dropped = 0;
    target.pool = std::make_shared<spdlog::details::thread_pool>(queueLines, 1);
    target.logger = std::make_shared<spdlog::async_logger>(
            "events", std::make_shared<spdlog::sinks::stdout_sink_mt>(), target.pool,
            spdlog::async_overflow_policy::overrun_oldest);
    target.logger->set_pattern("%v");
    target.logger->set_level(spdlog::level::info);
    target.logger->flush_on(spdlog::level::info);
}

void setEventLimit(std::uint32_t linesPerSecond)
{
    auto &target = instance();
    const std::scoped_lock lock(target.mutex);
    target.limit = linesPerSecond;
}

void stopEventLog()
{
    auto &target = instance();
    const std::scoped_lock lock(target.mutex);
    target.logger = nullptr;
    target.pool = nullptr; // joins the writer's thread after the queue is empty
}

} // namespace persimmon
