#pragma once

#include "base/tables.h"

#include <string_view>

namespace persimmon::entry {

// Finds the route of a request: exact host before any host, then the longest path prefix. A prefix
// matches whole path segments only: "/boards" matches "/boards/7" but not "/boardsmith".
class route_table
{
public:
    route_table() = default;
    explicit route_table(const tables &values);

    // Fails with NoRoute, or with HostRequired when only a missing Host kept a route from matching.
    // The host may carry a port, which is not compared.
    result<const route *> find(std::string_view host, std::string_view path) const;

private:
    std::vector<route> routes_; // in the order of precedence
};

} // namespace persimmon::entry
