#pragma once

#include "endpoint/endpointlimits.h"

namespace flamingo {

/** Settings of an EndpointClient that apply to all its endpoints. */
struct EndpointClientSettings {
    EndpointLimits m_defaultLimits; // for endpoints without limits of their own
    // After a call times out, closes the inactive idle connections to all endpoints, not only those to the endpoint of
    // the call. Set for connections between VMs, which tend to stop responding together.
    bool m_timeoutAffectsAllEndpoints = false;
};

} // namespace flamingo
