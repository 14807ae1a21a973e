#pragma once

#include "base/result.h"

#include <cstdint>
#include <map>
#include <string>

namespace persimmon::batch {

// Allows a node to pass on an order that its caller is still waiting for.
struct order_permit
{
    std::uint64_t term = 0;
    std::uint64_t number = 0; // of the newest order when the permit was issued

    friend bool operator==(const order_permit &, const order_permit &) = default;
};

// Tells on the leader whether an order that was passed on is older than one that it has taken
// since. Orders have no versions, and a message may be held up for longer than its caller waits: so
// the node that passes it on first asks for a permit, and the next order about the same subject
// ends all permits issued before. No permit outlives the term. Not thread-safe.
class order_permits
{
public:
    order_permit issue(std::uint64_t term);

    // Fails with VersionConflict if another order about a subject was taken since the permit was
    // issued, or if that was in another term.
    status check(const order_permit &permit, std::uint64_t term, const std::string &subject);

    // Records that an order about a subject is taken. Ends the permits issued before.
    void take(std::uint64_t term, const std::string &subject);

    // Number of subjects whose newest order is known one by one.
    std::size_t subjectCount() const { return newestOf_.size(); }

private:
    void enterTerm(std::uint64_t term);

    std::uint64_t term_ = 0;
    std::uint64_t newest_ = 0; // number of the newest order of the term
    std::map<std::string, std::uint64_t> newestOf_; // number of the newest order, by subject
    std::uint64_t forgotten_ = 0; // of the newest order whose subject was dropped
};

} // namespace persimmon::batch
