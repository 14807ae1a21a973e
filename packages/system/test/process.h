#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace persimmon::system_test {

// Child process of the test. Its output is redirected to a file; the destructor kills it.
class process
{
public:
    process() = default;
    process(const std::vector<std::string> &arguments, const std::string &logFile);
    ~process();
    process(process &&other) noexcept;
    process &operator=(process &&other) noexcept;

    bool running() const { return pid_ > 0; }
    pid_t id() const { return pid_; }

    // Returns whether the process has not ended.
    bool isAlive() const;

    void sendSignal(int number) const;

    // Lets all writes beyond a file size fail from now on, as if the disk were full, or lifts the
    // limit.
    void limitFileSize(std::uint64_t bytes) const;
    void liftFileSizeLimit() const;

    // Kills the process with SIGKILL and waits for its end.
    void killNow();

    // Waits for the process to end. Returns its exit code, or -1 after the time limit or a signal.
    int waitForExit(milliseconds timeout);

    // Returns the resident memory in KiB.
    std::uint64_t residentKb() const;

    // Returns the peak of the resident memory in KiB.
    std::uint64_t peakResidentKb() const;

private:
    std::uint64_t memoryFigure(std::string_view name) const;

    pid_t pid_ = 0;
};

} // namespace persimmon::system_test
