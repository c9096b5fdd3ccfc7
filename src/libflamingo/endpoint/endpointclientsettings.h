#pragma once

#include "endpoint/endpointlimits.h"

namespace flamingo {

/** What holds for all endpoints of one client. */
struct EndpointClientSettings {
    EndpointLimits m_defaultLimits; // of endpoints without limits of their own
    // A call that times out makes idle connections to all endpoints doubtful, and not only those to its own:
    // connections between VMs go silent together.
    bool m_sharesSilence = false;
};

} // namespace flamingo
