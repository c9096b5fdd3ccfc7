#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>

namespace flamingo {

/** Limits on the connections and queued calls of this process to one endpoint. */
struct EndpointLimits {
    std::uint32_t m_maxConnections = 1; // this VM's share of the endpoint's connection limit
    std::size_t m_maxQueuedCalls = 1024; // calls waiting for a connection; further ones are not sent
    Milliseconds m_connectTimeout { 1000 };
    // A connection closed on this side counts against the share until the endpoint closes it too, because the
    // endpoint counts it until then. The timeout is for endpoints that no longer respond.
    Milliseconds m_closeTimeout { 100 };
};

} // namespace flamingo
