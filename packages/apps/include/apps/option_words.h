#pragma once

#include <span>
#include <string>
#include <vector>

namespace persimmon::apps {

// Splits "--name=value" into two words, because TCLAP takes one delimiter only and operators use
// both forms. Words after "--" stay as they are.
std::vector<std::string> splitOptions(std::span<const std::string> words);

} // namespace persimmon::apps
