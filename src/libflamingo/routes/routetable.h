#pragma once

#include "routes/route.h"

#include <map>
#include <memory>
#include <string_view>

namespace flamingo {

using RoutePtr = std::shared_ptr<const Route>;

/** Routes by host and path prefix. A plain value for one event loop. */
struct RouteTable {
    std::map<std::string, std::map<std::string, RoutePtr, std::less<>>, std::less<>> m_hosts;
};

/** Adds the route, or replaces the one with its key. */
void insertRoute(RouteTable& table, Route route);

/** Removes the route; without effect if there is none. */
void eraseRoute(RouteTable& table, const RouteKey& key);

/**
 * Returns the route of that host with the longest prefix that begins the path, or null.
 *
 * The host may carry a port and the target a query; both are left out of the comparison.
 */
RoutePtr findRoute(const RouteTable& table, std::string_view host, std::string_view target);

} // namespace flamingo
