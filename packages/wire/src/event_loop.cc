#include "wire/event_loop.h"

#include "base/log.h"

#include <kj/async-io.h>
#include <kj/timer.h>

#include <ctime>
#include <exception>
#include <mutex>
#include <vector>

namespace persimmon::wire {

// Advances while the machine is suspended, so that a leader's lease can't outlast a suspension.
time_point monotonicNow()
{
    timespec value {};
    ::clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point {std::chrono::seconds {value.tv_sec}
                       + std::chrono::microseconds {value.tv_nsec / 1000}};
}

namespace {

// Timer service that reads the monotonic clock and notifies the loop when a timer is added.
class loop_timer_service : public manual_timer_service
{
public:
    loop_timer_service()
        : manual_timer_service(monotonicNow())
    {
    }

    time_point now() const override { return monotonicNow(); }

    subscription every(milliseconds period, callback subscriber) override
    {
        const auto id = manual_timer_service::every(period, std::move(subscriber));
        onChange_();
        return id;
    }

    subscription after(milliseconds delay, callback subscriber) override
    {
        const auto id = manual_timer_service::after(delay, std::move(subscriber));
        onChange_();
        return id;
    }

    void setOnChange(std::function<void()> onChange) { onChange_ = std::move(onChange); }

private:
    std::function<void()> onChange_ = [] {};
};

// Runs a function. An exception is logged: it must not end the loop, which serves everything else.
// Returns whether the function completed.
template <typename Function>
bool runGuarded(const char *what, Function &&function)
{
    try {
        function();
        return true;
    } catch (const std::exception &failure) {
        logFor("loop")->error("{} failed: {}", what, failure.what());
    } catch (const kj::Exception &failure) {
        logFor("loop")->error("{} failed: {}", what, failure.getDescription().cStr());
    }
    return false;
}

class task_error_handler : public kj::TaskSet::ErrorHandler
{
public:
    void taskFailed(kj::Exception &&exception) override
    {
        logFor("loop")->warn("background task failed: {}", exception.getDescription().cStr());
    }
};

} // namespace

class event_loop::implementation
{
public:
    implementation()
        : io_(kj::setupAsyncIo())
        , tasks_(errorHandler_)
    {
        timers_.setOnChange([this] { armTimer(); });
        armWake();
    }

    void run()
    {
        auto stopped = kj::newPromiseAndFulfiller<void>();
        stopFulfiller_ = kj::mv(stopped.fulfiller);
        if (!stopRequested_)
            stopped.promise.wait(io_.waitScope);
    }

    void stop()
    {
        post([this] {
            stopRequested_ = true;
            if (stopFulfiller_.get() != nullptr)
                stopFulfiller_->fulfill();
        });
    }

    void post(std::function<void()> work)
    {
        const std::scoped_lock lock(mutex_);
        posted_.push_back(std::move(work));
        if (wake_.get() == nullptr)
            return;
        wake_->fulfill();
        wake_ = nullptr;
    }

    timer_service &timers() { return timers_; }
    kj::AsyncIoContext &io() { return io_; }
    void detach(kj::Promise<void> task) { tasks_.add(kj::mv(task)); }

private:
    void armWake()
    {
        auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
        {
            const std::scoped_lock lock(mutex_);
            wake_ = kj::mv(pair.fulfiller);
        }
        wakeTask_ = pair.promise.then([this] { runPosted(); }).eagerlyEvaluate(nullptr);
    }

    void runPosted()
    {
        std::vector<std::function<void()>> work;
        {
            const std::scoped_lock lock(mutex_);
            work.swap(posted_);
        }
        for (auto &item : work)
            runGuarded("posted work", item);
        tasks_.add(kj::evalLater([this] { rearmWake(); }));
    }

    // Replaces the completed wake-up promise. Must not be called from its own continuation, which
    // would be destroyed while it runs.
    void rearmWake()
    {
        armWake();
        bool pending = false;
        {
            const std::scoped_lock lock(mutex_);
            pending = !posted_.empty();
            if (pending && wake_.get() != nullptr) {
                wake_->fulfill();
                wake_ = nullptr;
            }
        }
    }

    void armTimer()
    {
        const auto due = timers_.nextDue();
        if (runningTimers_ || due == time_point::max() || due >= armedFor_)
            return;
        armedFor_ = due;
        const auto delay = std::max(due - monotonicNow(), std::chrono::microseconds {0});
        const auto generation = ++timerGeneration_;
        tasks_.add(io_.provider->getTimer()
                           .afterDelay(delay.count() * kj::MICROSECONDS)
                           .then([this, generation] { runTimers(generation); }));
    }

    void runTimers(std::uint64_t generation)
    {
        if (generation != timerGeneration_)
            return;
        armedFor_ = time_point::max();
        runningTimers_ = true;
        const auto now = monotonicNow();
        while (!runGuarded("a timer", [this, now] { timers_.advanceTo(now); })) { }
        runningTimers_ = false;
        armTimer();
    }

    kj::AsyncIoContext io_;
    task_error_handler errorHandler_;
    loop_timer_service timers_;
    std::mutex mutex_;
    std::vector<std::function<void()>> posted_;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake_;
    kj::Own<kj::PromiseFulfiller<void>> stopFulfiller_;
    bool stopRequested_ = false;
    bool runningTimers_ = false;
    time_point armedFor_ = time_point::max();
    std::uint64_t timerGeneration_ = 0;
    kj::TaskSet tasks_;
    kj::Promise<void> wakeTask_ = nullptr;
};

event_loop::event_loop()
    : implementation_(std::make_unique<implementation>())
{
}

event_loop::~event_loop() = default;

void event_loop::run()
{
    implementation_->run();
}

void event_loop::stop()
{
    implementation_->stop();
}

void event_loop::post(std::function<void()> work)
{
    implementation_->post(std::move(work));
}

timer_service &event_loop::timers()
{
    return implementation_->timers();
}

time_point event_loop::now() const
{
    return monotonicNow();
}

kj::AsyncIoContext &event_loop::io()
{
    return implementation_->io();
}

void event_loop::detach(kj::Promise<void> task)
{
    implementation_->detach(kj::mv(task));
}

} // namespace persimmon::wire
