#pragma once

#include "base/result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace persimmon::apps {

// Returns the initial membership of the group. It is taken from the settings at the first start and
// stored in the data folder, because the replicated log starts from it after each restart: voters
// added to the settings later must not change it. The folder is created and the file is synced
// before the call returns. Fails with StorageFailed or CorruptFile.
result<std::vector<std::uint32_t>> loadInitialVoters(const std::string &folder,
                                                     const std::vector<std::uint32_t> &configured);

// Writes, syncs and removes a small file in the folder. Fails with StorageFailed.
status probeWrite(const std::string &folder);

} // namespace persimmon::apps
