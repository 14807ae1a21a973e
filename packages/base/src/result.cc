#include "base/result.h"

#include <algorithm>
#include <array>

namespace persimmon {

namespace {

using enum result_code;

constexpr std::array codeTable {
        result_code_info {Ok, "ok", 200, 0, false, "success"},
        result_code_info {MalformedRequest, "malformed_request", 400, 2, false,
                          "the request can't be parsed"},
        result_code_info {UnknownField, "unknown_field", 400, 2, false,
                          "the request has a field that is not known"},
        result_code_info {InvalidValue, "invalid_value", 400, 2, false,
                          "a field is out of its range"},
        result_code_info {MissingField, "missing_field", 400, 2, false,
                          "a required field is missing"},
        result_code_info {UnknownWorkspace, "unknown_workspace", 403, 3, false,
                          "the workspace is not configured"},
        result_code_info {NoRoute, "no_route", 404, 3, false, "no route matches the request"},
        result_code_info {BodyTooLarge, "body_too_large", 413, 2, false,
                          "the body is over the limit"},
        result_code_info {HeadersTooLarge, "headers_too_large", 431, 2, false,
                          "the header fields are over the limit"},
        result_code_info {KeyRequired, "key_required", 400, 2, false,
                          "the route needs an Idempotency-Key"},
        result_code_info {NotFound, "not_found", 404, 3, false, "the object does not exist"},
        result_code_info {KeyReused, "key_reused", 422, 2, false,
                          "the key was used for another request"},
        result_code_info {AmbiguousFraming, "ambiguous_framing", 400, 2, false,
                          "the body length is ambiguous"},
        result_code_info {HostRequired, "host_required", 400, 2, false,
                          "the request has no Host field"},
        result_code_info {RequestTimeout, "request_timeout", 408, 10, true,
                          "the request did not arrive in time"},
        result_code_info {Overloaded, "overloaded", 503, 10, true, "queues are full"},
        result_code_info {QuotaExceeded, "quota_exceeded", 429, 10, true,
                          "the workspace is over its quota"},
        result_code_info {ShapeImpossible, "shape_impossible", 422, 11, false,
                          "no pool can ever hold the shape"},
        result_code_info {DeadlineExceeded, "deadline_exceeded", 504, 10, true,
                          "the deadline passed before dispatch"},
        result_code_info {NoUpstream, "no_upstream", 503, 10, true,
                          "no upstream of the pool is available"},
        result_code_info {InProgress, "in_progress", 409, 10, true, "the same key is in progress"},
        result_code_info {NotReady, "not_ready", 503, 10, true, "the instance is not ready"},
        result_code_info {Stopping, "stopping", 503, 10, true, "the instance is shutting down"},
        result_code_info {CannotRun, "cannot_run", 422, 11, false,
                          "the job failed on distinct healthy workers"},
        result_code_info {Cancelled, "cancelled", 409, 11, false, "the job was cancelled"},
        result_code_info {UpstreamUnreachable, "upstream_unreachable", 502, 10, true,
                          "no upstream accepted the connection"},
        result_code_info {OutcomeUnknown, "outcome_unknown", 502, 12, false,
                          "the request may have run"},
        result_code_info {AnswerIncomplete, "answer_incomplete", 502, 12, false,
                          "the answer was cut"},
        result_code_info {VersionConflict, "version_conflict", 412, 20, false,
                          "the tables have another version"},
        result_code_info {GuaranteeUnbindable, "guarantee_unbindable", 422, 21, false,
                          "guarantees don't fit the pools"},
        result_code_info {InvalidTable, "invalid_table", 422, 22, false, "the tables are invalid"},
        result_code_info {InvalidSettings, "invalid_settings", 500, 23, false,
                          "the settings are invalid"},
        result_code_info {UsageError, "usage_error", 400, 24, false, "the command line is invalid"},
        result_code_info {NotLeader, "not_leader", 503, 30, true, "another voter is the leader"},
        result_code_info {NoQuorum, "no_quorum", 503, 31, true, "no quorum of voters is reachable"},
        result_code_info {StorageFailed, "storage_failed", 500, 32, false,
                          "a file operation failed"},
        result_code_info {CorruptFile, "corrupt_file", 500, 33, false,
                          "a file failed its checksum"},
        result_code_info {RpcFailed, "rpc_failed", 503, 34, true, "a remote call failed"},
        result_code_info {Timeout, "timeout", 504, 35, true, "the operation timed out"},
        result_code_info {Internal, "internal", 500, 70, false, "an invariant does not hold"},
};

} // namespace

std::span<const result_code_info> resultCodes()
{
    return codeTable;
}

const result_code_info &describe(result_code code)
{
    const auto found = std::ranges::find(codeTable, code, &result_code_info::code);
    return found == codeTable.end() ? codeTable.back() : *found;
}

} // namespace persimmon
