#pragma once

#include "routes/routeconfiguration.h"

#include <string>
#include <vector>

namespace flamingo {

/** Something in a valid configuration that an operator hardly intends. */
struct ConfigurationFinding {
    std::string m_subject; // such as "route r1" or "customer c"
    std::string m_text;
};

/**
 * Returns entries that can never match or be used, and limits that contradict each other. Thread-safe.
 *
 * Precondition: validateRoutes() accepts the configuration.
 */
std::vector<ConfigurationFinding> checkConfiguration(const RouteConfiguration& configuration);

/** Returns what differs, one line for each entry, such as "route r1: timeout 100 ms -> 200 ms". Thread-safe. */
std::vector<std::string> describeDifferences(const RouteConfiguration& before, const RouteConfiguration& after);

} // namespace flamingo
