#pragma once

#include <string_view>

namespace persimmon::apps {

constexpr std::string_view programVersion = "0.1.0";

} // namespace persimmon::apps
