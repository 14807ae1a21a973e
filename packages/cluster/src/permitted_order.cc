#include "cluster/permitted_order.h"

#include <memory>
#include <utility>

namespace persimmon::cluster {

namespace {

class passage : public std::enable_shared_from_this<passage>
{
public:
    passage(order_route route, time_point deadline, relay_client::completion done)
        : route_(std::move(route))
        , deadline_(deadline)
        , done_(std::move(done))
    {
    }

    // The first check spares the leader orders that are known to be old.
    void begin()
    {
        whileCallerWaits([this] { requestPermit(); });
    }

private:
    // Goes on if the caller waits and there is time left. This object stays alive until then.
    void whileCallerWaits(std::function<void()> next)
    {
        route_.checkCaller([self = shared_from_this(),
                            next = std::move(next)](const status &checked) {
            if (failed(checked))
                return self->done_(errorOf(checked));
            if (self->timeLeft() <= milliseconds {0})
                return self->done_(error {result_code::OutcomeUnknown, "the time is over", {}, {}});
            next();
        });
    }

    milliseconds timeLeft() const
    {
        return std::chrono::duration_cast<milliseconds>(deadline_ - route_.now());
    }

    void requestPermit()
    {
        route_.requestPermit(timeLeft(),
                             [self = shared_from_this()](const result<std::string> &permit) {
                                 self->handlePermit(permit);
                             });
    }

    void handlePermit(const result<std::string> &permit)
    {
        const bool isUnsupported
                = failed(permit) && errorOf(permit).code == result_code::MalformedRequest;
        if (failed(permit) && !isUnsupported)
            return done_(errorOf(permit));
        whileCallerWaits(
                [this, text = isUnsupported ? std::string() : valueOf(permit)] { send(text); });
    }

    void send(const std::string &permit)
    {
        route_.send(permit, timeLeft(),
                    [self = shared_from_this()](const result<std::string> &outcome) {
                        self->handleOutcome(outcome);
                    });
    }

    void handleOutcome(const result<std::string> &outcome)
    {
        if (failed(outcome) && errorOf(outcome).code == result_code::VersionConflict)
            return begin();
        done_(outcome);
    }

    order_route route_;
    time_point deadline_;
    relay_client::completion done_;
};

} // namespace

void passOrder(order_route route, milliseconds timeout, relay_client::completion done)
{
    const auto deadline = route.now() + timeout;
    std::make_shared<passage>(std::move(route), deadline, std::move(done))->begin();
}

} // namespace persimmon::cluster
