#include "folder.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace persimmon::consensus::detail {

error systemError(const std::string &operation, const std::string &path)
{
    const auto text = std::error_code(errno, std::generic_category()).message();
    return {result_code::StorageFailed, operation + " " + path + ": " + text, {}, {}};
}

file_handle::file_handle(file_handle &&other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
{
}

file_handle &file_handle::operator=(file_handle &&other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    return *this;
}

file_handle::~file_handle()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
}

data_folder::data_folder(std::string path)
    : path_(std::move(path))
{
}

status data_folder::lock()
{
    std::error_code errorCode;
    std::filesystem::create_directories(path_, errorCode);
    if (errorCode)
        return error {
                result_code::StorageFailed, "create " + path_ + ": " + errorCode.message(), {}, {}};
    const auto path = pathOf("lock");
    lockFile_ = file_handle(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
    if (!lockFile_.isOpen())
        return systemError("open", path);
    if (::flock(lockFile_.get(), LOCK_EX | LOCK_NB) != 0)
        return systemError("lock", path);
    return {};
}

result<file_handle> data_folder::openForAppend(const std::string &name) const
{
    const auto path = pathOf(name);
    file_handle file(::open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
    if (!file.isOpen())
        return systemError("open", path);
    return file;
}

result<byte_buffer> data_folder::read(const std::string &name) const
{
    const auto path = pathOf(name);
    const file_handle file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (!file.isOpen())
        return systemError("open", path);
    struct stat info
    {
    };
    if (::fstat(file.get(), &info) != 0)
        return systemError("stat", path);
    byte_buffer content(static_cast<std::size_t>(info.st_size));
    std::size_t done = 0;
    while (done < content.size()) {
        const auto count = ::read(file.get(), content.data() + done, content.size() - done);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return systemError("read", path);
        if (count == 0)
            break;
        done += static_cast<std::size_t>(count);
    }
    content.resize(done);
    return content;
}

result<std::vector<std::string>> data_folder::names() const
{
    std::vector<std::string> found;
    std::error_code errorCode;
    for (std::filesystem::directory_iterator item(path_, errorCode), end; !errorCode && item != end;
         item.increment(errorCode))
        found.push_back(item->path().filename().string());
    if (errorCode)
        return error {
                result_code::StorageFailed, "list " + path_ + ": " + errorCode.message(), {}, {}};
    return found;
}

bool data_folder::exists(const std::string &name) const
{
    return ::access(pathOf(name).c_str(), F_OK) == 0;
}

status data_folder::replace(const std::string &name, byte_view content) const
{
    const auto temporary = name + ".tmp";
    if (auto removed = remove(temporary); failed(removed))
        return removed;
    auto file = openForAppend(temporary);
    if (failed(file))
        return errorOf(file);
    if (auto written = writeAll(valueOf(file), content, pathOf(temporary)); failed(written))
        return written;
    if (auto synced = syncData(valueOf(file), pathOf(temporary)); failed(synced))
        return synced;
    if (auto renamed = rename(temporary, name); failed(renamed))
        return renamed;
    return syncFolder();
}

status data_folder::rename(const std::string &from, const std::string &to) const
{
    if (::rename(pathOf(from).c_str(), pathOf(to).c_str()) != 0)
        return systemError("rename", pathOf(from));
    return {};
}

status data_folder::remove(const std::string &name) const
{
    if (::unlink(pathOf(name).c_str()) != 0 && errno != ENOENT)
        return systemError("remove", pathOf(name));
    return {};
}

status data_folder::syncFolder() const
{
    const file_handle folder(::open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!folder.isOpen())
        return systemError("open", path_);
    if (::fsync(folder.get()) != 0)
        return systemError("sync", path_);
    return {};
}

status writeAll(const file_handle &file, byte_view bytes, const std::string &path)
{
    while (!bytes.empty()) {
        const auto count = ::write(file.get(), bytes.data(), bytes.size());
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return systemError("write", path);
        bytes = bytes.subspan(static_cast<std::size_t>(count));
    }
    return {};
}

status syncData(const file_handle &file, const std::string &path)
{
    // fdatasync also writes the file size, the only metadata required for reading.
    if (::fdatasync(file.get()) != 0)
        return systemError("sync", path);
    return {};
}

} // namespace persimmon::consensus::detail
