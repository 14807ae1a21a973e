#pragma once

#include "base/tables.h"

#include <string_view>

namespace persimmon::entry {

// Finds the route of a request: an exact host precedes any host, then the longest path prefix wins.
// A prefix matches whole path segments only: "/boards" matches "/boards/7" but not "/boardsmith".
class route_table
{
public:
    route_table() = default;
    explicit route_table(const tables &values);

    // Fails with NoRoute, or with HostRequired when a route does not match only because the request
    // has no Host. A port in the host is ignored.
    result<const route *> find(std::string_view host, std::string_view path) const;

private:
    std::vector<route> routes_; // in order of precedence
};

} // namespace persimmon::entry
