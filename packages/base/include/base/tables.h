#pragma once

#include "base/ini.h"
#include "base/model.h"

#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

// Parsed tables with all errors found. The values are valid only if there are no mistakes.
struct tables_outcome
{
    tables values;
    std::vector<ini_mistake> mistakes;
};

// Parses the operators' tables: sections [route NAME], [pool NAME] and [workspace NAME]. Reports
// every error, including references to unknown pools and workspaces.
tables_outcome parseTables(std::string_view text);

// Formats tables as text that parseTables() accepts, in the order of the rows.
std::string formatTables(const tables &values);

// One changed row between two versions of the tables.
struct table_change
{
    char sign = '+'; // '+' added, '-' removed, '~' changed
    std::string row; // "route NAME", "pool NAME" or "workspace NAME"

    friend bool operator==(const table_change &, const table_change &) = default;
};

// Lists the rows that differ, in the order routes, pools, workspaces.
std::vector<table_change> diffTables(const tables &before, const tables &after);

} // namespace persimmon
