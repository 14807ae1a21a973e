#include "base/timer_service.h"

#include <algorithm>
#include <utility>

namespace persimmon {

timer_service::subscription manual_timer_service::every(milliseconds period, callback subscriber)
{
    return add(period, period, std::move(subscriber));
}

timer_service::subscription manual_timer_service::after(milliseconds delay, callback subscriber)
{
    return add(delay, milliseconds {0}, std::move(subscriber));
}

void manual_timer_service::cancel(subscription id)
{
    std::erase_if(timers_, [id](const auto &item) { return item.second.id == id; });
}

void manual_timer_service::advanceTo(time_point target)
{
    while (!timers_.empty() && timers_.begin()->first <= target) {
        auto node = timers_.extract(timers_.begin());
        now_ = std::max(now_, node.key());
        // The subscriber is copied because it may cancel its own subscription.
        const callback subscriber = node.mapped().subscriber;
        if (node.mapped().period.count() > 0) {
            node.key() += node.mapped().period;
            timers_.insert(std::move(node));
        }
        subscriber(now_);
    }
    now_ = std::max(now_, target);
}

time_point manual_timer_service::nextDue() const
{
    return timers_.empty() ? time_point::max() : timers_.begin()->first;
}

timer_service::subscription manual_timer_service::add(milliseconds delay, milliseconds period,
                                                      callback subscriber)
{
    const auto id = static_cast<subscription>(++lastId_);
    timers_.emplace(now() + delay, timer {period, std::move(subscriber), id});
    return id;
}

} // namespace persimmon
