#pragma once

#include "control/endpointrecord.h"
#include "control/publishedstate.h"

#include <cstdint>
#include <vector>

namespace flamingo {

/** Returns the VMs that serve callers. The pointers are valid as long as the state. Thread-safe. */
std::vector<const VmRecord*> servingVms(const PublishedState& published);

/** Returns a VM as an endpoint of a service, so that calls to it are placed like others. Thread-safe. */
EndpointRecord vmEndpoint(
    const VmRecord& vm, const EndpointId& endpoint, const ServiceName& service, std::uint16_t port);

} // namespace flamingo
