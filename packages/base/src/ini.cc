#include "base/ini.h"

#include "base/text.h"

#include <ini.h>

#include <algorithm>
#include <charconv>

namespace persimmon {

namespace {

// inih silently truncates lines at 200 bytes; longer lines are reported before it parses the text.
constexpr std::size_t maxLineBytes = 198;

struct parse_state
{
    ini_document document;
    std::vector<std::string> seenSections;
};

bool isSeen(const parse_state &state, std::string_view name)
{
    return std::ranges::find(state.seenSections, name) != state.seenSections.end();
}

ini_section &sectionFor(parse_state &state, const std::string &name)
{
    auto &sections = state.document.sections;
    const auto found = std::ranges::find(sections, name, &ini_section::name);
    if (found != sections.end())
        return *found;
    return sections.emplace_back(ini_section {name, {}});
}

int onEntry(void *user, const char *section, const char *key, const char *value)
{
    auto &state = *static_cast<parse_state *>(user);
    auto &target = sectionFor(state, section);
    if (target.find(key) != nullptr) {
        state.document.mistakes.push_back(
                {section, key, value, "each key once in a section", result_code::InvalidValue});
    } else {
        target.entries.push_back({key, value});
    }
    return 1;
}

// Reports over-long lines and duplicate sections, because inih accepts them, and adds empty
// sections to the document, because inih skips them.
void scanLines(parse_state &state, std::string_view text)
{
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        const auto line = trimSpaces(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
        if (line.size() > maxLineBytes) {
            state.document.mistakes.push_back({"", std::string(line.substr(0, 40)), "",
                                               "lines of up to 198 bytes",
                                               result_code::InvalidValue});
        }
        if (line.size() < 2 || line.front() != '[' || line.find(']') == std::string_view::npos)
            continue;
        const std::string name(line.substr(1, line.find(']') - 1));
        if (isSeen(state, name)) {
            state.document.mistakes.push_back(
                    {name, "", "", "each section once", result_code::InvalidValue});
        } else {
            state.seenSections.push_back(name);
            sectionFor(state, name);
        }
    }
}

} // namespace

const std::string *ini_section::find(std::string_view key) const
{
    const auto found = std::ranges::find(entries, key, &ini_entry::key);
    return found == entries.end() ? nullptr : &found->value;
}

const ini_section *ini_document::find(std::string_view name) const
{
    const auto found = std::ranges::find(sections, name, &ini_section::name);
    return found == sections.end() ? nullptr : &*found;
}

ini_document parseIni(std::string_view text)
{
    parse_state state;
    scanLines(state, text);
    const int line = ini_parse_string(std::string(text).c_str(), onEntry, &state);
    if (line > 0) {
        state.document.mistakes.push_back({"", "line " + std::to_string(line), "",
                                           "[section], key = value or ; comment",
                                           result_code::MalformedRequest});
    }
    return std::move(state.document);
}

std::string toText(const ini_mistake &mistake, std::string_view file)
{
    const auto &info = describe(mistake.code);
    std::string text(file);
    text += ": [" + mistake.section + "] " + mistake.key;
    if (!mistake.value.empty())
        text += " = " + mistake.value;
    text += ": allowed: " + mistake.allowed;
    text += " (code " + std::to_string(static_cast<int>(mistake.code)) + " ";
    text += info.name;
    text += ")";
    return text;
}

result<std::uint64_t> parseNumber(std::string_view text, std::uint64_t low, std::uint64_t high)
{
    std::uint64_t number = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec == std::errc {} && parsed.ptr == end && number >= low && number <= high)
        return number;
    return error {result_code::InvalidValue,
                  "a number from " + std::to_string(low) + " to " + std::to_string(high),
                  {},
                  {}};
}

result<bool> parseBool(std::string_view text)
{
    if (text == "true" || text == "false")
        return text == "true";
    return error {result_code::InvalidValue, "true or false", {}, {}};
}

} // namespace persimmon
