#pragma once

#include "base/reason.h"
#include "routes/routeconfiguration.h"

namespace flamingo {

/**
 * Returns whether the configuration is valid as a whole; otherwise fills the reason with its first fault.
 *
 * Every service that a route names must be listed, no two routes may share a key, weights must not add up to 0, and
 * timeouts and attempts must be positive. Thread-safe.
 */
bool validateRoutes(const RouteConfiguration& configuration, Reason& reason);

} // namespace flamingo
