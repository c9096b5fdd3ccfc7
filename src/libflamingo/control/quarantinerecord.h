#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <vector>

namespace flamingo {

/** A request that crashed several endpoints and is refused by all entry VMs until the quarantine expires. */
struct QuarantineRecord {
    Fingerprint m_fingerprint;
    ServiceName m_service;
    std::vector<EndpointId> m_endpoints; // endpoints that crashed while it was in flight
    LogTime m_expiresAt;
};

} // namespace flamingo
