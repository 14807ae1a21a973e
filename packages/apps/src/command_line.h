#pragma once

#include "base/result.h"

#include <tclap/CmdLine.h>

#include <string>
#include <vector>

namespace persimmon::apps {

error usageError(std::string detail, std::string field);

// Parses the words of a command line, the first of which is the program's name. Returns false if
// they asked for the help or the version, which has been printed.
result<bool> parseWords(TCLAP::CmdLine &commandLine, std::vector<std::string> words);

} // namespace persimmon::apps
