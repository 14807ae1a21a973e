#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>
#include <map>

namespace persimmon {

// Calls subscribers at fixed periods or once after a delay. All calls happen on the thread that
// drives the service (the event loop of a process, or the test).
class timer_service
{
public:
    // Identifies a subscription; never reused.
    enum class subscription : std::uint64_t {};

    using callback = std::function<void(time_point now)>;

    virtual ~timer_service() = default;

    virtual time_point now() const = 0;

    // Calls the subscriber every period, first after one period. The period must be positive.
    virtual subscription every(milliseconds period, callback subscriber) = 0;

    // Calls the subscriber once after the delay.
    virtual subscription after(milliseconds delay, callback subscriber) = 0;

    // Ends a subscription. Unknown or ended subscriptions are ignored.
    virtual void cancel(subscription id) = 0;
};

// Timer service driven by explicit time: by tests directly, and by the event loop of a process,
// which calls advanceTo() when nextDue() is reached.
class manual_timer_service : public timer_service
{
public:
    explicit manual_timer_service(time_point start = time_point {})
        : now_(start)
    {
    }

    time_point now() const override { return now_; }
    subscription every(milliseconds period, callback subscriber) override;
    subscription after(milliseconds delay, callback subscriber) override;
    void cancel(subscription id) override;

    // Calls all subscribers due by the given time, in order of due time, then sets the time.
    // A time in the past is ignored.
    void advanceTo(time_point target);

    // Moves the time forward by a duration.
    void advance(milliseconds step) { advanceTo(now_ + step); }

    // Returns the next due time, or time_point::max() without subscriptions.
    time_point nextDue() const;

private:
    struct timer
    {
        milliseconds period; // zero: one-shot
        callback subscriber;
        subscription id;
    };

    subscription add(milliseconds delay, milliseconds period, callback subscriber);

    time_point now_;
    std::uint64_t lastId_ = 0;
    std::multimap<time_point, timer> timers_;
};

} // namespace persimmon
