#include "route_table.h"

#include <algorithm>
#include <cctype>

namespace persimmon::entry {

namespace {

std::string normalizedHost(std::string_view host)
{
    // A colon inside the brackets of an IPv6 literal does not start a port.
    const auto bracket = host.rfind(']');
    const auto colon = host.rfind(':');
    if (colon != std::string_view::npos && (bracket == std::string_view::npos || colon > bracket))
        host = host.substr(0, colon);
    std::string lower(host);
    std::ranges::transform(lower, lower.begin(), [](char c) {
        return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    });
    return lower;
}

bool prefixMatches(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix))
        return false;
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

} // namespace

route_table::route_table(const tables &values)
    : routes_(values.routes)
{
    for (auto &row : routes_)
        row.host = normalizedHost(row.host);
    std::ranges::stable_sort(routes_, [](const route &left, const route &right) {
        if (left.host.empty() != right.host.empty())
            return right.host.empty();
        return left.pathPrefix.size() > right.pathPrefix.size();
    });
}

result<const route *> route_table::find(std::string_view host, std::string_view path) const
{
    const auto name = normalizedHost(host);
    bool hostMissing = false;
    for (const auto &row : routes_) {
        if (!prefixMatches(path, row.pathPrefix))
            continue;
        if (row.host.empty() || row.host == name)
            return &row;
        hostMissing = hostMissing || name.empty();
    }
    if (hostMissing)
        return error {result_code::HostRequired,
                      "the route requires a host, but the request has none",
                      "Host",
                      {}};
    return error {result_code::NoRoute, "no route for " + std::string(path.substr(0, 100)), {}, {}};
}

} // namespace persimmon::entry
