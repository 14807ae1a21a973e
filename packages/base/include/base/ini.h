#pragma once

#include "base/result.h"

#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

// One "key = value" line of an INI text.
struct ini_entry
{
    std::string key;
    std::string value;
};

// One section with its entries in the order of the text.
struct ini_section
{
    std::string name;
    std::vector<ini_entry> entries;

    // Returns the value of a key, or nullptr.
    const std::string *find(std::string_view key) const;
};

// Error in an INI text: its position, the allowed values and the result code.
struct ini_mistake
{
    std::string section;
    std::string key;
    std::string value;
    std::string allowed;
    result_code code = result_code::InvalidValue;

    friend bool operator==(const ini_mistake &, const ini_mistake &) = default;
};

// Parsed INI text. Each section is listed once. Duplicate sections and keys, over-long lines and
// lines with a syntax error are reported in mistakes.
struct ini_document
{
    std::vector<ini_section> sections;
    std::vector<ini_mistake> mistakes;

    // Returns the section with the given name, or nullptr.
    const ini_section *find(std::string_view name) const;
};

// Parses an INI text with the inih library.
ini_document parseIni(std::string_view text);

// Returns a one-line error message:
// "FILE: [section] key = value: allowed: TEXT (code NUMBER name)".
std::string toText(const ini_mistake &mistake, std::string_view file);

// Parses an unsigned decimal number in a range. Fails with InvalidValue and the allowed range.
result<std::uint64_t> parseNumber(std::string_view text, std::uint64_t low, std::uint64_t high);

// Parses "true" or "false". Fails with InvalidValue.
result<bool> parseBool(std::string_view text);

} // namespace persimmon
