#pragma once

#include "base/ini.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

// Setters for the tables of the keys of settings files.
namespace persimmon {

// Sets one field of a struct of settings from its text. Returns a description of the allowed values
// if the text is invalid, and leaves the field as it is.
template <typename Settings>
using field_setter = std::function<std::optional<std::string>(Settings &, const std::string &)>;

// Returns a setter of a text that meets a condition.
template <typename Settings>
field_setter<Settings> textSetter(std::string Settings::*member,
                                  std::function<bool(std::string_view)> isAllowed,
                                  std::string allowed)
{
    return [member, isAllowed = std::move(isAllowed), allowed = std::move(allowed)](
                   Settings &target, const std::string &value) -> std::optional<std::string> {
        if (!isAllowed(value))
            return allowed;
        target.*member = value;
        return std::nullopt;
    };
}

// Returns a setter of a text that is not empty.
template <typename Settings>
field_setter<Settings> textSetter(std::string Settings::*member)
{
    return textSetter(
            member, [](std::string_view value) { return !value.empty(); }, "a non-empty text");
}

// Returns a setter of a whole number from low to high, or of a duration in its own unit.
template <typename Settings, typename Number>
field_setter<Settings> numberSetter(Number Settings::*member, std::uint64_t low, std::uint64_t high)
{
    return [member, low, high](Settings &target,
                               const std::string &value) -> std::optional<std::string> {
        const auto parsed = parseNumber(value, low, high);
        if (failed(parsed))
            return errorOf(parsed).detail;
        target.*member = static_cast<Number>(valueOf(parsed));
        return std::nullopt;
    };
}

} // namespace persimmon
