#include "process.h"

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <utility>

extern char **environ;

namespace persimmon::system_test {

process::process(const std::vector<std::string> &arguments, const std::string &logFile)
{
    std::vector<char *> argv;
    argv.reserve(arguments.size() + 1);
    for (const auto &argument : arguments)
        argv.push_back(const_cast<char *>(argument.c_str()));
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    if (posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ) != 0)
        pid_ = 0;
    posix_spawn_file_actions_destroy(&actions);
}

process::~process()
{
    killNow();
}

process::process(process &&other) noexcept
    : pid_(std::exchange(other.pid_, 0))
{
}

process &process::operator=(process &&other) noexcept
{
    if (this != &other) {
        killNow();
        pid_ = std::exchange(other.pid_, 0);
    }
    return *this;
}

void process::sendSignal(int number) const
{
    if (pid_ > 0)
        kill(pid_, number);
}

void process::limitFileSize(std::uint64_t bytes) const
{
    const rlimit limit {bytes, RLIM_INFINITY};
    prlimit(pid_, RLIMIT_FSIZE, &limit, nullptr);
}

void process::liftFileSizeLimit() const
{
    limitFileSize(RLIM_INFINITY);
}

void process::killNow()
{
    if (pid_ <= 0)
        return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
}

int process::waitForExit(milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (pid_ > 0 && std::chrono::steady_clock::now() < end) {
        int state = 0;
        if (waitpid(pid_, &state, WNOHANG) == pid_) {
            pid_ = 0;
            return WIFEXITED(state) ? WEXITSTATUS(state) : -1;
        }
        std::this_thread::sleep_for(milliseconds {10});
    }
    return -1;
}

bool process::isAlive() const
{
    siginfo_t info {};
    return pid_ > 0
            && waitid(P_PID, static_cast<id_t>(pid_), &info, WEXITED | WNOHANG | WNOWAIT) == 0
            && info.si_pid == 0;
}

std::uint64_t process::residentKb() const
{
    return memoryFigure("VmRSS:");
}

std::uint64_t process::peakResidentKb() const
{
    return memoryFigure("VmHWM:");
}

// Returns a figure of /proc/PID/status in KiB, or zero after the end of the process.
std::uint64_t process::memoryFigure(std::string_view name) const
{
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with(name))
            return std::stoull(line.substr(name.size()));
    }
    return 0;
}

} // namespace persimmon::system_test
