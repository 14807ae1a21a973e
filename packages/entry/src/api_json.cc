#include "api_json.h"

#include <cpprest/json.h>

#include <algorithm>
#include <limits>
#include <optional>

namespace persimmon::entry {

namespace {

using web::json::value;

error fieldError(result_code code, std::string detail, std::string_view field)
{
    return {code, std::move(detail), std::string(field), {}};
}

// Reads the fields of one JSON object and keeps the first error.
class object_reader
{
public:
    // The prefix identifies the object in errors, such as "tasks[2].".
    object_reader(const value &source, std::string prefix)
        : source_(source)
        , prefix_(std::move(prefix))
    {
        if (!source.is_object())
            fail(result_code::MalformedRequest, "must be an object", "");
    }

    // Refuses fields that are not in the list, and duplicate fields.
    void allowOnly(std::span<const std::string_view> names)
    {
        if (failed())
            return;
        std::vector<std::string_view> seen;
        for (const auto &[name, item] : source_.as_object()) {
            if (std::ranges::find(names, name) == names.end())
                return fail(result_code::UnknownField, "unknown field", name);
            if (std::ranges::find(seen, name) != seen.end())
                return fail(result_code::MalformedRequest, "duplicate field", name);
            seen.push_back(name);
        }
    }

    std::string text(std::string_view name, bool required, std::size_t maxLength)
    {
        const auto *item = find(name, required);
        if (item == nullptr)
            return {};
        if (!item->is_string() || (required && item->as_string().empty())
            || item->as_string().size() > maxLength) {
            fail(result_code::InvalidValue,
                 std::string("must be a string of ") + (required ? "1" : "0") + " to "
                         + std::to_string(maxLength) + " bytes",
                 name);
            return {};
        }
        return item->as_string();
    }

    std::uint64_t number(std::string_view name, bool required, std::uint64_t low,
                         std::uint64_t high, std::uint64_t defaultValue)
    {
        const auto *item = find(name, required);
        if (item == nullptr)
            return defaultValue;
        if (!item->is_number() || !item->as_number().is_uint64()
            || item->as_number().to_uint64() < low || item->as_number().to_uint64() > high) {
            fail(result_code::InvalidValue,
                 "must be an integer from " + std::to_string(low) + " to " + std::to_string(high),
                 name);
            return defaultValue;
        }
        return item->as_number().to_uint64();
    }

    std::uint32_t number32(std::string_view name, bool required, std::uint32_t low,
                           std::uint32_t high, std::uint32_t defaultValue)
    {
        return static_cast<std::uint32_t>(number(name, required, low, high, defaultValue));
    }

    bool flag(std::string_view name, bool defaultValue)
    {
        const auto *item = find(name, false);
        if (item == nullptr)
            return defaultValue;
        if (!item->is_boolean()) {
            fail(result_code::InvalidValue, "must be true or false", name);
            return defaultValue;
        }
        return item->as_bool();
    }

    template <typename Enum>
    Enum enumerator(std::string_view name, bool required, result<Enum> (*parse)(std::string_view),
                    Enum defaultValue)
    {
        const auto *item = find(name, required);
        if (item == nullptr)
            return defaultValue;
        const auto parsed = parse(item->is_string() ? item->as_string() : std::string());
        if (persimmon::failed(parsed)) {
            fail(result_code::InvalidValue, errorOf(parsed).detail, name);
            return defaultValue;
        }
        return valueOf(parsed);
    }

    const value *find(std::string_view name, bool required)
    {
        if (failed())
            return nullptr;
        const auto &object = source_.as_object();
        const auto found = object.find(std::string(name));
        if (found != object.end())
            return &found->second;
        if (required)
            fail(result_code::MissingField, "missing field", name);
        return nullptr;
    }

    void fail(result_code code, std::string detail, std::string_view field)
    {
        if (!firstError_)
            firstError_ = fieldError(code, std::move(detail), prefix_ + std::string(field));
    }

