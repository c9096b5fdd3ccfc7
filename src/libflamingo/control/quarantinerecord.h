#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <vector>

namespace flamingo {

/** A request that crashed two endpoints and is refused everywhere until it expires. */
struct QuarantineRecord {
    Fingerprint m_fingerprint;
    ServiceName m_service;
    std::vector<EndpointId> m_endpoints; // those it crashed
    LogTime m_expiresAt;
};

} // namespace flamingo
