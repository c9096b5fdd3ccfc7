#pragma once

#include "endpoint/endpointlimits.h"

namespace flamingo {

/** Settings of an EndpointClient that apply to all its endpoints. */
struct EndpointClientSettings {
    EndpointLimits m_defaultLimits; // for endpoints without limits of their own
    // A call that times out closes the idle connections that have neither connected nor answered since it was sent. If
    // set, this applies to the connections to all endpoints and not only to the endpoint of the call. Set for
    // connections between VMs, which tend to stop responding together.
    bool m_timeoutAffectsAllEndpoints = false;
};

} // namespace flamingo
