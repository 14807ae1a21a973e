#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

// Returns the text without spaces, tabs and carriage returns at both ends.
std::string_view trimSpaces(std::string_view text);

// Splits a comma-separated list; items are trimmed. An empty text gives one empty item.
std::vector<std::string_view> splitList(std::string_view text);

// Like splitList(), with copies of the items.
std::vector<std::string> splitTexts(std::string_view text);

} // namespace persimmon
