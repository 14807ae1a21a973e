#include "apps/json_views.h"

#include "apps/names.h"

#include <cpprest/json.h>

namespace persimmon::apps {

namespace {

using web::json::value;

value text(std::string_view source)
{
    return value::string(std::string(source));
}

template <typename Number>
value number(Number source)
{
    return value::number(static_cast<std::uint64_t>(source));
}

template <typename Items, typename Convert>
value list(const Items &items, Convert convert)
{
    auto array = value::array();
    std::size_t position = 0;
    for (const auto &item : items)
        array[position++] = convert(item);
    return array;
}

value toJson(const control::entry_status &entry)
{
    auto json = value::object();
    json["id"] = text(entry.id);
    json["address"] = text(entry.address);
    json["region"] = text(entry.place.region);
    json["zone"] = text(entry.place.zone);
    json["applied_version"] = number(entry.appliedVersion);
    json["lease_left_ms"] = number(entry.leaseLeft.count());
    json["stopping"] = value::boolean(entry.stopping);
    return json;
}

value toJson(const announcement &upstream)
{
    auto json = value::object();
    json["id"] = text(upstream.id);
    json["incarnation"] = number(upstream.incarnation);
    json["address"] = text(upstream.address);
    json["pool"] = text(upstream.pool);
    json["region"] = text(upstream.place.region);
    json["zone"] = text(upstream.place.zone);
    json["rack"] = text(upstream.place.rack);
    json["slots"] = number(upstream.slots);
    json["accelerators"] = number(upstream.capacity.accelerators);
    json["state"] = text(persimmon::toName(upstream.state));
    return json;
}

value toJson(const placement::pool_usage &usage)
{
    auto json = value::object();
    json["pool"] = text(usage.pool);
    json["workers"] = number(usage.workers);
    json["accelerators"] = number(usage.accelerators);
    json["used"] = number(usage.used);
    json["borrowed"] = number(usage.borrowed);
    return json;
}

value toJson(const placement::workspace_usage &usage)
{
    auto json = value::object();
    json["workspace"] = text(usage.workspace);
    json["guaranteed"] = number(usage.guaranteed);
    json["used"] = number(usage.used);
    json["borrowed"] = number(usage.borrowed);
    json["lent"] = number(usage.lent);
    json["waiting_jobs"] = number(usage.waitingJobs);
    return json;
}

value toJson(const control::rollout &rollout)
{
    auto json = value::object();
    json["version"] = number(rollout.version);
    json["complete"] = value::boolean(rollout.complete);
    json["entries"]
            = list(rollout.entries, [](const control::entry_status &item) { return toJson(item); });
    return json;
}

value toJson(const consensus::peer_status &peer)
{
    auto json = value::object();
    json["id"] = number(peer.id);
    json["voter"] = value::boolean(peer.voter);
    json["matched"] = number(peer.matched);
    return json;
}

value toJson(const voter &source)
{
    const auto node = source.nodeStatus();
    auto json = value::object();
    json["id"] = number(source.values().voterId);
    json["instance"] = text(source.values().instanceId);
    json["role"] = text(toName(node.role));
    json["leader"] = number(node.leader);
    json["leader_address"] = text(source.httpAddressOf(node.leader));
    json["term"] = number(node.term);
    json["committed"] = number(node.committed);
    json["applied"] = number(node.applied);
    json["last_index"] = number(node.lastIndex);
    json["snapshot_index"] = number(node.snapshotIndex);
    json["version"] = number(source.ledger().currentTables().version);
    json["peers"]
            = list(node.peers, [](const consensus::peer_status &item) { return toJson(item); });
    return json;
}

value toJson(const decision_record &record)
{
    auto json = value::object();
    json["at_ms"] = value::number(static_cast<std::int64_t>(record.at.count()));
    json["kind"] = text(persimmon::toName(record.kind));
    json["reason"] = text(persimmon::toName(record.reason));
    json["code"] = number(static_cast<std::uint16_t>(record.code));
    json["name"] = text(describe(record.code).name);
    json["other"] = number(toNumber(record.other));
    json["detail"] = text(record.detail);
    return json;
}

value toJson(const table_change &change)
{
    auto json = value::object();
    json["sign"] = text(std::string_view(&change.sign, 1));
    json["row"] = text(change.row);
    return json;
}

value toJson(const route &row)
{
    auto json = value::object();
    json["name"] = text(row.name);
    json["workspace"] = text(row.workspace);
    json["host"] = text(row.host);
    json["path"] = text(row.pathPrefix);
    json["pool"] = text(row.pool);
    json["priority"] = text(persimmon::toName(row.priority));
    json["repeatable"] = value::boolean(row.repeatable);
    json["timeout_ms"] = number(row.timeout.count());
    return json;
}

value toJson(const pool &row)
{
    auto json = value::object();
    json["name"] = text(row.name);
    json["slots"] = number(row.slots);
    json["connections"] = number(row.connections);
    json["max_attempts"] = number(row.maxAttempts);
    json["strategy"] = text(row.strategy);
    return json;
}

value toJson(const guarantee &item)
{
    auto json = value::object();
    json["pool"] = text(item.pool);
    json["count"] = number(item.count);
    json["workers"] = number(item.block.workers);
    json["accelerators"] = number(item.block.accelerators);
    return json;
}

value toJson(const workspace &row)
{
    auto json = value::object();
    json["name"] = text(row.name);
    json["weight"] = number(row.weight);
    json["quota_accelerators"] = number(row.quotaAccelerators);
    json["guarantees"] = list(row.guarantees, [](const guarantee &item) { return toJson(item); });
    return json;
}

value errorJson(const error &reason)
{
    auto json = value::object();
    json["code"] = number(static_cast<std::uint16_t>(reason.code));
    json["name"] = text(describe(reason.code).name);
    json["detail"] = text(reason.detail);
    json["field"] = text(reason.field);
    return json;
}

} // namespace

std::string voterJson(const voter &source)
{
    return toJson(source).serialize();
}

std::string statusJson(const voter &source)
{
    const auto status = source.coordinator().currentStatus(source.now());
    auto json = value::object();
    json["voter"] = toJson(source);
    json["rollout"] = toJson(source.coordinator().currentRollout(source.now()));
    json["upstreams"]
            = list(status.upstreams, [](const announcement &item) { return toJson(item); });
    json["quarantined"]
            = list(status.quarantined, [](const std::string &item) { return text(item); });
    json["pools"]
            = list(status.pools, [](const placement::pool_usage &item) { return toJson(item); });
    json["workspaces"] = list(status.workspaces,
                              [](const placement::workspace_usage &item) { return toJson(item); });
    json["waiting_jobs"] = number(status.waitingJobs);
    json["running_jobs"] = number(status.runningJobs);
    return json.serialize();
}

std::string tablesJson(const tables &values)
{
    auto json = value::object();
    json["version"] = number(values.version);
    json["routes"] = list(values.routes, [](const route &row) { return toJson(row); });
    json["pools"] = list(values.pools, [](const pool &row) { return toJson(row); });
    json["workspaces"] = list(values.workspaces, [](const workspace &row) { return toJson(row); });
    return json.serialize();
}

std::string historyJson(std::span<const control::history_item> items)
{
    return list(items,
                [](const control::history_item &item) {
                    auto json = value::object();
                    json["version"] = number(item.version);
                    json["change_id"] = text(item.changeId);
                    json["at_ms"] = value::number(static_cast<std::int64_t>(item.at.count()));
                    json["summary"] = text(item.summary);
                    return json;
                })
            .serialize();
}

std::string explainJson(const job_view &job)
{
    auto json = value::object();
    json["id"] = number(toNumber(job.id));
    json["state"] = text(persimmon::toName(job.state));
    json["attempt"] = number(job.attempt);
    json["workspace"] = text(job.spec.workspace);
    json["pool"] = text(job.spec.pool);
    json["class"] = text(persimmon::toName(job.spec.priority));
    json["tasks"] = number(job.spec.tasks);
    json["accelerators"] = number(job.spec.task.accelerators);
    json["code"] = number(static_cast<std::uint16_t>(job.code));
    json["name"] = text(describe(job.code).name);
    json["records"] = list(job.records, [](const decision_record &item) { return toJson(item); });
    return json.serialize();
}

std::string applyJson(const control::apply_outcome &outcome, bool dryRun)
{
    auto json = value::object();
    json["version"] = number(outcome.version);
    json["dry_run"] = value::boolean(dryRun);
    json["changes"]
            = list(outcome.changes, [](const table_change &change) { return toJson(change); });
    return json.serialize();
}

std::string mistakesJson(std::span<const ini_mistake> mistakes)
{
    auto json = errorJson({result_code::InvalidTable,
                           std::to_string(mistakes.size()) + " mistakes in the tables",
                           {},
                           {}});
    json["mistakes"] = list(mistakes, [](const ini_mistake &mistake) {
        auto item = value::object();
        item["section"] = text(mistake.section);
        item["key"] = text(mistake.key);
        item["value"] = text(mistake.value);
        item["allowed"] = text(mistake.allowed);
        item["code"] = number(static_cast<std::uint16_t>(mistake.code));
        return item;
    });
    return json.serialize();
}

std::string conflictJson(const error &reason, std::uint64_t currentVersion)
{
    auto json = errorJson(reason);
    json["current_version"] = number(currentVersion);
    return json.serialize();
}

} // namespace persimmon::apps
