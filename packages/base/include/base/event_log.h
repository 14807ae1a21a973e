#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace persimmon {

// Key and value of a structured log line.
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

// Writes one line "time_ms=... node=... event=NAME key=value ..." to standard output. Each event is
// limited to a number of lines per second; a later line "event=log.suppressed" reports how many
// were suppressed. Never blocks on output: when the bounded queue is full, the oldest lines are
// dropped, and "event=log.dropped" reports how many. Callable from any thread.
void logEvent(std::string_view event, std::initializer_list<log_field> fields);

// Sets the node name of all lines and starts the writer thread. Events logged before are discarded.
void startEventLog(const std::string &node, std::uint32_t linesPerSecond);

// Sets the limit of lines per second of each event.
void setEventLimit(std::uint32_t linesPerSecond);

// Writes the queued lines and stops the writer thread.
void stopEventLog();

} // namespace persimmon
