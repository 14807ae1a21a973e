#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>

namespace persimmon::test {

inline std::uint64_t environmentNumber(const char *name, std::uint64_t defaultValue)
{
    const char *text = std::getenv(name);
    return text == nullptr ? defaultValue : std::strtoull(text, nullptr, 10);
}

// Runs a property with a fixed seed, so that CI runs are reproducible. PERSIMMON_SEED and
// PERSIMMON_RUNS override the seed and the number of runs.
template <typename Property>
bool checkSeeded(const char *name, int runs, Property property)
{
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    rc::detail::TestParams params;
    params.seed = environmentNumber("PERSIMMON_SEED", 20261204);
    params.maxSuccess = static_cast<int>(
            environmentNumber("PERSIMMON_RUNS", static_cast<std::uint64_t>(runs)));
    const auto outcome = rc::detail::checkTestable(std::move(property), metadata, params);
    const bool success = outcome.template is<rc::detail::SuccessResult>();
    if (!success)
        rc::detail::printResultMessage(outcome, std::cerr);
    if (!success)
        std::cerr << name << " failed, seed " << params.seed << "\n";
    return success;
}

} // namespace persimmon::test
