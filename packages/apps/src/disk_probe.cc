#include "apps/disk_probe.h"

#include "apps/data_folder.h"

namespace persimmon::apps {

namespace {

constexpr milliseconds probePeriod {200};

} // namespace

disk_probe::disk_probe(std::string folder, milliseconds delay, std::function<void()> onRestart)
    : onRestart_(std::move(onRestart))
    , thread_([this, folder = std::move(folder), delay] { run(folder, delay); })
{
}

disk_probe::~disk_probe()
{
    {
        const std::lock_guard guard(mutex_);
        stopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
}

// Returns whether the probe goes on.
bool disk_probe::waitFor(milliseconds time)
{
    std::unique_lock guard(mutex_);
    return !wake_.wait_for(guard, time, [this] { return stopping_; });
}

void disk_probe::run(const std::string &folder, milliseconds delay)
{
    if (failed(probeWrite(folder))) {
        do {
            if (!waitFor(probePeriod))
                return;
        } while (failed(probeWrite(folder)));
    } else if (!waitFor(delay)) {
        return;
    }
    onRestart_();
}

} // namespace persimmon::apps
