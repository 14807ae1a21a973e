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

// Queue of one pool. Workspaces share the service by weight (start-time fair queueing); within a
// workspace, a higher priority class goes first. Classes are not compared across workspaces, so a
// workspace can't starve another one by declaring its work urgent.
class fair_queue
{
public:
    enum class position : std::uint8_t { Back, Front };

    void push(std::string_view workspace, std::uint32_t weight, priority_class priority,
              request_id id, position where);

    // Removes and returns the next request.
    std::optional<request_id> pop();

    // Removes a request; unknown requests are ignored.
    void erase(std::string_view workspace, request_id id);

    std::size_t size() const { return size_; }
    std::size_t size(std::string_view workspace) const;

    // Returns the number of requests of the workspace that precede a new one of this class.
    std::size_t ahead(std::string_view workspace, priority_class priority) const;

    // Returns the sum of the weights of all other workspaces with queued requests.
    std::uint64_t otherWeights(std::string_view workspace) const;

private:
    static constexpr std::size_t classes = 3;

    struct workspace_queue
    {
        std::array<std::deque<request_id>, classes> byClass;
        std::uint32_t weight = 1;
        double startTag = 0;

        std::size_t size() const;
    };

    std::map<std::string, workspace_queue, std::less<>> workspaces_;
    double virtualTime_ = 0;
    std::size_t size_ = 0;
};

} // namespace persimmon::entry