    bool failed() const { return firstError_.has_value(); }
    const error &firstError() const { return *firstError_; }

private:
    const value &source_;
    std::string prefix_;
    std::optional<error> firstError_;
};

constexpr std::uint32_t maxNumber = std::numeric_limits<std::uint32_t>::max();
constexpr std::size_t maxNameLength = 200;
// No limit of its own: the body limit of the listener is lower.
constexpr std::size_t maxTextLength = std::numeric_limits<std::uint32_t>::max();
constexpr std::size_t maxReports = 1024;

result<value> parseBody(std::string_view body)
{
    std::error_code code;
    auto parsed = value::parse(std::string(body), code);
    if (code)
        return fieldError(result_code::MalformedRequest, "the body is not valid JSON", "");
    if (!parsed.is_object())
        return fieldError(result_code::MalformedRequest, "the body must be a JSON object", "");
    return parsed;
}

result<task_report> readReport(const value &source, const announcement &announced,
                               std::size_t index)
{
    static constexpr std::array<std::string_view, 7> fields {"job",   "attempt", "index", "token",
                                                             "state", "result",  "usage"};
    object_reader reader(source, "tasks[" + std::to_string(index) + "].");
    reader.allowOnly(fields);
    constexpr auto any = std::numeric_limits<std::uint64_t>::max();
    task_report report;
    report.upstream = announced.id;
    report.incarnation = announced.incarnation;
    report.task.job = static_cast<job_id>(reader.number("job", true, 1, any, 0));
    report.task.attempt = reader.number32("attempt", true, 0, maxNumber, 0);
    report.task.index = reader.number32("index", true, 0, maxGangTasks - 1, 0);
    report.task.token = reader.number("token", true, 0, any, 0);
    report.state = reader.enumerator("state", true, &taskStateFromName, task_state::Prepared);
    report.result = reader.text("result", false, maxTextLength);
    report.usagePercent = reader.number32("usage", false, 0, maxNumber, 0);
    if (reader.failed())
        return reader.firstError();
    return report;
}

value toJson(const decision_record &record)
{
    auto item = value::object();
    item["kind"] = value::string(std::string(toName(record.kind)));
    item["at_ms"] = value::number(static_cast<std::int64_t>(record.at.count()));
    item["reason"] = value::string(std::string(toName(record.reason)));
    item["code"] = value::number(static_cast<std::uint32_t>(record.code));
    item["other"] = value::number(toNumber(record.other));
    item["detail"] = value::string(record.detail);
    return item;
}

value toJson(const task_order &order, milliseconds lease)
{
    auto item = value::object();
    item["job"] = value::number(toNumber(order.task.job));
    item["attempt"] = value::number(order.task.attempt);
    item["index"] = value::number(order.task.index);
    item["token"] = value::number(order.task.token);
    item["action"] = value::string(std::string(toName(order.action)));
    item["lease_ms"] = value::number(static_cast<std::int64_t>(lease.count()));
    item["payload"] = value::string(order.payload);
    return item;
}

value results(const job_view &job)
{
    auto list = value::array(job.results.size());
    for (std::size_t index = 0; index < job.results.size(); ++index)
        list[index] = value::string(job.results[index]);
    return list;
}

} // namespace

result<job_spec> parseJob(std::string_view body)
{
    static constexpr std::array<std::string_view, 10> fields {
            "workspace",    "pool",   "class",     "tasks",
            "accelerators", "cores",  "memory_mb", "declared_seconds",
            "repeatable",   "payload"};
    const auto parsed = parseBody(body);
    if (failed(parsed))
        return errorOf(parsed);
    object_reader reader(valueOf(parsed), "");
    reader.allowOnly(fields);
    job_spec spec;
    spec.workspace = reader.text("workspace", true, maxNameLength);
    spec.pool = reader.text("pool", false, maxNameLength);
    spec.priority = reader.enumerator("class", false, &priorityFromName, priority_class::Standard);
    spec.tasks = reader.number32("tasks", false, 1, maxGangTasks, 1);
    // A resource that a task does not need is omitted; 0 is refused.
    spec.task.accelerators = reader.number32("accelerators", false, 1, maxNumber, 0);
    spec.task.cores = reader.number32("cores", false, 1, maxNumber, 0);
    spec.task.memoryMb = reader.number32("memory_mb", false, 1, maxNumber, 0);
    spec.declaredSeconds = reader.number32("declared_seconds", false, 1, maxNumber, 0);
    spec.repeatable = reader.flag("repeatable", true);
    spec.payload = reader.text("payload", false, maxTextLength);
    if (!reader.failed() && spec.task == resources {})
        reader.fail(result_code::MissingField, "a task needs accelerators, cores or memory_mb",
                    "accelerators");
    if (reader.failed())
        return reader.firstError();
    return spec;
}

result<announce_message> parseAnnouncement(std::string_view body)
{
    static constexpr std::array<std::string_view, 14> fields {
            "id",    "incarnation", "address",      "pool",  "region",    "zone",  "rack",
            "slots", "connections", "accelerators", "cores", "memory_mb", "state", "tasks"};
    const auto parsed = parseBody(body);
    if (failed(parsed))
        return errorOf(parsed);
    object_reader reader(valueOf(parsed), "");
    reader.allowOnly(fields);
    announce_message message;
    auto &announced = message.announced;
    announced.id = reader.text("id", true, maxNameLength);
    announced.incarnation
            = reader.number("incarnation", true, 1, std::numeric_limits<std::uint64_t>::max(), 0);
    announced.address = reader.text("address", true, maxNameLength);
    announced.pool = reader.text("pool", true, maxNameLength);
    announced.place.region = reader.text("region", false, maxNameLength);
    announced.place.zone = reader.text("zone", false, maxNameLength);
    announced.place.rack = reader.text("rack", false, maxNameLength);
    announced.slots = reader.number32("slots", false, 0, maxNumber, 0);
    announced.connections = reader.number32("connections", false, 0, maxNumber, 0);
    announced.capacity.accelerators = reader.number32("accelerators", false, 0, maxNumber, 0);
    announced.capacity.cores = reader.number32("cores", false, 0, maxNumber, 0);
    announced.capacity.memoryMb = reader.number32("memory_mb", false, 0, maxNumber, 0);
    announced.state
            = reader.enumerator("state", true, &upstreamStateFromName, upstream_state::Serving);
    if (!reader.failed() && announced.state == upstream_state::Gone)
        reader.fail(result_code::InvalidValue, "must be serving or leaving", "state");
    const auto *tasks = reader.find("tasks", false);
    if (tasks != nullptr && (!tasks->is_array() || tasks->size() > maxReports))
        reader.fail(result_code::InvalidValue,
                    "must be a list of up to " + std::to_string(maxReports) + " tasks", "tasks");
    if (reader.failed())
        return reader.firstError();
    for (std::size_t index = 0; tasks != nullptr && index < tasks->size(); ++index) {
        auto report = readReport(tasks->at(index), announced, index);
        if (failed(report))
            return errorOf(report);
        message.reports.push_back(std::move(valueOf(report)));
    }
    return message;
}

std::string formatAnnounceReply(const announce_reply &reply)
{
    auto body = value::object();
    body["lease_ms"] = value::number(static_cast<std::int64_t>(reply.upstreamLease.count()));
    body["next_ms"] = value::number(static_cast<std::int64_t>(reply.next.count()));
    auto orders = value::array(reply.orders.size());
    for (std::size_t index = 0; index < reply.orders.size(); ++index)
        orders[index] = toJson(reply.orders[index], reply.taskLease);
    body["orders"] = orders;
    return body.serialize();
}

std::string formatJobId(job_id id)
{
    auto body = value::object();
    body["id"] = value::number(toNumber(id));
    return body.serialize();
}

std::string formatJob(const job_view &job)
{
    auto body = value::object();
    body["id"] = value::number(toNumber(job.id));
    body["state"] = value::string(std::string(toName(job.state)));
    body["attempt"] = value::number(job.attempt);
    body["workspace"] = value::string(job.spec.workspace);
    body["pool"] = value::string(job.spec.pool);
    body["class"] = value::string(std::string(toName(job.spec.priority)));
    body["tasks"] = value::number(job.spec.tasks);
    body["accelerators"] = value::number(job.spec.task.accelerators);
    body["cores"] = value::number(job.spec.task.cores);
    body["memory_mb"] = value::number(job.spec.task.memoryMb);
    body["declared_seconds"] = value::number(job.spec.declaredSeconds);
    body["repeatable"] = value::boolean(job.spec.repeatable);
    body["code"] = value::number(static_cast<std::uint32_t>(job.code));
    auto records = value::array(job.records.size());
    for (std::size_t index = 0; index < job.records.size(); ++index)
        records[index] = toJson(job.records[index]);
    body["records"] = records;
    return body.serialize();
}

std::string formatJobResult(const job_view &job)
{
    auto body = value::object();
    body["id"] = value::number(toNumber(job.id));
    body["state"] = value::string(std::string(toName(job.state)));
    body["results"] = results(job);
    return body.serialize();
}

} // namespace persimmon::entry
