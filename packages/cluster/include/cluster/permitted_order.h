#pragma once

#include "cluster/relay_client.h"

#include <functional>
#include <string>

namespace persimmon::cluster {

// What passOrder() needs: the caller of the order, and the leader.
struct order_route
{
    // Checks that the caller still waits for the answer. Fails if it may have stopped.
    std::function<void(std::function<void(status)>)> checkCaller;

    // Asks the leader for a permit. Fails with MalformedRequest if the leader is of a version that
    // issues none.
    std::function<void(milliseconds timeout, relay_client::completion)> requestPermit;

    // Gives the order to the leader with a permit; an empty one: without. Fails with
    // VersionConflict if the permit has ended.
    std::function<void(const std::string &permit, milliseconds timeout, relay_client::completion)>
            send;

    std::function<time_point()> now;
};

// Gives an order to the leader so that it isn't obeyed after a newer one. An order has neither a
// version nor an id, and may be held up anywhere for longer than its caller waits, who gives it
// again through another node then, and perhaps the opposite one after it. So a permit is asked for
// first. A caller that still waits after that has given no newer order before the permit was
// issued, and the leader takes one that is given later as the end of the permit. The order is given
// again with a new permit then, as long as its caller waits. Fails with the error of checkCaller()
// or of the leader, or with OutcomeUnknown if the time is over.
void passOrder(order_route route, milliseconds timeout, relay_client::completion done);

} // namespace persimmon::cluster
