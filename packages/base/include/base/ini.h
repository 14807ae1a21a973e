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

// One mistake in an INI text: where it stands, what is allowed and the code.
struct ini_mistake
{
    std::string section;
    std::string key;
    std::string value;
    std::string allowed;
    result_code code = result_code::InvalidValue;

    friend bool operator==(const ini_mistake &, const ini_mistake &) = default;
};

// Parsed INI text. Sections appear once each; a section or key that appears twice, an over-long
// line and a line that can't be parsed are listed as mistakes.
struct ini_document
{
    std::vector<ini_section> sections;
    std::vector<ini_mistake> mistakes;

    // Returns the section with the given name, or nullptr.
    const ini_section *find(std::string_view name) const;
};

// Parses an INI text with the inih library.
ini_document parseIni(std::string_view text);

// Returns one line for people: "FILE: [section] key = value: allowed (code NUMBER name)".
std::string toText(const ini_mistake &mistake, std::string_view file);

// Parses an unsigned decimal number in a range. Fails with InvalidValue and the allowed range.
result<std::uint64_t> parseNumber(std::string_view text, std::uint64_t low, std::uint64_t high);

// Parses "true" or "false". Fails with InvalidValue.
result<bool> parseBool(std::string_view text);

} // namespace persimmon
