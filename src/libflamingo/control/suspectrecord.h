#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <set>

namespace flamingo {

/** A request that is suspected of crashing endpoints. */
struct SuspectRecord {
    ServiceName m_service;
    std::set<EndpointId> m_endpoints; // distinct endpoints that crashed while the request was in flight
    bool m_cleared = false; // the request succeeded once, so that further crashes are not attributed to it
    LogTime m_updatedAt; // time of the last crash or clearance; the record expires a quarantine period later
};

} // namespace flamingo
