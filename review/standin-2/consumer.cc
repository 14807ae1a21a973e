#include "consumer.h"

#include <cpprest/json.h>

namespace standin {

using web::json::value;

consumer::consumer(record &log, std::string key)
    : log_(log)
    , key_(std::move(key))
{
}

std::string consumer::job(const std::string &spec, const std::vector<step> &steps)
{
    auto body = value::object();
    body["spec"] = value::string(spec);
    std::vector<value> rows;
    for (const auto &item : steps) {
        auto row = value::object();
        row["count"] = value::number(item.count);
        row["cpu"] = value::number(item.cpu);
        row["mem_mb"] = value::number(item.memory);
        if (item.gpu > 0)
            row["gpu"] = value::number(item.gpu);
        row["estimate_ms"] = value::number(item.estimateMs);
        if (item.lasts)
            row["long_running"] = value::boolean(true);
        if (!item.label.empty())
            row["required_label"] = value::string(item.label);
        if (item.dependsOn >= 0)
            row["depends_on"] = value::array({value::number(item.dependsOn)});
        rows.push_back(row);
    }
    body["steps"] = value::array(rows);
    return body.serialize();
}

headers consumer::fields(const std::string &hostName) const
{
    return {{"Host", hostName},
            {"Authorization", "Bearer " + key_},
            {"Persimmonproxy-Deadline-Ms", "3000"}};
}

int consumer::submit(const std::string &gateway, const std::string &path, const std::string &body)
{
    log_.line("consumer sends POST " + path + " to " + gateway);
    const auto got = call(gateway, "POST", path, fields(host), body, 3000);
    log_.line("consumer gets " + (got ? std::to_string(got->status) : std::string("no answer"))
              + " for POST " + path);
    return got ? got->status : 0;
}

int consumer::cancel(const std::string &gateway, const std::string &path)
{
    log_.line("consumer sends DELETE " + path + " to " + gateway);
    const auto got = call(gateway, "DELETE", path, fields(host), "", 3000);
    log_.line("consumer gets " + (got ? std::to_string(got->status) : std::string("no answer"))
              + " for DELETE " + path);
    return got ? got->status : 0;
}

std::string consumer::state(const std::string &gateway, const std::string &path)
{
    const auto got = call(gateway, "GET", path, fields(host), "", 3000);
    std::string found = "none";
    if (got && got->status == 200)
        found = value::parse(got->body).at("state").as_string();
    else if (got)
        found = std::to_string(got->status);
    log_.line("consumer gets " + found + " for GET " + path);
    return found;
}

int consumer::pending(const std::string &gateway, const std::string &prefix)
{
    const auto got = call(gateway, "GET", prefix, fields(host), "", 3000);
    const int found
            = got && got->status == 200 ? value::parse(got->body).at("pending").as_integer() : -1;
    log_.line("consumer gets pending " + std::to_string(found) + " for GET " + prefix + " from "
              + gateway);
    return found;
}

bool configure(record &log, const std::string &control, int version,
               const std::vector<route> &routes)
{
    auto body = value::object();
    body["version"] = value::number(version);
    std::vector<value> rows;
    for (const auto &item : routes) {
        auto row = value::object();
        row["name"] = value::string(item.name);
        row["host"] = value::string(host);
        row["prefix"] = value::string(item.prefix);
        row["kind"] = value::string("mutating");
        row["timeout_ms"] = value::number(3000);
        row["slo_ms"] = value::number(4000);
        row["priority"] = value::number(item.priority);
        row["service"] = value::string("pool");
        row["attempts"] = value::number(item.attempts);
        row["slack_factor"] = value::number(3.0);
        row["public"] = value::boolean(false);
        rows.push_back(row);
    }
    body["routes"] = value::array(rows);
    auto service = value::object();
    service["name"] = value::string("pool");
    service["health_path"] = value::string("/health");
    service["max_conns"] = value::number(64);
    service["protocol"] = value::string("h1");
    service["tls"] = value::boolean(false);
    service["admission_control"] = value::boolean(false);
    service["standby"] = value::boolean(false);
    body["services"] = value::array({service});
    auto limits = value::object();
    limits["max_header_bytes"] = value::number(16384);
    limits["max_body_bytes"] = value::number(262144);
    limits["header_timeout_ms"] = value::number(3000);
    limits["idle_timeout_ms"] = value::number(15000);
    body["limits"] = limits;
    std::vector<value> tenants;
    for (const auto *name : {"one", "two"}) {
        auto tenant = value::object();
        tenant["name"] = value::string(std::string("tenant-") + name);
        tenant["api_keys"] = value::array({value::string(std::string("key-") + name)});
        tenant["priority"] = value::number(1);
        auto reserved = value::object();
        reserved["gpu"] = value::number(8);
        tenant["reserved"] = reserved;
        tenants.push_back(tenant);
    }
    body["tenants"] = value::array(tenants);
    const auto text = body.serialize();
    const auto limit = nowMs() + 20000;
    while (nowMs() < limit) {
        const auto got = call(control, "PUT", "/config", {}, text, 1000);
        log.line("operator gets " + (got ? std::to_string(got->status) : std::string("no answer"))
                 + " for the config of version " + std::to_string(version));
        if (got && got->status == 200)
            return true;
        sleepMs(300);
    }
    return false;
}

} // namespace standin
