#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>

namespace flamingo {

/** Bounds on what this process opens towards one endpoint. */
struct EndpointLimits {
    std::uint32_t m_connections = 1; // this VM's share of the endpoint's connection limit
    std::size_t m_queuedCalls = 1024; // calls that wait for a connection; further ones are not sent
    Milliseconds m_connectTimeout { 1000 };
    // A connection that this side has closed counts against the share until the endpoint has closed
    // it too, but no longer than this: the endpoint counts it until then, and a silent one never
    // confirms.
    Milliseconds m_closeTimeout { 100 };
};

} // namespace flamingo
