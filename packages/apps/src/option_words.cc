#include "apps/option_words.h"

namespace persimmon::apps {

std::vector<std::string> splitOptions(std::span<const std::string> words)
{
    std::vector<std::string> split;
    bool options = true;
    for (const auto &word : words) {
        options = options && word != "--";
        const auto equals = word.find('=');
        if (!options || !word.starts_with("--") || equals == std::string::npos) {
            split.push_back(word);
            continue;
        }
        split.push_back(word.substr(0, equals));
        split.push_back(word.substr(equals + 1));
    }
    return split;
}

} // namespace persimmon::apps
