#pragma once

#include "base/ids.h"
#include "control/command.h"

#include <vector>

namespace flamingo {

/** Returns the endpoints that the command registers, drains or removes by name. Thread-safe. */
std::vector<EndpointId> endpointsOf(const CommandBody& body);

} // namespace flamingo
