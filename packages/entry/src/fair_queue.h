#pragma once

#include "base/model.h"
#include "request_id.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace persimmon::entry {

// Queue of one pool. Workspaces share the service by weight (start-time fair queueing); inside a
// workspace, a higher priority class goes first. Classes don't compare across workspaces, so no
// workspace can starve another by declaring its work urgent.
class fair_queue
{
public:
    enum class position : std::uint8_t { Back, Front };

    void push(std::string_view workspace, std::uint32_t weight, priority_class priority,
              request_id id, position where);

    // Removes and returns the next request.
    std::optional<request_id> pop();

    // Removes a request; unknown ones are ignored.
    void erase(std::string_view workspace, request_id id);

    std::size_t size() const { return size_; }
    std::size_t size(std::string_view workspace) const;

    // Number of requests that a new one of this class would wait for inside its workspace.
    std::size_t ahead(std::string_view workspace, priority_class priority) const;

    // Sum of the weights of the workspaces with queued requests, leaving out one of them.
    std::uint64_t otherWeights(std::string_view workspace) const;

private:
    static constexpr std::size_t classes = 3;

    struct lane
    {
        std::array<std::deque<request_id>, classes> byClass;
        std::uint32_t weight = 1;
        double pass = 0;

        std::size_t size() const;
    };

    std::map<std::string, lane, std::less<>> lanes_;
    double virtualTime_ = 0;
    std::size_t size_ = 0;
};

} // namespace persimmon::entry
