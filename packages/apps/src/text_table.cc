#include "apps/text_table.h"

#include <algorithm>

namespace persimmon::apps {

namespace {

// Counts UTF-8 code points rather than bytes, so that names with accents stay aligned.
std::size_t widthOf(const std::string &text)
{
    const auto startsCharacter = [](char c) { return (static_cast<unsigned char>(c) >> 6) != 2; };
    return static_cast<std::size_t>(std::ranges::count_if(text, startsCharacter));
}

} // namespace

text_table::text_table(std::vector<std::string> titles)
{
    rows_.push_back(std::move(titles));
}

void text_table::add(std::vector<std::string> cells)
{
    cells.resize(rows_.front().size());
    for (auto &cell : cells) {
        const auto isControl = [](char c) { return static_cast<unsigned char>(c) < 32; };
        std::ranges::replace_if(cell, isControl, ' ');
    }
    rows_.push_back(std::move(cells));
}

std::string text_table::toString() const
{
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (const auto &row : rows_) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], widthOf(row[i]));
    }
    std::string text;
    for (const auto &row : rows_) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += row[i] + std::string(widths[i] - widthOf(row[i]) + 2, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace persimmon::apps
