#pragma once

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace persimmon {

// Numbered result codes shared by all programs. The numbers are part of the public interface and
// never change meaning; docs/result-codes.md lists them and a test compares the two.
enum class result_code : std::uint16_t {
    Ok = 0,
    MalformedRequest = 1001,
    UnknownField = 1002,
    InvalidValue = 1003,
    MissingField = 1004,
    UnknownWorkspace = 1005,
    NoRoute = 1006,
    BodyTooLarge = 1007,
    HeadersTooLarge = 1008,
    KeyRequired = 1009,
    NotFound = 1010,
    KeyReused = 1011,
    AmbiguousFraming = 1012,
    HostRequired = 1013,
    RequestTimeout = 1014,
    Overloaded = 2001,
    QuotaExceeded = 2002,
    ShapeImpossible = 2003,
    DeadlineExceeded = 2004,
    NoUpstream = 2005,
    InProgress = 2006,
    NotReady = 2007,
    Stopping = 2008,
    CannotRun = 2009,
    Cancelled = 2010,
    UpstreamUnreachable = 3001,
    OutcomeUnknown = 3002,
    AnswerIncomplete = 3003,
    VersionConflict = 4001,
    GuaranteeUnbindable = 4002,
    InvalidTable = 4003,
    InvalidSettings = 4004,
    UsageError = 4005,
    NotLeader = 5001,
    NoQuorum = 5002,
    StorageFailed = 5003,
    CorruptFile = 5004,
    RpcFailed = 5005,
    Timeout = 5006,
    Internal = 5007,
};

// Describes one result code: its stable name, the HTTP status and process exit code that carry it,
// and whether the same call can succeed later without a change.
struct result_code_info
{
    result_code code;
    std::string_view name;
    int httpStatus;
    int exitCode;
    bool retryable;
    std::string_view text;
};

// Returns all result codes in ascending order.
std::span<const result_code_info> resultCodes();

// Returns the description of a code. Unknown numbers map to Internal.
const result_code_info &describe(result_code code);

// Error of an operation: the result code, a human-readable detail, the invalid field (may be empty)
// and the delay before a retry (zero: unspecified).
struct error
{
    result_code code = result_code::Internal;
    std::string detail;
    std::string field;
    std::chrono::milliseconds retryAfter {0};

    friend bool operator==(const error &, const error &) = default;
};

// Value or error of an operation.
template <typename Value>
using result = std::variant<Value, error>;

// Result of an operation without a value.
using status = std::variant<std::monostate, error>;

template <typename Value>
bool failed(const std::variant<Value, error> &outcome)
{
    return std::holds_alternative<error>(outcome);
}

// Returns the error of a failed result. The result must have failed.
template <typename Value>
const error &errorOf(const std::variant<Value, error> &outcome)
{
    return std::get<error>(outcome);
}

// Returns the value of a result. The result must not have failed.
template <typename Value>
Value &valueOf(std::variant<Value, error> &outcome)
{
    return std::get<Value>(outcome);
}

template <typename Value>
const Value &valueOf(const std::variant<Value, error> &outcome)
{
    return std::get<Value>(outcome);
}

} // namespace persimmon
