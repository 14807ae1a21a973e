#include "apps/batch_views.h"

#include <cpprest/json.h>

#include <algorithm>

namespace persimmon::apps {

namespace {

using web::json::value;

value text(std::string_view content)
{
    return value::string(std::string(content));
}

value toJson(const batch::job_event &event)
{
    auto json = value::object();
    json["at_ms"] = value::number(event.atMs);
    json["kind"] = text(event.kind);
    json["reason"] = text(event.reason);
    json["name"] = text("-");
    json["other"] = value::number(event.run);
    json["detail"] = text(event.detail);
    return json;
}

value toJson(const batch::stall_cause &wait)
{
    auto json = value::object();
    json["task"] = text(batch::shortName(wait.first));
    json["why"] = text(batch::toName(wait.cause));
    json["room"] = value::number(wait.room);
    json["in_use_percent"] = value::number(wait.inUsePercent);
    return json;
}

value toJson(const batch::service::zone_status &zone)
{
    auto json = value::object();
    json["zone"] = text(zone.name);
    json["evacuated"] = value::boolean(zone.evacuated.has_value());
    json["since_ms"] = value::number(zone.evacuated ? zone.evacuated->sinceMs : 0);
    json["workers"] = value::number(static_cast<std::uint64_t>(zone.use.workers));
    json["runs"] = value::number(static_cast<std::uint64_t>(zone.use.runs));
    return json;
}

template <typename Item>
value listOf(std::span<const Item> items)
{
    std::vector<value> rows;
    rows.reserve(items.size());
    for (const auto &item : items)
        rows.push_back(toJson(item));
    return value::array(std::move(rows));
}

} // namespace

std::string zonesJson(std::span<const batch::service::zone_status> zones)
{
    return listOf(zones).serialize();
}

std::string explainJson(const batch::job_record &job, std::span<const batch::stall_cause> waits)
{
    std::uint32_t tasks = 0;
    std::uint32_t attempt = 0;
    for (const auto &step : job.spec.steps)
        tasks += step.count;
    for (const auto &steps : job.occurrences) {
        for (const auto &step : steps) {
            for (const auto &task : step.tasks)
                attempt = std::max(attempt, task.run);
        }
    }
    auto json = value::object();
    json["id"] = text(job.id);
    json["state"] = text(batch::toName(job.state));
    json["attempt"] = value::number(attempt);
    json["workspace"] = text(job.tenant.empty() ? "-" : job.tenant);
    json["pool"] = text(job.source.pool);
    json["class"] = text(job.source.name);
    json["tasks"] = value::number(tasks);
    json["accelerators"] = value::number(job.spec.steps.front().need.accelerators);
    json["records"] = listOf(std::span<const batch::job_event> {job.events});
    json["waits"] = listOf(waits);
    return json.serialize();
}

} // namespace persimmon::apps
