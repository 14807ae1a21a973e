#include "apps/names.h"

#include <array>

namespace persimmon::apps {

std::string_view toName(consensus::node_role role)
{
    constexpr std::array<std::string_view, 4> names {"learner", "follower", "candidate", "leader"};
    const auto position = static_cast<std::size_t>(role);
    return position < names.size() ? names[position] : "invalid";
}

} // namespace persimmon::apps
