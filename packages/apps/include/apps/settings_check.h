#pragma once

#include "base/result.h"
#include "base/settings.h"

#include <ostream>
#include <string>
#include <vector>

namespace persimmon::apps {

// Reads a whole file. Fails with StorageFailed.
result<std::string> readFile(const std::string &path);

// Reads the settings of a role and prints one line for each mistake. Fails with StorageFailed or
// InvalidSettings.
result<settings> loadSettings(const std::string &file, instance_role role, std::ostream &output);

// Returns the settings reference in Markdown, the content of docs/settings.md.
std::string settingsReferencePage();

// Returns the result codes in Markdown, the content of docs/result-codes.md.
std::string resultCodesPage();

} // namespace persimmon::apps
