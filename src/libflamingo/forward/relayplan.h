#pragma once

#include "control/publishedstate.h"
#include "forward/forwardstate.h"

namespace flamingo {

/** Returns the service name in ForwardState::m_relays of the VMs that this VM may ask to serve requests. Thread-safe.
 */
const ServiceName& relayServiceName();

/**
 * Recomputes the other VMs that may serve requests of this one while it cannot reach the endpoints.
 *
 * They are a few of each data centre, since all VMs of one may be cut off together, and each VM has others, so that the
 * load of cut-off VMs is spread evenly. Precondition: a state was published.
 */
void updateRelays(ForwardState& state, MonotonicTime now);

} // namespace flamingo
