#pragma once

#include "base/timer_service.h"

#include <kj/async-io.h>

#include <functional>
#include <memory>

namespace persimmon::wire {

// Returns the current monotonic time, which includes time in suspension. Callable from any thread.
time_point monotonicNow();

// Event loop of a process: one thread that runs all state machines, timers, work posted by other
// threads and Cap'n Proto RPC. All members except post() and stop() must be called on the thread
// that created the loop.
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

    // Queues work to run on the loop's thread, in the order of the calls. An exception that it
    // throws is logged and ends neither the loop nor other work, and the same holds for timers.
    // Callable from any thread.
    void post(std::function<void()> work);

    timer_service &timers();

    // Returns monotonicNow().
    time_point now() const;

    // Returns the I/O context of the loop, for RPC connections.
    kj::AsyncIoContext &io();

    // Runs a promise in the background until it ends. A failure is logged.
    void detach(kj::Promise<void> task);

private:
    class implementation;

    std::unique_ptr<implementation> implementation_;
};

} // namespace persimmon::wire
