#pragma once

#include "base/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace persimmon::apps {

// Tells when a process whose storage has failed should restart to read its state again. While the
// data folder refuses writes, as a full disk does, that is as soon as it takes one again; if it
// takes writes from the beginning, the cause is unknown and a delay prevents restarts in quick
// succession. Probes on a thread of its own, because a disk may also hang.
class disk_probe
{
public:
    // Calls back once, on the thread of the probe.
    disk_probe(std::string folder, milliseconds delay, std::function<void()> onRestart);

    // Waits for a probe in progress.
    ~disk_probe();

    disk_probe(const disk_probe &) = delete;
    disk_probe &operator=(const disk_probe &) = delete;

private:
    void run(const std::string &folder, milliseconds delay);
    bool waitFor(milliseconds time);

    std::function<void()> onRestart_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace persimmon::apps
