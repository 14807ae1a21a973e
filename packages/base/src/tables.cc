#include "base/tables.h"

#include "base/text.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <span>

namespace persimmon {

namespace {

// Parses and formats one key of a row. The setter returns the allowed values for invalid text.
template <typename Row>
struct column
{
    std::string_view key;
    bool required;
    std::function<std::optional<std::string>(Row &, const std::string &)> set;
    std::function<std::string(const Row &)> get;
};

template <typename Row>
column<Row> textColumn(std::string_view key, bool required, std::string Row::*member)
{
    return {key, required,
            [member](Row &row, const std::string &value) -> std::optional<std::string> {
                row.*member = value;
                return std::nullopt;
            },
            [member](const Row &row) { return row.*member; }};
}

template <typename Row>
column<Row> numberColumn(std::string_view key, std::uint32_t Row::*member, std::uint64_t low,
                         std::uint64_t high)
{
    return {key, false,
            [=](Row &row, const std::string &value) -> std::optional<std::string> {
                const auto parsed = parseNumber(value, low, high);
                if (failed(parsed))
                    return errorOf(parsed).detail;
                row.*member = static_cast<std::uint32_t>(valueOf(parsed));
                return std::nullopt;
            },
            [member](const Row &row) { return std::to_string(row.*member); }};
}

std::optional<std::string> setPriority(route &row, const std::string &value)
{
    const auto parsed = priorityFromName(value);
    if (failed(parsed))
        return "batch, standard or urgent";
    row.priority = valueOf(parsed);
    return std::nullopt;
}

std::optional<std::string> setRepeatable(route &row, const std::string &value)
{
    const auto parsed = parseBool(value);
    if (failed(parsed))
        return errorOf(parsed).detail;
    row.repeatable = valueOf(parsed);
    return std::nullopt;
}

std::optional<std::string> setTimeout(route &row, const std::string &value)
{
    const auto parsed = parseNumber(value, 10, 3600000);
    if (failed(parsed))
        return errorOf(parsed).detail;
    row.timeout = milliseconds {valueOf(parsed)};
    return std::nullopt;
}

constexpr std::string_view guaranteeAllowed = "POOL:COUNT*WORKERSxACCELERATORS, comma separated";

bool isPowerOfTwo(std::uint64_t number)
{
    return number != 0 && (number & (number - 1)) == 0;
}

// Parses "POOL:COUNT*WORKERSxACCELERATORS", for example "boards:2*1x8".
std::optional<guarantee> parseGuarantee(std::string_view item)
{
    const auto colon = item.find(':');
    const auto star = item.find('*');
    const auto cross = item.rfind('x');
    if (colon == std::string_view::npos || star == std::string_view::npos
        || cross == std::string_view::npos || colon == 0 || star < colon || cross < star)
        return std::nullopt;
    const auto count = parseNumber(item.substr(colon + 1, star - colon - 1), 1, 10000);
    const auto workers = parseNumber(item.substr(star + 1, cross - star - 1), 1, 64);
    const auto accelerators = parseNumber(item.substr(cross + 1), 1, 8);
    if (failed(count) || failed(workers) || failed(accelerators))
        return std::nullopt;
    if (!isPowerOfTwo(valueOf(workers)) || !isPowerOfTwo(valueOf(accelerators)))
        return std::nullopt;
    return guarantee {std::string(item.substr(0, colon)),
                      {static_cast<std::uint32_t>(valueOf(workers)),
                       static_cast<std::uint32_t>(valueOf(accelerators))},
                      static_cast<std::uint32_t>(valueOf(count))};
}

std::optional<std::string> setGuarantees(workspace &row, const std::string &value)
{
    row.guarantees.clear();
    for (const auto item : splitList(value)) {
        const auto parsed = parseGuarantee(item);
        if (!parsed)
            return std::string(guaranteeAllowed);
        row.guarantees.push_back(*parsed);
    }
    return std::nullopt;
}

std::string formatGuarantees(const workspace &row)
{
    std::string text;
    for (const auto &item : row.guarantees) {
        if (!text.empty())
            text += ", ";
        text += item.pool + ":" + std::to_string(item.count) + "*"
                + std::to_string(item.block.workers) + "x"
                + std::to_string(item.block.accelerators);
    }
    return text;
}

const std::vector<column<route>> &routeColumns()
{
    static const std::vector<column<route>> columns {
            textColumn("workspace", true, &route::workspace),
            textColumn("host", false, &route::host),
            textColumn("path", true, &route::pathPrefix),
            textColumn("pool", true, &route::pool),
            {"priority", false, setPriority,
             [](const route &row) { return std::string(toName(row.priority)); }},
            {"repeatable", false, setRepeatable,
             [](const route &row) { return std::string(row.repeatable ? "true" : "false"); }},
            {"timeout_ms", false, setTimeout,
             [](const route &row) { return std::to_string(row.timeout.count()); }},
    };
    return columns;
}

std::optional<std::string> setStrategy(pool &row, const std::string &value)
{
    if (value != "first_fit" && value != "best_fit" && value != "buddy")
        return "first_fit, best_fit or buddy";
    row.strategy = value;
    return std::nullopt;
}

const std::vector<column<pool>> &poolColumns()
{
    static const std::vector<column<pool>> columns {
            numberColumn("slots", &pool::slots, 1, 10000),
            numberColumn("connections", &pool::connections, 1, 100000),
            numberColumn("max_attempts", &pool::maxAttempts, 1, 10),
            {"strategy", false, setStrategy, [](const pool &row) { return row.strategy; }},
    };
    return columns;
}

const std::vector<column<workspace>> &workspaceColumns()
{
    static const std::vector<column<workspace>> columns {
            numberColumn("weight", &workspace::weight, 1, 1000),
            numberColumn("quota_accelerators", &workspace::quotaAccelerators, 0, 1000000),
            {"guarantee", false, setGuarantees, formatGuarantees},
    };
    return columns;
}

template <typename Row>
void readRow(const ini_section &section, std::string_view name,
             std::span<const column<Row>> columns, std::vector<Row> &rows,
             std::vector<ini_mistake> &mistakes)
{
    Row row;
    row.name = std::string(name);
    for (const auto &[key, value] : section.entries) {
        const auto known = std::ranges::find(columns, key, &column<Row>::key);
        if (known == columns.end()) {
            mistakes.push_back({section.name, key, value, "a key of the tables reference",
                                result_code::UnknownField});
        } else if (const auto allowed = known->set(row, value)) {
            mistakes.push_back({section.name, key, value, *allowed, result_code::InvalidValue});
        }
    }
    for (const auto &item : columns) {
        if (item.required && section.find(item.key) == nullptr)
            mistakes.push_back({section.name, std::string(item.key), "", "a value",
                                result_code::MissingField});
    }
    rows.push_back(std::move(row));
}

void readSection(const ini_section &section, tables_outcome &outcome)
{
    const auto space = section.name.find(' ');
    const std::string_view kind = std::string_view(section.name).substr(0, space);
    const std::string_view name = space == std::string::npos
            ? std::string_view {}
            : trimSpaces(std::string_view(section.name).substr(space));
    auto &values = outcome.values;
    if (!name.empty() && kind == "route")
        readRow<route>(section, name, routeColumns(), values.routes, outcome.mistakes);
    else if (!name.empty() && kind == "pool")
        readRow<pool>(section, name, poolColumns(), values.pools, outcome.mistakes);
    else if (!name.empty() && kind == "workspace")
        readRow<workspace>(section, name, workspaceColumns(), values.workspaces, outcome.mistakes);
    else
        outcome.mistakes.push_back({section.name, "", "", "route NAME, pool NAME or workspace NAME",
                                    result_code::UnknownField});
}

template <typename Row>
bool hasRow(const std::vector<Row> &rows, std::string_view name)
{
    return std::ranges::find(rows, name, &Row::name) != rows.end();
}

void checkReferences(tables_outcome &outcome)
{
    const auto &values = outcome.values;
    const auto require = [&](bool present, const std::string &section, std::string_view key,
                             const std::string &value, std::string_view allowed) {
        if (!present)
            outcome.mistakes.push_back({section, std::string(key), value, std::string(allowed),
                                        result_code::InvalidValue});
    };
    for (const auto &row : values.routes) {
        const auto section = "route " + row.name;
        require(hasRow(values.pools, row.pool), section, "pool", row.pool, "the name of a pool");
        require(hasRow(values.workspaces, row.workspace), section, "workspace", row.workspace,
                "the name of a workspace");
        require(row.pathPrefix.starts_with('/'), section, "path", row.pathPrefix,
                "a path that starts with /");
        require(!row.pathPrefix.starts_with("/v1/"), section, "path", row.pathPrefix,
                "a path outside of /v1/, which is reserved for the system");
    }
    for (const auto &row : values.workspaces) {
        for (const auto &item : row.guarantees)
            require(hasRow(values.pools, item.pool), "workspace " + row.name, "guarantee",
                    item.pool, "the name of a pool");
    }
}

template <typename Row>
void formatRows(std::string_view kind, const std::vector<Row> &rows,
                std::span<const column<Row>> columns, std::string &text)
{
    for (const auto &row : rows) {
        text += "[" + std::string(kind) + " " + row.name + "]\n";
        for (const auto &item : columns) {
            const auto value = item.get(row);
            if (!value.empty())
                text += std::string(item.key) + " = " + value + "\n";
        }
        text += "\n";
    }
}

template <typename Row>
void diffRows(std::string_view kind, const std::vector<Row> &before, const std::vector<Row> &after,
              std::vector<table_change> &changes)
{
    const auto label = [kind](const Row &row) { return std::string(kind) + " " + row.name; };
    for (const auto &row : before) {
        const auto found = std::ranges::find(after, row.name, &Row::name);
        if (found == after.end())
            changes.push_back({'-', label(row)});
        else if (!(*found == row))
            changes.push_back({'~', label(row)});
    }
    for (const auto &row : after) {
        if (!hasRow(before, row.name))
            changes.push_back({'+', label(row)});
    }
}

} // namespace

tables_outcome parseTables(std::string_view text)
{
    const auto document = parseIni(text);
    tables_outcome outcome;
    outcome.mistakes = document.mistakes;
    for (const auto &section : document.sections)
        readSection(section, outcome);
    checkReferences(outcome);
    return outcome;
}

std::string formatTables(const tables &values)
{
    std::string text;
    formatRows<route>("route", values.routes, routeColumns(), text);
    formatRows<pool>("pool", values.pools, poolColumns(), text);
    formatRows<workspace>("workspace", values.workspaces, workspaceColumns(), text);
    return text;
}

std::vector<table_change> diffTables(const tables &before, const tables &after)
{
    std::vector<table_change> changes;
    diffRows("route", before.routes, after.routes, changes);
    diffRows("pool", before.pools, after.pools, changes);
    diffRows("workspace", before.workspaces, after.workspaces, changes);
    return changes;
}

} // namespace persimmon
