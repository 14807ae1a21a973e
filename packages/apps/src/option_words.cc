#include "apps/option_words.h"

namespace persimmon::apps {

std::vector<std::string> splitOptionValues(std::span<const std::string> argumentList)
{
    std::vector<std::string> split;
    bool options = true;
    for (const auto &argument : argumentList) {
        options = options && argument != "--";
        const auto equals = argument.find('=');
        if (!options || !argument.starts_with("--") || equals == std::string::npos) {
            split.push_back(argument);
            continue;
        }
        split.push_back(argument.substr(0, equals));
        split.push_back(argument.substr(equals + 1));
    }
    return split;
}

} // namespace persimmon::apps
