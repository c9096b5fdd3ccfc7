#pragma once

#include "base/strongvalue.h"

#include <cstdint>

namespace flamingo {

/** Position of an endpoint in the routing table of this daemon; stable while the endpoint is known. */
using EndpointIndex = StrongValue<struct EndpointIndexTag, std::uint32_t>;

} // namespace flamingo
