#pragma once

#include <span>
#include <string>
#include <vector>

namespace persimmon::apps {

// Splits "--name=value" into two arguments, because TCLAP supports only one delimiter and operators
// use both forms. Arguments after "--" are left unchanged.
std::vector<std::string> splitOptionValues(std::span<const std::string> argumentList);

} // namespace persimmon::apps
