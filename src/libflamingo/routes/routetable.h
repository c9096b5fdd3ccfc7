#pragma once

#include "routes/route.h"

#include <map>
#include <memory>
#include <string_view>

namespace flamingo {

using RoutePtr = std::shared_ptr<const Route>;

/** Index of routes by host and path prefix. A plain value, used on one event loop. */
struct RouteTable {
    std::map<std::string, std::map<std::string, RoutePtr, std::less<>>, std::less<>> m_hosts;
};

/** Adds the route, or replaces the route with the same key. */
void insertRoute(RouteTable& table, Route route);

/** Removes the route with the key, if there is one. */
void eraseRoute(RouteTable& table, const RouteKey& key);

/**
 * Returns the route of the host whose prefix is the longest match for the path, or null.
 *
 * A port in the host and a query or fragment in the target are ignored.
 */
RoutePtr findRoute(const RouteTable& table, std::string_view host, std::string_view target);

} // namespace flamingo
