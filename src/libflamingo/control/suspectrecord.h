#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <set>

namespace flamingo {

/** Evidence that a request crashes endpoints. */
struct SuspectRecord {
    ServiceName m_service;
    std::set<EndpointId> m_endpoints; // distinct endpoints that died with the request in flight
    bool m_cleared = false; // succeeded once, so that further deaths have another cause
    LogTime m_lastAt;
};

} // namespace flamingo
