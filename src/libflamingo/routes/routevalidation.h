#pragma once

#include "base/reason.h"
#include "routes/routeconfiguration.h"

namespace flamingo {

/**
 * Returns whether the configuration is valid; otherwise sets the reason to the first error. Thread-safe.
 *
 * Every service of a route must be listed, no two routes may have the same key, the weights of a route must not add up
 * to 0, and timeouts must be positive. No two customers may have the same name or share an API key.
 */
bool validateRoutes(const RouteConfiguration& configuration, Reason& reason);

} // namespace flamingo
