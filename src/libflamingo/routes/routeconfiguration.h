#pragma once

#include "customers/customer.h"
#include "routes/route.h"

#include <cstdint>
#include <vector>

namespace flamingo {

/** Limits on the requests and connections of callers of an entry VM. */
struct CallerLimits {
    std::uint64_t m_headerBytes = 16384;
    std::uint64_t m_bodyBytes = 262144;
    Milliseconds m_headerTimeout { 3000 };
    Milliseconds m_idleTimeout { 15000 };
};

/** Version and limits of a route configuration. */
struct RouteHeader {
    ConfigurationVersion m_version; // chosen by the operator; 0 before the first configuration
    CallerLimits m_limits;
    bool m_requiresKeys = false; // requests need the API key of a customer, except on public routes
};

/** A complete set of routes and their services. A new one replaces the previous one as a whole. */
struct RouteConfiguration {
    RouteHeader m_header;
    std::vector<Route> m_routes;
    std::vector<RoutedService> m_services;
    std::vector<Customer> m_customers;
};

} // namespace flamingo
