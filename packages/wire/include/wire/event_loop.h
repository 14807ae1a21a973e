#pragma once

#include "base/timer_service.h"

#include <kj/async-io.h>

#include <functional>
#include <memory>

namespace persimmon::wire {

// Event loop of a process: one thread that owns all cores, with timers, calls posted from other
// threads and Cap'n Proto RPC. All members but post() and stop() belong to the thread that created
// the loop.
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    // Runs until stop() is called.
    void run();

    // Makes run() return. Callable from any thread.
    void stop();

    // Runs work on the loop's thread, in the order of the calls. Callable from any thread.
    void post(std::function<void()> work);

    timer_service &timers();

    // Monotonic time now.
    time_point now() const;

    // Input and output of the loop, for RPC connections.
    kj::AsyncIoContext &io();

    // Keeps a promise running until it ends; a failure is logged with the given prefix.
    void detach(kj::Promise<void> task);

private:
    class implementation;

    std::unique_ptr<implementation> implementation_;
};

} // namespace persimmon::wire
