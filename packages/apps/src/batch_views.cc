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

} // namespace

std::string explainJson(const batch::job_record &job)
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
    std::vector<value> records;
    records.reserve(job.events.size());
    for (const auto &event : job.events)
        records.push_back(toJson(event));
    json["records"] = value::array(std::move(records));
    return json.serialize();
}

} // namespace persimmon::apps
