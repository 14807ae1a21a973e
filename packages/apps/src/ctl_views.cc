#include "apps/ctl_views.h"

#include "apps/text_table.h"

#include <cpprest/json.h>

#include <ctime>

namespace persimmon::apps {

namespace {

using web::json::value;

// Parses the JSON and formats it; the JSON library reports missing fields by exceptions.
template <typename View>
auto parseAndFormat(const std::string &text, View build) -> result<decltype(build(value {}))>
{
    try {
        return build(value::parse(text));
    } catch (const std::exception &failure) {
        return error {result_code::Internal,
                      std::string("unexpected format of the response: ") + failure.what(),
                      {},
                      {}};
    }
}

std::string textOf(const value &object, const std::string &name)
{
    const auto &field = object.at(name);
    if (field.is_string())
        return field.as_string();
    return field.serialize();
}

std::uint64_t numberOf(const value &object, const std::string &name)
{
    return object.at(name).as_number().to_uint64();
}

std::vector<std::string> cellsOf(const value &object, std::initializer_list<const char *> names)
{
    std::vector<std::string> cells;
    for (const auto *name : names)
        cells.push_back(textOf(object, name));
    return cells;
}

std::string tableOf(const value &rows, std::vector<std::string> titles,
                    std::initializer_list<const char *> names)
{
    text_table table(std::move(titles));
    for (const auto &row : rows.as_array())
        table.add(cellsOf(row, names));
    return table.toString();
}

std::string timeText(const value &object, const std::string &name)
{
    const auto at = object.at(name).as_number().to_int64();
    const std::time_t seconds = at / 1000;
    std::tm parts {};
    ::gmtime_r(&seconds, &parts);
    char text[32];
    const auto length = std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
    auto millis = std::to_string(at % 1000);
    millis.insert(0, 3 - std::min<std::size_t>(millis.size(), 3), '0');
    return std::string(text, length) + "." + millis + "Z";
}

std::string entriesTable(const value &entries)
{
    return tableOf(
            entries, {"ENTRY", "ADDRESS", "REGION", "ZONE", "VERSION", "LEASE_MS", "STOPPING"},
            {"id", "address", "region", "zone", "applied_version", "lease_left_ms", "stopping"});
}

std::string votersTable(const value &peers)
{
    return tableOf(peers, {"VOTER", "VOTES", "MATCHED"}, {"id", "voter", "matched"});
}

std::string statusView(const value &json)
{
    const auto &voter = json.at("voter");
    const auto &rollout = json.at("rollout");
    std::string text = "leader: voter " + textOf(voter, "leader") + " at "
            + textOf(voter, "leader_address") + ", term " + textOf(voter, "term") + ", committed "
            + textOf(voter, "committed") + "\n";
    text += "tables: version " + textOf(rollout, "version")
            + (rollout.at("complete").as_bool() ? ", in force everywhere"
                                                : ", not in force everywhere yet")
            + "\n";
    text += "jobs: " + textOf(json, "waiting_jobs") + " waiting, " + textOf(json, "running_jobs")
            + " running\n";
    text += "\n" + votersTable(voter.at("peers"));
    text += "\n" + entriesTable(rollout.at("entries"));
    text += "\n"
            + tableOf(json.at("upstreams"),
                      {"UPSTREAM", "ADDRESS", "POOL", "REGION", "ZONE", "RACK", "SLOTS",
                       "ACCELERATORS", "STATE"},
                      {"id", "address", "pool", "region", "zone", "rack", "slots", "accelerators",
                       "state"});
    text += "\n"
            + tableOf(json.at("pools"), {"POOL", "WORKERS", "ACCELERATORS", "USED", "BORROWED"},
                      {"pool", "workers", "accelerators", "used", "borrowed"});
    text += "\n"
            + tableOf(json.at("workspaces"),
                      {"WORKSPACE", "GUARANTEED", "USED", "BORROWED", "LENT", "WAITING_JOBS"},
                      {"workspace", "guaranteed", "used", "borrowed", "lent", "waiting_jobs"});
    for (const auto &worker : json.at("quarantined").as_array())
        text += "quarantined: " + worker.as_string() + "\n";
    return text;
}

std::string explainView(const value &json)
{
    std::string text = "job " + textOf(json, "id") + " of " + textOf(json, "workspace") + ": "
            + textOf(json, "state") + ", attempt " + textOf(json, "attempt") + ", "
            + textOf(json, "tasks") + " tasks with " + textOf(json, "accelerators")
            + " accelerators each in pool " + textOf(json, "pool") + ", class "
            + textOf(json, "class") + "\n";
    text_table table({"TIME", "STEP", "REASON", "CODE", "OTHER", "DETAIL"});
    for (const auto &record : json.at("records").as_array()) {
        auto cells = cellsOf(record, {"kind", "reason", "name", "other", "detail"});
        cells.insert(cells.begin(), timeText(record, "at_ms"));
        if (cells[4] == "0")
            cells[4] = "-";
        table.add(std::move(cells));
    }
    text += table.toString();
    if (json.has_array_field("waits") && json.at("waits").size() > 0)
        text += "\n"
                + tableOf(json.at("waits"), {"WAITS", "WHY", "ROOM", "IN_USE_PERCENT"},
                          {"task", "why", "room", "in_use_percent"});
    return text;
}

rollout_view rolloutView(const value &json, std::uint64_t version)
{
    const auto &rollout = json.at("rollout");
    rollout_view rolloutState;
    for (const auto &entry : rollout.at("entries").as_array()) {
        if (numberOf(entry, "lease_left_ms") > 0)
            ++rolloutState.serving;
    }
    // A later version that is in force everywhere supersedes this one.
    rolloutState.complete
            = numberOf(rollout, "version") >= version && rollout.at("complete").as_bool();
    rolloutState.table = entriesTable(rollout.at("entries"));
    rolloutState.entriesJson = rollout.at("entries").serialize();
    return rolloutState;
}

std::string changedRows(const value &json)
{
    std::string rows;
    for (const auto &change : json.at("changes").as_array())
        rows += " " + textOf(change, "sign") + textOf(change, "row");
    return rows.empty() ? " no rows" : rows;
}

} // namespace

result<rollout_view> readRollout(const std::string &statusJson, std::uint64_t version)
{
    return parseAndFormat(statusJson,
                          [version](const value &json) { return rolloutView(json, version); });
}

result<std::string> statusText(const std::string &statusJson)
{
    return parseAndFormat(statusJson, statusView);
}

result<std::string> historyText(const std::string &historyJson)
{
    return parseAndFormat(historyJson, [](const value &json) {
        text_table table({"VERSION", "TIME", "CHANGE_ID", "ROWS"});
        for (const auto &item : json.as_array())
            table.add({textOf(item, "version"), timeText(item, "at_ms"), textOf(item, "change_id"),
                       textOf(item, "summary")});
        return table.toString();
    });
}

result<std::string> explainText(const std::string &explainJson)
{
    return parseAndFormat(explainJson, explainView);
}

result<std::string> zonesText(const std::string &zonesJson)
{
    return parseAndFormat(zonesJson, [](const value &json) {
        text_table table({"ZONE", "EVACUATED_SINCE", "WORKERS", "RUNS"});
        for (const auto &zone : json.as_array())
            table.add({textOf(zone, "zone"),
                       zone.at("evacuated").as_bool() ? timeText(zone, "since_ms") : "-",
                       textOf(zone, "workers"), textOf(zone, "runs")});
        return table.toString();
    });
}

std::string votersText(std::span<const voter_row> rows)
{
    text_table table({"ADDRESS", "VOTER", "ROLE", "LEADER", "TERM", "COMMITTED", "APPLIED",
                      "VERSION", "ERROR"});
    for (const auto &row : rows) {
        auto cells = parseAndFormat(row.json, [](const value &json) {
            return cellsOf(json,
                           {"id", "role", "leader", "term", "committed", "applied", "version"});
        });
        if (failed(cells)) {
            table.add({row.address, "-", "-", "-", "-", "-", "-", "-", row.failure});
            continue;
        }
        auto &voterCells = valueOf(cells);
        voterCells.insert(voterCells.begin(), row.address);
        table.add(std::move(voterCells));
    }
    return table.toString();
}

result<std::string> watchText(const std::string &statusJson)
{
    return parseAndFormat(statusJson, [](const value &json) {
        const auto &voter = json.at("voter");
        const auto &rollout = json.at("rollout");
        std::size_t serving = 0;
        for (const auto &entry : rollout.at("entries").as_array())
            serving += numberOf(entry, "lease_left_ms") > 0 ? 1 : 0;
        return "leader " + textOf(voter, "leader") + " term " + textOf(voter, "term") + " tables "
                + textOf(rollout, "version")
                + (rollout.at("complete").as_bool() ? " complete" : " incomplete") + " entries "
                + std::to_string(serving) + "/" + std::to_string(rollout.at("entries").size())
                + " upstreams " + std::to_string(json.at("upstreams").size()) + " waiting "
                + textOf(json, "waiting_jobs") + " running " + textOf(json, "running_jobs") + "\n";
    });
}

result<change_view> readChange(const std::string &applyJson)
{
    return parseAndFormat(applyJson, [](const value &json) {
        return change_view {numberOf(json, "version"), changedRows(json)};
    });
}

std::string applyReportJson(const apply_report &report)
{
    auto json = value::parse(report.answerJson);
    json["change_id"] = value::string(report.changeId);
    json["complete"] = value::boolean(report.complete);
    json["entries"] = value::parse(report.entriesJson.empty() ? "[]" : report.entriesJson);
    json["took_ms"] = value::number(report.tookMs);
    return json.serialize() + "\n";
}

} // namespace persimmon::apps
