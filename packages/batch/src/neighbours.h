#pragma once

#include "batch/interference.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::batch::detail {

// The kinds of task on each worker during a pass, as far as they slow each other down.
class neighbours
{
public:
    // `model` may be null.
    neighbours(const interference_model *model, std::size_t workers);

    // Returns whether any kinds slow each other down. If not, nothing else needs to be called.
    bool matter() const { return !costs_.empty(); }

    // Returns the number of a kind, or nothing if no neighbour matters to it.
    std::optional<kind_index> kindOf(const std::string &queue, std::uint32_t step) const;

    void add(std::size_t worker, std::optional<kind_index> kind);

    // Returns the cost of placing a task of a kind on a worker, in tenths.
    std::int64_t rank(kind_index placed, std::size_t worker) const;

private:
    using costs = std::map<kind_index, double>; // by neighbour

    const interference_model *model_;
    std::map<kind_index, costs> costs_; // by the kind that is placed
    std::vector<kind_set> kinds_; // by worker; empty if nothing matters
};

} // namespace persimmon::batch::detail
