#include "command_line.h"

#include <utility>

namespace persimmon::apps {

error usageError(std::string detail, std::string field)
{
    return {result_code::UsageError, std::move(detail), std::move(field), {}};
}

result<bool> parseWords(TCLAP::CmdLine &commandLine, std::vector<std::string> words)
{
    commandLine.setExceptionHandling(false);
    try {
        commandLine.parse(words);
    } catch (const TCLAP::ArgException &failure) {
        return usageError(failure.error(), failure.argId());
    } catch (const TCLAP::ExitException &) {
        return false;
    }
    return true;
}

} // namespace persimmon::apps
