#include "apps/data_folder.h"

#include "apps/settings_check.h"
#include "base/ini.h"

#include <cerrno>
#include <filesystem>
#include <limits>
#include <sstream>
#include <system_error>

#include <fcntl.h>
#include <unistd.h>

namespace persimmon::apps {

namespace {

// File content for an instance that joined an existing group and has no initial voters.
const std::string noVotersContent = "none\n";

// A block of usual file systems, so that a probe needs room of its own.
constexpr std::size_t probeBytes = 4096;

error storageError(const std::string &what, int code)
{
    return {result_code::StorageFailed, what + ": " + std::system_category().message(code), {}, {}};
}

// Writes the whole text. Returns 0 or the error number.
int writeAll(int file, std::string_view text)
{
    while (!text.empty()) {
        const auto count = ::write(file, text.data(), text.size());
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return count < 0 ? errno : ENOSPC;
        text.remove_prefix(static_cast<std::size_t>(count));
    }
    return 0;
}

// Opens a path, writes the text unless it is empty, syncs and closes the file.
status writeAndSync(const std::string &path, int flags, const std::string &text)
{
    const int file = ::open(path.c_str(), flags | O_CLOEXEC, 0600);
    if (file < 0)
        return storageError("can't open " + path, errno);
    int failure = writeAll(file, text);
    if (failure == 0 && ::fsync(file) != 0)
        failure = errno;
    ::close(file);
    if (failure != 0)
        return storageError("can't write " + path, failure);
    return std::monostate {};
}

status replaceFile(const std::string &folder, const std::string &path, const std::string &text)
{
    const auto temporary = path + ".tmp";
    if (auto written = writeAndSync(temporary, O_WRONLY | O_CREAT | O_TRUNC, text); failed(written))
        return written;
    if (::rename(temporary.c_str(), path.c_str()) != 0)
        return storageError("can't rename " + temporary, errno);
    return writeAndSync(folder, O_RDONLY | O_DIRECTORY, {});
}

result<std::vector<std::uint32_t>> parseVoters(const std::string &path, const std::string &text)
{
    std::vector<std::uint32_t> voters;
    if (text == noVotersContent)
        return voters;
    std::istringstream words(text);
    for (std::string word; words >> word;) {
        const auto id = parseNumber(word, 1, std::numeric_limits<std::uint32_t>::max());
        if (failed(id))
            return error {result_code::CorruptFile, path + " is damaged", {}, {}};
        voters.push_back(static_cast<std::uint32_t>(valueOf(id)));
    }
    if (voters.empty())
        return error {result_code::CorruptFile, path + " is empty", {}, {}};
    return voters;
}

} // namespace

result<std::vector<std::uint32_t>> loadInitialVoters(const std::string &folder,
                                                     const std::vector<std::uint32_t> &configured)
{
    std::error_code failure;
    std::filesystem::create_directories(folder, failure);
    if (failure)
        return storageError("can't create " + folder, failure.value());
    const auto path = folder + "/first-voters";
    if (std::filesystem::exists(path, failure)) {
        const auto text = readFile(path);
        if (failed(text))
            return errorOf(text);
        return parseVoters(path, valueOf(text));
    }
    std::string text = configured.empty() ? noVotersContent : "";
    for (const auto id : configured)
        text += std::to_string(id) + "\n";
    if (auto stored = replaceFile(folder, path, text); failed(stored))
        return errorOf(stored);
    return configured;
}

status probeWrite(const std::string &folder)
{
    const auto path = folder + "/probe";
    auto written = writeAndSync(path, O_WRONLY | O_CREAT | O_TRUNC, std::string(probeBytes, ' '));
    ::unlink(path.c_str());
    return written;
}

} // namespace persimmon::apps
