#pragma once

#include "consensus/state_machine.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmon::consensus::detail {

// Returns StorageFailed with the operation, the path and the description of errno.
error systemError(const std::string &operation, const std::string &path);

// Owns a file descriptor.
class file_handle
{
public:
    file_handle() = default;
    explicit file_handle(int descriptor)
        : descriptor_(descriptor)
    {
    }
    file_handle(file_handle &&other) noexcept;
    file_handle &operator=(file_handle &&other) noexcept;
    ~file_handle();

    bool isOpen() const { return descriptor_ >= 0; }
    int get() const { return descriptor_; }

private:
    int descriptor_ = -1;
};

// File operations in one folder. All errors have the code StorageFailed.
class data_folder
{
public:
    explicit data_folder(std::string path);

    // Creates the folder and locks its lock file; fails if another storage holds the lock.
    status lock();

    result<file_handle> openForAppend(const std::string &name) const; // creates a missing file
    result<byte_buffer> read(const std::string &name) const;
    result<std::vector<std::string>> names() const;
    bool exists(const std::string &name) const;

    // Writes a temporary file, syncs it, renames it and syncs the folder.
    status replace(const std::string &name, byte_view content) const;

    status rename(const std::string &from, const std::string &to) const;
    status remove(const std::string &name) const; // a missing file is no error
    status syncFolder() const;

    std::string pathOf(const std::string &name) const { return path_ + "/" + name; }

private:
    std::string path_;
    file_handle lockFile_;
};

status writeAll(const file_handle &file, byte_view bytes, const std::string &path);
status syncData(const file_handle &file, const std::string &path);

} // namespace persimmon::consensus::detail
