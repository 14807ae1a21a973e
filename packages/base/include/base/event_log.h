#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace persimmon {

// One key of a structured log line.
struct log_field
{
    template <typename Value>
    log_field(std::string_view key, const Value &content)
        : name(key)
    {
        if constexpr (std::is_convertible_v<Value, std::string_view>)
            text = std::string(std::string_view(content));
        else
            text = std::to_string(content);
    }

    std::string_view name;
    std::string text;
};

// Writes one line "time=... node=... event=NAME key=value ..." to standard output. Each event has a
// limit of lines a second; a line "event=log.suppressed" later tells how many were left out. Never
// blocks: lines that the bounded queue can't take are dropped, and "event=log.dropped" counts them.
// Callable from any thread.
void logEvent(std::string_view event, std::initializer_list<log_field> fields);

// Names this process in all lines, and starts the writer. Without it nothing is written.
void startEventLog(const std::string &node, std::uint32_t linesPerSecond);

// Changes the limit of lines a second of each event.
void setEventLimit(std::uint32_t linesPerSecond);

// Writes what is queued and stops.
void stopEventLog();

} // namespace persimmon
