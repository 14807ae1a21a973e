#include "base/event_log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <chrono>
#include <map>
#include <mutex>

namespace persimmon {

namespace {

constexpr std::size_t queueCapacityLines = 2048;

struct event_budget
{
    std::uint32_t written = 0; // in the current second
    std::uint64_t suppressed = 0;
};

struct event_writer
{
    std::mutex mutex;
    std::string node;
    std::uint32_t limit = 0;
    std::size_t reportedDropped = 0; // overrun counter of the queue at the last log.dropped line
    std::shared_ptr<spdlog::details::thread_pool> pool;
    std::shared_ptr<spdlog::async_logger> logger;
    std::int64_t second = 0; // the current second, in which the budgets apply
    std::map<std::string, event_budget, std::less<>> budgets;
};

event_writer &instance()
{
    static event_writer value;
    return value;
}

bool needsQuotes(std::string_view text)
{
    return text.empty() || text.find_first_of(" =\"\n\r\t") != std::string_view::npos;
}

void appendField(std::string &line, std::string_view name, std::string_view text)
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

std::string linePrefix(const event_writer &target, std::string_view event)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    std::string line = "time_ms="
            + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    appendField(line, "node", target.node);
    appendField(line, "event", event);
    return line;
}

void reportDropped(event_writer &target)
{
    const auto dropped = target.pool->overrun_counter();
    if (dropped == target.reportedDropped)
        return;
    auto line = linePrefix(target, "log.dropped");
    appendField(line, "lines", std::to_string(dropped - target.reportedDropped));
    target.reportedDropped = dropped;
    target.logger->info(line);
}

// Logs how many lines of each event were suppressed, and renews the budgets.
void reportSuppressed(event_writer &target)
{
    for (auto &[event, budget] : target.budgets) {
        if (budget.suppressed > 0) {
            auto line = linePrefix(target, "log.suppressed");
            appendField(line, "of", event);
            appendField(line, "lines", std::to_string(budget.suppressed));
            target.logger->info(line);
        }
        budget = {};
    }
}

// Returns whether the event's limit allows another line, and counts it. In a new second, first
// logs the lines that were dropped or suppressed before, of all events.
bool consumeBudget(event_writer &target, std::string_view event)
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(now).count();
    if (target.second != second) {
        target.second = second;
        reportDropped(target);
        reportSuppressed(target);
    }
    auto found = target.budgets.find(event);
    if (found == target.budgets.end())
        found = target.budgets.emplace(std::string(event), event_budget {}).first;
    auto &budget = found->second;
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
    if (!target.logger || !consumeBudget(target, event))
        return;
    auto line = linePrefix(target, event);
    for (const auto &field : fields)
        appendField(line, field.name, field.text);
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
    target.reportedDropped = 0;
    target.pool = std::make_shared<spdlog::details::thread_pool>(queueCapacityLines, 1);
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
    if (target.logger)
        reportSuppressed(target);
    target.logger = nullptr;
    target.pool = nullptr; // joins the writer thread after it has written the queued lines
}

} // namespace persimmon
