#include "base/text.h"

#include <algorithm>

namespace persimmon {

std::string_view trimSpaces(std::string_view text)
{
    constexpr std::string_view spaces = " \t\r";
    const auto begin = text.find_first_not_of(spaces);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(spaces) - begin + 1);
}

std::vector<std::string_view> splitList(std::string_view text)
{
    std::vector<std::string_view> items;
    while (true) {
        const auto comma = std::min(text.find(','), text.size());
        items.push_back(trimSpaces(text.substr(0, comma)));
        if (comma == text.size())
            return items;
        text.remove_prefix(comma + 1);
    }
}

std::vector<std::string> splitTexts(std::string_view text)
{
    const auto items = splitList(text);
    return {items.begin(), items.end()};
}

} // namespace persimmon
