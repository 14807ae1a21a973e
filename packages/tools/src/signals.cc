#include "tools/signals.h"

#include <csignal>
#include <thread>
#include <utility>

namespace persimmon::tools {

void onTermination(std::function<void()> handler)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::thread([signals, handler = std::move(handler)] {
        int received = 0;
        sigwait(&signals, &received);
        handler();
    }).detach();
}

} // namespace persimmon::tools
