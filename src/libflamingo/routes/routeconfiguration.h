#pragma once

#include "routes/route.h"

#include <cstdint>
#include <vector>

namespace flamingo {

/** What a caller may send to an entry VM, and how long it may take. */
struct CallerLimits {
    std::uint64_t m_headerBytes = 16384;
    std::uint64_t m_bodyBytes = 262144;
    Milliseconds m_headerTimeout { 3000 };
    Milliseconds m_idleTimeout { 15000 };
};

/** What holds for a whole route configuration. */
struct RouteHeader {
    ConfigurationVersion m_version; // chosen by the operator; 0 before the first configuration
    CallerLimits m_limits;
};

/** A complete set of routes, which replaces the one before as a whole. */
struct RouteConfiguration {
    RouteHeader m_header;
    std::vector<Route> m_routes;
    std::vector<RoutedService> m_services;
};

} // namespace flamingo
